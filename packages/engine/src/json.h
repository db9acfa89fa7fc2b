#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace jasminewood::engine::internal
{

// Preserves the order of members, so that a modified body differs little from the caller's.
using Json = nlohmann::ordered_json;

// Returns the parsed object; empty if the text is not a JSON object or is nested more than maximumNestingDepth levels
// deep.
auto parseObject(std::string_view text) -> std::optional<Json>;

// Returns the member, or null if the value is not an object or has no such member.
auto member(const Json &value, const char *name) -> const Json &;

// Returns the string, or an empty string if the value is not a string.
auto stringOrEmpty(const Json &value) -> std::string;

// Returns the number if the value is an unsigned integer of at most the maximum.
auto unsignedUpTo(const Json &value, std::uint64_t maximum) -> std::optional<std::uint64_t>;

} // namespace jasminewood::engine::internal
