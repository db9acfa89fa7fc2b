#pragma once

#include <compare>
#include <cstdint>
#include <variant>

#include "jasminewood/core/failure.h"
#include "jasminewood/routes/configuration.h"

// Decides whether a request is retried after an attempt without a usable response.

namespace jasminewood::forward
{

// The attempts of one request so far.
struct AttemptHistory
{
    // Attempts that an upstream may have started to run.
    const std::uint32_t possiblyRunAttempts_ = 0;
    // All attempts, including those that were certainly not run.
    const std::uint32_t totalAttempts_ = 0;

    auto operator<=>(const AttemptHistory &) const = default;
};

// Send the request to another upstream if the retry budget permits it.
struct Retry
{
    auto operator<=>(const Retry &) const = default;
};

// Report the failure to the caller. runState_ is NotRun if it is certain that no attempt ran.
struct NoRetry
{
    const RunState runState_ = RunState::MayHaveRun;

    auto operator<=>(const NoRetry &) const = default;
};

using RetryDecision = std::variant<Retry, NoRetry>;

// The maximum number of attempts of one request, including attempts that no upstream started to run.
constexpr std::uint32_t maximumTotalAttempts = 4;

// The history includes the attempt that has just failed.
auto decideRetry(const routes::Route &route, const AttemptHistory &history) -> RetryDecision;

// Returns whether the route's responses are streams that may be resumed at another upstream.
auto isResumable(const routes::Route &route) -> bool;

// Returns whether a request of the route may run more than once.
auto allowsRerun(const routes::Route &route) -> bool;

} // namespace jasminewood::forward
