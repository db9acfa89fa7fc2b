#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/routes/route_table.h"

// Decides whether a request may be forwarded, and how long it may take.

namespace jasminewood::forward
{

// Why a request is not forwarded, as reported to the caller. A refused request did not run.
struct Refusal
{
    const int status_ = 503;
    // A machine-readable code, in lower case with underscores.
    const std::string code_;
    const std::string message_;
    // Delay after which a retry may succeed; 0 if none can succeed.
    const Milliseconds retryAfter_ = Milliseconds(0);

    auto operator<=>(const Refusal &) const = default;
};

// A request that may be forwarded. The pointers are valid as long as the route table.
struct AdmittedRequest
{
    const routes::Route *route_ = nullptr;
    // nullptr for an anonymous request.
    const routes::Account *account_ = nullptr;
    // 0 is the highest priority.
    const std::uint32_t enginePriority_ = 0;
    // The total time that the request may take.
    const Milliseconds timeout_ = Milliseconds(0);
};

// The timeout of a caller that does not state one, and the longest that is accepted.
constexpr Milliseconds maximumTimeout = std::chrono::minutes(10);

// Matches the request to a route and authenticates its API key. While keysConfirmed is false no key is accepted, since
// one may have been revoked in the meantime.
auto admit(const routes::RouteTable &table, const RequestMetadata &metadata, const std::string &target,
    bool keysConfirmed) -> std::variant<AdmittedRequest, Refusal>;

} // namespace jasminewood::forward
