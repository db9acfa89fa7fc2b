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

enum class Invariant : std::uint8_t
{
    // A non-idempotent key runs at most once.
    RunsAtMostOnce,
    // An answer is whole and the caller's own, and what precedes an error is the beginning of that answer.
    ResponseMatchesRequest,
    // Each request ends with an answer or an error.
    RequestTerminates,
    // A request that is reported as not run never runs, neither before nor after the report.
    NotRunNeverRuns,
    // The revision of the manifest in a process never falls.
    ManifestRevisionIsMonotonic,
    // An accepted manifest, or a later one, is in force in each process within the limit.
    ManifestPropagates,
    // A class that has work in hand throughout a window completes some of it.
    NoClassStarves,
    // No attempt is shed while one of a lower tier keeps its place in the same queue.
    LowerTiersAreShedFirst,
};

// Returns a short sentence without a full stop.
auto toString(Invariant rule) -> std::string_view;

struct Violation
{
    const Invariant invariant_ = Invariant::RunsAtMostOnce;
    const Microseconds time_ = Microseconds(0);
    // The call, key, process or attempt and what was seen.
    const std::string detail_;

    auto operator<=>(const Violation &) const = default;
};

// Returns "at TIME s: RULE: DETAIL".
auto toString(const Violation &violation) -> std::string;

struct HistoryLimits
{
    const Microseconds manifestPropagation_ = std::chrono::seconds(5);
    const Microseconds progressWindow_ = std::chrono::seconds(5);
    // Classes that cannot progress in this run, for example bookings while the key-value service is out.
    const std::set<std::string> stalledClasses_;

    auto operator<=>(const HistoryLimits &) const = default;
};

// Returns all violations, ordered by rule and then by time.
auto findViolations(const History &history, const HistoryLimits &limits) -> std::vector<Violation>;

} // namespace jasminewood::testbench
