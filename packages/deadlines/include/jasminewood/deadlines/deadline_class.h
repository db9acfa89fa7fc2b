#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"

// Classifies requests by whether their first output token can still meet the latency target of their route, and maps
// the class to the urgency that is sent to the engine.
//
//     const auto deadlineClass = classify({.inTime_ = 300ms, .behindAll_ = 900ms}, {.untilDue_ = 400ms, ...});
//     const auto urgency = engineUrgency(rank, ranks, deadlineClass);

namespace jasminewood::deadlines
{

// The first token can meet the target, or there is no target.
struct InTime
{
    auto operator<=>(const InTime &) const = default;
};

// The first token comes after the target.
struct Late
{
    auto operator<=>(const Late &) const = default;
};

// The first token comes after the timeout of the request.
struct Hopeless
{
    auto operator<=>(const Hopeless &) const = default;
};

using DeadlineClass = std::variant<InTime, Late, Hopeless>;

// Returns "in time", "late" or "hopeless".
auto toString(const DeadlineClass &deadlineClass) -> std::string;

auto isInTime(const DeadlineClass &deadlineClass) -> bool;

// The estimated time until the first output token.
struct FirstTokenEstimate
{
    // Behind the pending prompts that are in time and of the same or a more urgent rank.
    const Milliseconds inTime_ = Milliseconds(0);
    // Behind all pending prompts.
    const Milliseconds behindAll_ = Milliseconds(0);

    auto operator<=>(const FirstTokenEstimate &) const = default;
};

struct TimeLeft
{
    // Until the latency target; empty without a target.
    const std::optional<Milliseconds> untilDue_ = std::nullopt;
    const Milliseconds untilTimeout_ = Milliseconds(0);

    auto operator<=>(const TimeLeft &) const = default;
};

// Part of a route's target that is left for the network and for the wait until the engine's next step.
constexpr Milliseconds firstTokenMargin = Milliseconds(50);

auto classify(const FirstTokenEstimate &estimate, const TimeLeft &timeLeft) -> DeadlineClass;

// Engines distinguish the urgencies 0, the most urgent, to 9.
constexpr std::uint32_t urgencyLevels = 10;

// Returns the urgency for the engine. rank is below rankCount, and 0 is the most urgent one. With up to five ranks,
// each has one level for requests in time and the next one for late requests. With more ranks, only the first
// urgencyLevels - rankCount ones have two levels, because a request must never be less urgent than one of a lower rank.
auto engineUrgency(std::uint32_t rank, std::uint32_t rankCount, const DeadlineClass &deadlineClass) -> std::uint32_t;

} // namespace jasminewood::deadlines
