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
    // The number of engine priorities that requests can have.
    const std::uint32_t enginePriorityCount_ = 1;
    // The total time that the request may take.
    const Milliseconds timeout_ = Milliseconds(0);
};

// The longest timeout that a caller can request, and the default for a caller that states none.
constexpr Milliseconds maximumTimeout = std::chrono::minutes(10);

// Matches the request to a route and authenticates its API key. If keysConfirmed is false, no key is accepted,
// since one may have been revoked in the meantime.
auto admit(const routes::RouteTable &table, const RequestMetadata &metadata, const std::string &target,
    bool keysConfirmed) -> std::variant<AdmittedRequest, Refusal>;

// A request is admitted again before an attempt if its last admission is older than this: keys may have been revoked,
// or the process suspended, in the meantime.
constexpr Milliseconds admissionValidity = Milliseconds(250);

// Returns the time that remains of a timeout. Both durations count from the arrival; the second one includes the time
// for which the machine was suspended.
auto remainingTimeout(Milliseconds timeout, Clock::duration steadyElapsed, Clock::duration bootElapsed) -> Milliseconds;

} // namespace jasminewood::forward
