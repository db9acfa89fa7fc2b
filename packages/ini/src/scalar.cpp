#include "jasminewood/ini/scalar.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace jasminewood::ini
{

namespace
{

constexpr std::string_view whitespace = " \t\r\n";

struct Unit
{
    std::string_view suffix_;
    std::int64_t milliseconds_;
};

// "ms" precedes "m" and "s", because the first matching suffix is used.
constexpr auto units = std::array {Unit {"ms", 1}, Unit {"s", 1'000}, Unit {"m", 60'000}, Unit {"h", 3'600'000}};

} // namespace

auto trim(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

auto parseInteger(std::string_view text) -> std::optional<std::int64_t>
{
    auto value = std::int64_t(0);
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return value;
}

auto parseDecimal(std::string_view text) -> std::optional<double>
{
    auto value = 0.0;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (error != std::errc() || rest != end || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

namespace
{

auto parseFraction(std::string_view whole, std::string_view decimals, std::int64_t factor)
    -> std::optional<Milliseconds>
{
    constexpr std::size_t maximumDecimals = 9;
    const auto count = parseInteger(whole);
    if (!count || *count < 0 || *count > std::numeric_limits<std::int64_t>::max() / factor - 1 || decimals.empty()
        || decimals.size() > maximumDecimals || decimals.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    auto part = 0.0;
    for (auto digit = decimals.rbegin(); digit != decimals.rend(); ++digit) {
        part = (part + (*digit - '0')) / 10;
    }
    return Milliseconds(*count * factor + std::int64_t(std::lround(part * double(factor))));
}

} // namespace

auto parseDuration(std::string_view text) -> std::optional<Milliseconds>
{
    auto factor = std::int64_t(1);
    for (const auto &unit : units) {
        if (text.ends_with(unit.suffix_)) {
            factor = unit.milliseconds_;
            text.remove_suffix(unit.suffix_.size());
            break;
        }
    }
    text = trim(text);
    // A fraction of a larger unit, such as "7.5s", is rounded to whole milliseconds.
    if (const auto point = text.find('.'); point != std::string_view::npos && factor > 1) {
        return parseFraction(text.substr(0, point), text.substr(point + 1), factor);
    }
    const auto count = parseInteger(text);
    if (!count || *count < 0 || *count > std::numeric_limits<std::int64_t>::max() / factor) {
        return std::nullopt;
    }
    return Milliseconds(*count * factor);
}

auto parseYesNo(std::string_view text) -> std::optional<bool>
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return std::nullopt;
}

auto parseList(std::string_view text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto part = trim(text.substr(0, comma));
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

} // namespace jasminewood::ini
