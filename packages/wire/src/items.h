#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/core/result.h"

// The flat sequence of items in a msgpack document, as views into its bytes.

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

// The next count_ items, with their own contents, are the elements.
struct ListStart
{
    std::uint32_t count_ = 0;
};

// The next count_ pairs of items, with their own contents, are the entries.
struct MapStart
{
    std::uint32_t count_ = 0;
};

using Item = std::variant<Nil, bool, std::uint64_t, std::int64_t, Text, Bytes, ListStart, MapStart>;

auto decodeFailure(std::string_view reason) -> Failure;

// Splits one whole document, without bytes after it. Floats and extension types fail, as no message has them.
auto splitItems(std::string_view bytes) -> Result<std::vector<Item>>;

} // namespace jasminewood::wire::internal
