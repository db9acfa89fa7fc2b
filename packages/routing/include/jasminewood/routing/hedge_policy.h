#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"

// When an idempotent request is sent to a second upstream because the first one has not answered.
//
//     hedges.requested();
//     const auto after = hedges.hedgeAfter("quote");
//     if (after && waited >= *after && hedges.tryHedge()) {
//         dispatchSecondAttempt();
//     }
//     hedges.firstToken("quote", 210ms);

namespace jasminewood::routing
{

// Hedges per request.
constexpr double hedgeBudgetFraction = 0.02;
// Hedges that can be saved up.
constexpr double hedgeBudgetBurst = 10;
// The quantile of a class's first-token time after which a request is hedged.
constexpr double hedgeQuantile = 0.95;
// Latest first-token times that are kept per class, and how many are needed before the class is hedged.
constexpr std::size_t maximumHedgeSamples = 400;
constexpr std::size_t minimumHedgeSamples = 40;
// Classes with samples; further classes are not hedged.
constexpr std::size_t maximumHedgeClasses = 256;

// Over any sequence of calls, hedges are at most hedgeFraction of requests. Not thread-safe.
class HedgePolicy
{
public:
    // A request arrived from a caller.
    auto recordRequest() -> void;

    // First-token time of an attempt that was answered, of hedged requests from the first dispatch on.
    auto recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void;

    // Returns the time without a first token after which a request of the class is hedged; empty while too few times
    // are known.
    auto hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>;

    // Returns true and takes one hedge off the budget if there is one.
    auto tryAcquireHedge() -> bool;

private:
    std::map<std::string, std::deque<Microseconds>> samples_;
    double tokens_ = 0;
};

} // namespace jasminewood::routing
