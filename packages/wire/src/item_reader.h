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

// Keeps the first fault; every read after it yields an empty value without moving on, so that callers check once at the
// end.
class ItemReader
{
public:
    explicit ItemReader(const std::vector<Item> &items)
        : items_(items)
    {
    }

    auto fault() const -> const std::string &
    {
        return fault_;
    }

    auto fail(const std::string &fault) -> void
    {
        if (fault_.empty()) {
            fault_ = fault;
        }
    }

    // Starts a list and returns its number of elements.
    auto listStart() -> std::size_t
    {
        return take<ListStart>("a list is expected").count_;
    }

    // Reads an aggregate with const members from a list of its fields.
    template <typename Value>
    auto value() -> Value
    {
        if (listStart() != fieldCount<Value>) {
            fail("wrong number of fields in a value");
        }
        return fields<Value>();
    }

    // Reads the fields of an aggregate without the list around them. Braces make the order of reading left to right.
    template <typename Value>
    auto fields() -> Value
    {
        return [this]<std::size_t... Index>(std::index_sequence<Index...>)->Value
        {
            return Value {this->read(Tag<std::decay_t<std::tuple_element_t<Index, FieldsOf<Value>>>>())...};
        }
        (std::make_index_sequence<fieldCount<Value>>());
    }

    template <typename Number>
    auto number(std::uint64_t maximum = std::numeric_limits<Number>::max()) -> Number
    {
        const auto found = take<std::uint64_t>("an unsigned integer is expected");
        if (found > maximum) {
            fail("an integer is out of range");
            return Number(0);
        }
        return static_cast<Number>(found);
    }

private:
    template <typename Type>
    struct Tag
    {
    };

    template <typename Kind>
    auto take(const char *fault) -> Kind
    {
        if (fault_.empty() && next_ < items_.size()) {
            if (const auto *found = std::get_if<Kind>(&items_[next_])) {
                ++next_;
                return *found;
            }
        }
        fail(fault);
        return Kind {};
    }

    auto takeNil() -> bool
    {
        const auto isNil = fault_.empty() && next_ < items_.size() && std::holds_alternative<Nil>(items_[next_]);
        next_ += isNil ? 1 : 0;
        return isNil;
    }

    auto limited(std::string_view text, std::size_t maximum) -> std::string
    {
        if (text.size() > maximum) {
            fail("a text is too long");
            return {};
        }
        return std::string(text);
    }

    // Tiers are the only integers of one byte.
    auto read(Tag<Tier> /*tag*/) -> Tier
    {
        return number<Tier>(lowestTier);
    }

    template <std::unsigned_integral Number>
    auto read(Tag<Number> /*tag*/) -> Number
    {
        return number<Number>();
    }

    auto read(Tag<bool> /*tag*/) -> bool
    {
        return take<bool>("a boolean is expected");
    }

    auto read(Tag<Role> /*tag*/) -> Role
    {
        return static_cast<Role>(number<std::uint8_t>(std::uint8_t(Role::Agent)));
    }

    auto read(Tag<RunState> /*tag*/) -> RunState
    {
        return static_cast<RunState>(number<std::uint8_t>(std::uint8_t(RunState::Ran)));
    }

    auto read(Tag<std::string> /*tag*/) -> std::string
    {
        return limited(take<Text>("a name is expected").text_, maximumNameBytes);
    }

    auto read(Tag<Body> /*tag*/) -> std::string
    {
        return limited(take<Bytes>("a byte string is expected").bytes_, maximumBodyBytes);
    }

    template <typename Period>
    auto read(Tag<std::chrono::duration<std::int64_t, Period>> /*tag*/) -> std::chrono::duration<std::int64_t, Period>
    {
        using Span = std::chrono::duration<std::int64_t, Period>;
        return Span(number<std::int64_t>(std::uint64_t(Span(maximumDuration).count())));
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
        if (listStart() != Count) {
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
        const auto count = listStart();
        while (values.size() < count && fault_.empty()) {
            values.push_back(read(Tag<Value>()));
        }
        return values;
    }

    template <typename Value>
    auto read(Tag<std::map<std::string, Value>> /*tag*/) -> std::map<std::string, Value>
    {
        auto values = std::map<std::string, Value>();
        const auto count = take<MapStart>("a map is expected").count_;
        for (auto index = std::uint32_t(0); index < count && fault_.empty(); ++index) {
            auto key = read(Tag<std::string>());
            if (!values.emplace(std::move(key), read(Tag<Value>())).second) {
                fail("a map has a key twice");
            }
        }
        return values;
    }

    template <typename Value>
    auto read(Tag<Value> /*tag*/) -> Value requires requires(const Value &nested)
    {
        fieldsOf(nested);
    }
    {
        return value<Value>();
    }

    const std::vector<Item> &items_;
    std::size_t next_ = 0;
    std::string fault_;
};

} // namespace jasminewood::wire::internal
