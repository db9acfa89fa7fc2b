#pragma once

#include <string>

#include "fields.h"

// Checks the limits of decode() before a message is encoded.

namespace jasminewood::wire::internal
{

// Keeps the first error and an upper bound of the encoded size.
class LimitCheck
{
public:
    template <typename Value>
    auto checkFields(const Value &value) -> void
    {
        std::apply(
            [this](const auto &...field) {
                (this->check(field), ...);
            },
            fieldsOf(value));
    }

    auto firstError() const -> const std::string &
    {
        return firstError_;
    }

    // Returns an upper bound of the encoded size of all checked values.
    auto encodedBytes() const -> std::size_t
    {
        return encodedBytes_;
    }

private:
    // The largest msgpack header of a text or a list, and the largest encoded number.
    static constexpr std::size_t maximumHeaderBytes_ = 9;

    auto require(bool holds, const char *reason) -> void
    {
        if (!holds && firstError_.empty()) {
            firstError_ = reason;
        }
    }

    template <typename Value>
    auto check(const Value & /*value*/) -> void requires std::is_arithmetic_v<Value> || std::is_enum_v<Value>
    {
        encodedBytes_ += maximumHeaderBytes_;
    }

    template <typename Value>
    auto check(const Value &value) -> void requires requires
    {
        fieldsOf(value);
    }
    {
        encodedBytes_ += maximumHeaderBytes_;
        checkFields(value);
    }

    auto check(const std::string &name) -> void
    {
        require(name.size() <= maximumNameBytes, "a name is too long");
        encodedBytes_ += maximumHeaderBytes_ + name.size();
    }

    auto check(const Body &body) -> void
    {
        require(body.text_.size() <= maximumBodyBytes, "a body is too long");
        encodedBytes_ += maximumHeaderBytes_ + body.text_.size();
    }

    template <typename Unit>
    auto check(const std::chrono::duration<std::int64_t, Unit> &duration) -> void
    {
        require(duration.count() >= 0 && duration <= maximumDuration, "a time span is out of range");
        encodedBytes_ += maximumHeaderBytes_;
    }

    template <typename Value>
    auto check(const std::optional<Value> &value) -> void
    {
        encodedBytes_ += maximumHeaderBytes_;
        if (value) {
            check(*value);
        }
    }

    template <typename Value, std::size_t Count>
    auto check(const std::array<Value, Count> &values) -> void
    {
        encodedBytes_ += maximumHeaderBytes_ * (1 + values.size());
    }

    template <typename Value>
    auto check(const std::vector<Value> &values) -> void
    {
        require(values.size() <= maximumEntries, "a list has too many entries");
        encodedBytes_ += maximumHeaderBytes_;
        for (const auto &value : values) {
            check(value);
        }
    }

    template <typename Value>
    auto check(const std::map<std::string, Value> &values) -> void
    {
        require(values.size() <= maximumEntries, "a map has too many entries");
        encodedBytes_ += maximumHeaderBytes_;
        for (const auto &[key, value] : values) {
            check(key);
            check(value);
        }
    }

    std::string firstError_;
    std::size_t encodedBytes_ = 0;
};

} // namespace jasminewood::wire::internal
