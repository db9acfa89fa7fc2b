#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "jasminewood/core/result.h"

// Parses JSON text of another writer, which may be malformed or hostile. No exception of the JSON library leaves it.
//
//     const auto document = jsontext::parse(text);
//     if (!document) {
//         log(document.failure());
//     }

namespace jasminewood::jsontext
{

// Copies and the serialiser of the JSON library are recursive: a document of 10,000 levels overflows a stack of 1 MiB.
constexpr std::size_t maximumDepth = 64;
// Integers up to this one are the same in every JSON implementation, also in those that use floating point.
constexpr std::int64_t maximumInteger = std::int64_t(1) << 53U;

// Returns the document. Fails with step "decode" if the text is malformed or nested more than maximumDepth levels deep;
// the latter is found out before anything is parsed.
auto parse(std::string_view text) -> Result<nlohmann::json>;

// Passes the document to the converter. An exception of the JSON library for a missing member or a wrong type becomes a
// failure with step "decode".
template <typename Converter>
auto decode(std::string_view text, Converter convert) -> Result<decltype(convert(nlohmann::json()))>;

// Returns the number if the value is a whole number within the bounds. One in floating-point notation must be exact.
auto wholeNumber(const nlohmann::json &value, std::int64_t minimum, std::int64_t maximum)
    -> std::optional<std::int64_t>;

namespace internal
{

// Returns the failure with the start of the reason: the JSON library quotes the text that it cannot read.
auto decodeFailure(std::string_view reason) -> Failure;

} // namespace internal

template <typename Converter>
auto decode(std::string_view text, Converter convert) -> Result<decltype(convert(nlohmann::json()))>
{
    const auto document = parse(text);
    if (!document) {
        return document.failure();
    }
    try {
        return convert(*document);
    } catch (const nlohmann::json::exception &exception) {
        return internal::decodeFailure(exception.what());
    }
}

} // namespace jasminewood::jsontext
