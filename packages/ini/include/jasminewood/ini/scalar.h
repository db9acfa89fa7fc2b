#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"

// Parsers of single values. Each function returns nothing unless the whole text is a valid value.

namespace jasminewood::ini
{

// Returns the text without whitespace at both ends.
auto trim(std::string_view text) -> std::string_view;

// Parses a decimal integer with an optional minus sign.
auto parseInteger(std::string_view text) -> std::optional<std::int64_t>;

// Parses a finite number with or without decimals, such as "0.25".
auto parseDecimal(std::string_view text) -> std::optional<double>;

// Parses a duration such as "250ms", "3s", "7.5s", "2m" or "1h". The unit of a number without a unit is milliseconds.
auto parseDuration(std::string_view text) -> std::optional<Milliseconds>;

// Parses "yes" or "no".
auto parseYesNo(std::string_view text) -> std::optional<bool>;

// Returns the trimmed items of a comma-separated list, without the empty ones.
auto parseList(std::string_view text) -> std::vector<std::string>;

} // namespace jasminewood::ini
