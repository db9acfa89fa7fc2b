#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// The output of fake-engine as a function of the prompt, so that a checker can verify that a response is complete, has
// no gaps and belongs to the caller's own request.
//
//     check(response == testbench::expectedText(message, 0, testbench::expectedTokens(message, std::nullopt)));

namespace jasminewood::testbench
{

// Returns token number `index` of the response to the last user message: a word and one space.
auto expectedToken(std::string_view lastUserMessage, std::size_t index) -> std::string;

// Returns the tokens from `first` up to but excluding `end`.
auto expectedText(std::string_view lastUserMessage, std::size_t first, std::size_t end) -> std::string;

// Returns the number of tokens of the complete response: N of "[tokens=N]" in the message, else max_tokens, else a
// number from 8 to 135 that depends on the message.
auto expectedTokens(std::string_view lastUserMessage, std::optional<std::size_t> maximumTokens) -> std::size_t;

// Returns N of "[tokens=N]" in the message, or nothing if there is none.
auto requestedTokens(std::string_view lastUserMessage) -> std::optional<std::size_t>;

// Returns the number of complete tokens in a text that the engine generated.
auto countTokens(std::string_view text) -> std::size_t;

} // namespace jasminewood::testbench
