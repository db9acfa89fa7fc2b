#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"

// Conversion of single values. Each function returns nothing if the text as a whole is not such a value.

namespace jasminewood::ini
{

// Removes blanks at both ends.
auto trim(std::string_view text) -> std::string_view;

// Decimal, with an optional sign.
auto parseInteger(std::string_view text) -> std::optional<std::int64_t>;

// A finite number with or without decimals, such as "0.25".
auto parseDecimal(std::string_view text) -> std::optional<double>;

// "250ms", "3s", "7.5s", "2m" or "1h"; a number without a unit counts milliseconds.
auto parseDuration(std::string_view text) -> std::optional<Milliseconds>;

// "yes" or "no".
auto parseYesNo(std::string_view text) -> std::optional<bool>;

// The trimmed parts between commas, without the empty ones.
auto parseList(std::string_view text) -> std::vector<std::string>;

} // namespace jasminewood::ini
