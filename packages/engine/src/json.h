#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace jasminewood::engine::internal
{

// Keeps the order of members, so that a changed body stays close to the caller's.
using Json = nlohmann::ordered_json;

// Parses an object nested at most maximumDepth deep; nothing for anything else.
auto parseObject(std::string_view text) -> std::optional<Json>;

// Returns the member, or null if the value is no object or has no such member.
auto member(const Json &value, const char *name) -> const Json &;

// Returns the string, or an empty one if the value is no string.
auto textOf(const Json &value) -> std::string;

// Returns the number if the value is an unsigned integer up to the maximum.
auto unsignedOf(const Json &value, std::uint64_t maximum) -> std::optional<std::uint64_t>;

} // namespace jasminewood::engine::internal
