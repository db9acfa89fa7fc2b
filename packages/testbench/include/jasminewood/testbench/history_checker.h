#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/testbench/history.h"

// Finds where the history of a concurrent run breaks a guarantee.
//
//     for (const auto &violation : testbench::findViolations(history, {})) {
//         fmt::print(stderr, "{}\n", testbench::toString(violation));
//     }

namespace jasminewood::testbench
{

enum class Rule : std::uint8_t
{
    // A non-idempotent key runs at most once.
    RunsAtMostOnce,
    // An answer is whole and the caller's own, and what precedes an error is the beginning of that answer.
    AnswerIsOwnAndWhole,
    // Each request ends with an answer or an error.
    RequestEnds,
    // A request that is reported as not run never runs, neither before nor after the report.
    NotRunIsTrue,
    // The revision of the manifest in a process never falls.
    ManifestNeverFalls,
    // An accepted manifest, or a later one, is in force in each process within the limit.
    ManifestIsEverywhere,
    // A class that has work in hand throughout a window completes some of it.
    EveryClassProgresses,
    // No attempt is shed while one of a lower tier keeps its place in the same queue.
    HigherTierIsKept,
};

// Returns a short sentence without a full stop.
auto toString(Rule rule) -> std::string_view;

struct Violation
{
    const Rule rule_ = Rule::RunsAtMostOnce;
    const Microseconds time_ = Microseconds(0);
    // The call, key, process or attempt and what was seen.
    const std::string detail_;

    auto operator<=>(const Violation &) const = default;
};

// Returns "at TIME s: RULE: DETAIL".
auto toString(const Violation &violation) -> std::string;

struct HistoryLimits
{
    const Microseconds manifestInForce_ = std::chrono::seconds(5);
    const Microseconds progressWindow_ = std::chrono::seconds(5);
    // Classes that cannot progress in this run, for example bookings while the key-value service is out.
    const std::set<std::string> classesWithoutProgress_;

    auto operator<=>(const HistoryLimits &) const = default;
};

// Returns all violations, ordered by rule and then by time.
auto findViolations(const History &history, const HistoryLimits &limits) -> std::vector<Violation>;

} // namespace jasminewood::testbench
