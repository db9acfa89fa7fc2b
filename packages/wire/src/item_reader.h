#pragma once

#include <array>
#include <chrono>
#include <concepts>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fields.h"
#include "items.h"

// Reads values from the items of a message.

namespace jasminewood::wire::internal
{

// Keeps the first error; every later read returns an empty value and does not advance, so that callers check for errors
// once at the end.
class ItemReader
{
public:
    explicit ItemReader(const std::vector<Item> &items)
        : items_(items)
    {
    }

    auto firstError() const -> const std::string &
    {
        return firstError_;
    }

    auto fail(const std::string &reason) -> void
    {
        if (firstError_.empty()) {
            firstError_ = reason;
        }
    }

    // Reads the start of a list and returns the count of its elements.
    auto readListStart() -> std::size_t
    {
        return takeItem<ListStart>("a list is expected").count_;
    }

    // Reads an aggregate with const members from a list of its fields.
    template <typename Value>
    auto readValue() -> Value
    {
        if (readListStart() != fieldCount<Value>) {
            fail("wrong number of fields in a value");
        }
        return readFields<Value>();
    }

    // Reads the fields of an aggregate without the enclosing list. The braces guarantee reading from left to right.
    template <typename Value>
    auto readFields() -> Value
    {
        return [this]<std::size_t... Index>(std::index_sequence<Index...>)->Value
        {
            return Value {this->read(Tag<std::decay_t<std::tuple_element_t<Index, FieldsOf<Value>>>>())...};
        }
        (std::make_index_sequence<fieldCount<Value>>());
    }

    // Reads an unsigned integer of at most the given maximum.
    template <typename Number>
    auto readNumber(std::uint64_t maximum = std::numeric_limits<Number>::max()) -> Number
    {
        const auto item = takeItem<std::uint64_t>("an unsigned integer is expected");
        if (item > maximum) {
            fail("an integer is out of range");
            return Number(0);
        }
        return static_cast<Number>(item);
    }

private:
    // Selects the overload of read() for a type.
    template <typename Type>
    struct Tag
    {
    };

    // Reads the next item if it is of this kind; else fails.
    template <typename Kind>
    auto takeItem(const char *reason) -> Kind
    {
        if (firstError_.empty() && position_ < items_.size()) {
            if (const auto *item = std::get_if<Kind>(&items_[position_])) {
                ++position_;
                return *item;
            }
        }
        fail(reason);
        return Kind {};
    }

    // Reads the next item if it is nil; returns whether it was.
    auto takeNil() -> bool
    {
        const auto isNil
            = firstError_.empty() && position_ < items_.size() && std::holds_alternative<Nil>(items_[position_]);
        position_ += isNil ? 1 : 0;
        return isNil;
    }

    auto checkedString(std::string_view text, std::size_t maximum) -> std::string
    {
        if (text.size() > maximum) {
            fail("a text is too long");
            return {};
        }
        return std::string(text);
    }

    // Tiers are the only one-byte integers among the fields.
    auto read(Tag<Tier> /*tag*/) -> Tier
    {
        return readNumber<Tier>(lowestTier);
    }

    template <std::unsigned_integral Number>
    auto read(Tag<Number> /*tag*/) -> Number
    {
        return readNumber<Number>();
    }

    auto read(Tag<bool> /*tag*/) -> bool
    {
        return takeItem<bool>("a boolean is expected");
    }

    auto read(Tag<Role> /*tag*/) -> Role
    {
        return static_cast<Role>(readNumber<std::uint8_t>(std::uint8_t(Role::Agent)));
    }

    auto read(Tag<RunState> /*tag*/) -> RunState
    {
        return static_cast<RunState>(readNumber<std::uint8_t>(std::uint8_t(RunState::Ran)));
    }

    auto read(Tag<std::string> /*tag*/) -> std::string
    {
        return checkedString(takeItem<Text>("a name is expected").text_, maximumNameBytes);
    }

    auto read(Tag<Body> /*tag*/) -> std::string
    {
        return checkedString(takeItem<Bytes>("a byte string is expected").bytes_, maximumBodyBytes);
    }

    template <typename Unit>
    auto read(Tag<std::chrono::duration<std::int64_t, Unit>> /*tag*/) -> std::chrono::duration<std::int64_t, Unit>
    {
        using Duration = std::chrono::duration<std::int64_t, Unit>;
        return Duration(readNumber<std::int64_t>(std::uint64_t(Duration(maximumDuration).count())));
    }

    template <typename Value>
    auto read(Tag<std::optional<Value>> /*tag*/) -> std::optional<Value>
    {
        if (takeNil()) {
            return std::nullopt;
        }
        return std::optional<Value>(std::in_place, read(Tag<Value>()));
    }

    template <typename Value, std::size_t Count>
    auto read(Tag<std::array<Value, Count>> /*tag*/) -> std::array<Value, Count>
    {
        if (readListStart() != Count) {
            fail("a list has the wrong length");
        }
        auto values = std::array<Value, Count>();
        for (auto &entry : values) {
            entry = read(Tag<Value>());
        }
        return values;
    }

    template <typename Value>
    auto read(Tag<std::vector<Value>> /*tag*/) -> std::vector<Value>
    {
        auto values = std::vector<Value>();
        const auto count = readListStart();
        while (values.size() < count && firstError_.empty()) {
            values.push_back(read(Tag<Value>()));
        }
        return values;
    }

    template <typename Value>
    auto read(Tag<std::map<std::string, Value>> /*tag*/) -> std::map<std::string, Value>
    {
        auto values = std::map<std::string, Value>();
        const auto count = takeItem<MapStart>("a map is expected").count_;
        for (auto index = std::uint32_t(0); index < count && firstError_.empty(); ++index) {
            auto key = read(Tag<std::string>());
            if (!values.emplace(std::move(key), read(Tag<Value>())).second) {
                fail("a map has a key twice");
            }
        }
        return values;
    }

    // Earlier routers leave out the last field; see ItemWriter.
    auto read(Tag<EngineLoad> /*tag*/) -> EngineLoad
    {
        const auto count = readListStart();
        if (count != fieldCount<EngineLoad> && count != fieldCount<EngineLoad> - 1) {
            fail("wrong number of fields in a value");
        }
        const auto pendingTokens = readNumber<std::uint64_t>();
        const auto inFlight = readNumber<std::uint32_t>();
        const auto lateTokens = count == fieldCount<EngineLoad> ? readNumber<std::uint64_t>() : std::uint64_t(0);
        return {
            .pendingPrefillTokens_ = pendingTokens, .inFlightRequests_ = inFlight, .latePrefillTokens_ = lateTokens};
    }

    template <typename Value>
    auto read(Tag<Value> /*tag*/) -> Value requires requires(const Value &nested)
    {
        fieldsOf(nested);
    }
    {
        return readValue<Value>();
    }

    const std::vector<Item> &items_;
    std::size_t position_ = 0;
    std::string firstError_;
};

} // namespace jasminewood::wire::internal
