#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"

// Decides when an idempotent request is hedged: sent to a second upstream because the first one has produced no token
// yet.
//
//     hedges.recordRequest();
//     const auto delay = hedges.hedgeDelay("quote");
//     if (delay && waited >= *delay && hedges.tryAcquireHedge()) {
//         dispatchSecondAttempt();
//     }
//     hedges.recordTimeToFirstToken("quote", 210ms);

namespace jasminewood::routing
{

// The fraction of requests that may be hedged.
constexpr double hedgeBudgetFraction = 0.02;
// The maximum number of unused hedges that accumulate.
constexpr double hedgeBudgetBurst = 10;
// The quantile of a class's times to first token after which a request is hedged.
constexpr double hedgeQuantile = 0.95;
// The number of most recent times to first token kept per class, and the number required before the class is hedged.
constexpr std::size_t maximumHedgeSamples = 400;
constexpr std::size_t minimumHedgeSamples = 40;
// The maximum number of classes with samples; further classes are not hedged.
constexpr std::size_t maximumHedgeClasses = 256;

// Over any sequence of calls, hedges are at most hedgeBudgetFraction of requests. Not thread-safe.
class HedgePolicy
{
public:
    // Records a request from a caller.
    auto recordRequest() -> void;

    // Records the time to first token of an attempt that received a response; for a hedged request, measured from its
    // first dispatch.
    auto recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void;

    // Returns the time without a first token after which a request of the class is hedged; empty while there are too
    // few samples.
    auto hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>;

    // Returns true and takes one hedge from the budget if one is available.
    auto tryAcquireHedge() -> bool;

private:
    std::map<std::string, std::deque<Microseconds>> timesToFirstToken_;
    double availableHedges_ = 0;
};

} // namespace jasminewood::routing
