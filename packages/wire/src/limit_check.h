#pragma once

#include <string>

#include "fields.h"

// Checks the limits that decode() applies, before a message is encoded.

namespace jasminewood::wire::internal
{

// Keeps the first limit that a value breaks.
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

    auto fault() const -> const std::string &
    {
        return fault_;
    }

    // An upper bound of the bytes of all texts and entries.
    auto bytes() const -> std::size_t
    {
        return bytes_;
    }

private:
    // The most bytes that msgpack puts before a text, and the most that a number takes.
    static constexpr std::size_t overheadBytes_ = 9;

    auto require(bool holds, const char *fault) -> void
    {
        if (!holds && fault_.empty()) {
            fault_ = fault;
        }
    }

    template <typename Value>
    auto check(const Value & /*value*/) -> void requires std::is_arithmetic_v<Value> || std::is_enum_v<Value>
    {
        bytes_ += overheadBytes_;
    }

    template <typename Value>
    auto check(const Value &value) -> void requires requires
    {
        fieldsOf(value);
    }
    {
        bytes_ += overheadBytes_;
        checkFields(value);
    }

    auto check(const std::string &name) -> void
    {
        require(name.size() <= maximumNameBytes, "a name is too long");
        bytes_ += overheadBytes_ + name.size();
    }

    auto check(const Body &body) -> void
    {
        require(body.text_.size() <= maximumBodyBytes, "a body is too long");
        bytes_ += overheadBytes_ + body.text_.size();
    }

    template <typename Period>
    auto check(const std::chrono::duration<std::int64_t, Period> &span) -> void
    {
        require(span.count() >= 0 && span <= maximumDuration, "a time span is out of range");
        bytes_ += overheadBytes_;
    }

    template <typename Value>
    auto check(const std::optional<Value> &value) -> void
    {
        bytes_ += overheadBytes_;
        if (value) {
            check(*value);
        }
    }

    template <typename Value, std::size_t Count>
    auto check(const std::array<Value, Count> &values) -> void
    {
        bytes_ += overheadBytes_ * (1 + values.size());
    }

    template <typename Value>
    auto check(const std::vector<Value> &values) -> void
    {
        require(values.size() <= maximumEntries, "a list has too many entries");
        bytes_ += overheadBytes_;
        for (const auto &value : values) {
            check(value);
        }
    }

    template <typename Value>
    auto check(const std::map<std::string, Value> &values) -> void
    {
        require(values.size() <= maximumEntries, "a map has too many entries");
        bytes_ += overheadBytes_;
        for (const auto &[key, value] : values) {
            check(key);
            check(value);
        }
    }

    std::string fault_;
    std::size_t bytes_ = 0;
};

} // namespace jasminewood::wire::internal
