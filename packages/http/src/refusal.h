#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

#include "jasminewood/http/server.h"

// Requests that are refused before their handler is called.

namespace jasminewood::http::internal
{

struct Refusal
{
    // Empty if the refusal is not reported to the UnservedListener.
    const std::optional<EndReason> reason_ = std::nullopt;
    // Empty if the caller has got its response already.
    const std::optional<BufferedResponse> response_ = std::nullopt;
    // After the response, as much as this is read and discarded, in bytes.
    const std::size_t discardedBytes_ = 0;
    // For the report.
    const std::string detail_ = {};

    auto operator<=>(const Refusal &) const = default;
};

// Returns the refusal of a request for which there is no memory, or whose body arrives too slowly or makes no progress.
auto refusalFor(EndReason reason, std::size_t maximumBodyBytes) -> Refusal;

// Returns the refusal of a request whose body exceeds the limit.
auto oversizedBodyRefusal(std::size_t maximumBodyBytes) -> Refusal;

// Returns the refusal of a request whose head exceeds the limit.
auto oversizedHeadRefusal(std::size_t maximumHeadBytes) -> Refusal;

// Returns the refusal of what is no request (RFC 9112).
auto malformedRefusal(const std::string &reason) -> Refusal;

} // namespace jasminewood::http::internal
