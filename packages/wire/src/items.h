#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/core/result.h"

// The items of a msgpack document as a flat sequence; texts and byte strings are views into the document.

namespace jasminewood::wire::internal
{

struct Nil
{
};

struct Text
{
    std::string_view text_;
};

struct Bytes
{
    std::string_view bytes_;
};

// The next count_ items, each with its nested items, are the elements.
struct ListStart
{
    std::uint32_t count_ = 0;
};

// The next count_ pairs of items, each with its nested items, are the entries.
struct MapStart
{
    std::uint32_t count_ = 0;
};

using Item = std::variant<Nil, bool, std::uint64_t, std::int64_t, Text, Bytes, ListStart, MapStart>;

// Returns a failure with step "decode".
auto decodeFailure(std::string_view reason) -> Failure;

// Splits one complete document. Fails if bytes follow it, and for floats and extension types, which no message has.
auto splitItems(std::string_view bytes) -> Result<std::vector<Item>>;

} // namespace jasminewood::wire::internal
