#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

// The body of a request.

namespace jasminewood::http
{

// An immutable text. Copies share one buffer, which is freed with the last of them, so that a large body is held in
// memory once, however many requests and attempts refer to it.
class Body
{
public:
    Body()
        : text_(noText_)
    {
    }

    // Implicit, so that a body is written as a text.
    Body(std::string text)
        : text_(std::make_shared<const std::string>(std::move(text)))
    {
    }

    Body(const char *text)
        : Body(std::string(text))
    {
    }

    // Shares a text that other data is kept with; it must not be null and must not change any more.
    explicit Body(std::shared_ptr<const std::string> text)
        : text_(std::move(text))
    {
    }

    // Valid as long as this body or a copy of it.
    auto text() const -> const std::string &
    {
        return *text_;
    }

    operator const std::string &() const
    {
        return *text_;
    }

    auto data() const -> const char *
    {
        return text_->data();
    }

    // In bytes.
    auto size() const -> std::size_t
    {
        return text_->size();
    }

    auto empty() const -> bool
    {
        return text_->empty();
    }

    auto operator==(const Body &other) const -> bool
    {
        return *text_ == *other.text_;
    }

    auto operator<=>(const Body &other) const -> std::strong_ordering
    {
        return *text_ <=> *other.text_;
    }

private:
    inline static const auto noText_ = std::make_shared<const std::string>();

    // Constant, so that a body is never moved from and always has a text.
    const std::shared_ptr<const std::string> text_;
};

} // namespace jasminewood::http
