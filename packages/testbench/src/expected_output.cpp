#include "jasminewood/testbench/expected_output.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

namespace jasminewood::testbench
{

namespace
{

constexpr std::size_t lettersPerWord = 5;
constexpr std::size_t minimumTokens = 8;
constexpr std::size_t tokenCountRange = 128;
constexpr std::string_view tokensMarker = "[tokens=";

} // namespace

auto expectedToken(std::string_view lastUserMessage, std::size_t index) -> std::string
{
    auto bits = XXH64(lastUserMessage.data(), lastUserMessage.size(), index);
    auto word = std::string();
    for (std::size_t letter = 0; letter < lettersPerWord; ++letter) {
        word.push_back(char('a' + bits % 26));
        bits /= 26;
    }
    return word + " ";
}

auto expectedText(std::string_view lastUserMessage, std::size_t first, std::size_t end) -> std::string
{
    auto text = std::string();
    for (auto index = first; index < end; ++index) {
        text += expectedToken(lastUserMessage, index);
    }
    return text;
}

auto requestedTokens(std::string_view lastUserMessage) -> std::optional<std::size_t>
{
    const auto marker = lastUserMessage.find(tokensMarker);
    if (marker == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = lastUserMessage.substr(marker + tokensMarker.size());
    auto count = std::size_t(0);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return parsed.ec == std::errc() ? std::optional(count) : std::nullopt;
}

auto expectedTokens(std::string_view lastUserMessage, std::optional<std::size_t> maximumTokens) -> std::size_t
{
    const auto requested = requestedTokens(lastUserMessage);
    const auto derived = minimumTokens + XXH64(lastUserMessage.data(), lastUserMessage.size(), 0) % tokenCountRange;
    return requested ? *requested : maximumTokens.value_or(derived);
}

auto countTokens(std::string_view text) -> std::size_t
{
    return std::size_t(std::count(text.begin(), text.end(), ' '));
}

} // namespace jasminewood::testbench
