#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/testbench/history.h"

// Finds the violations of the system's guarantees in the history of a concurrent run.
//
//     for (const auto &violation : testbench::findViolations(history, {})) {
//         fmt::print(stderr, "{}\n", testbench::toString(violation));
//     }

namespace jasminewood::testbench
{

enum class Invariant : std::uint8_t
{
    // A non-idempotent request runs at most once for each idempotency key.
    RunsAtMostOnce,
    // A response is complete and belongs to the caller's request. Output before an error is a prefix of that response.
    ResponseMatchesRequest,
    // Each request ends with a response or an error.
    RequestTerminates,
    // A request that is reported as not run never runs, neither before nor after the report.
    NotRunNeverRuns,
    // The revision of the active manifest in a process never decreases.
    ManifestRevisionIsMonotonic,
    // An accepted manifest, or a later one, is active in each process within the limit.
    ManifestPropagates,
    // A class that has requests in flight throughout a window completes at least one of them.
    NoClassStarves,
    // No attempt is shed while one of a lower tier stays in the same queue.
    LowerTiersAreShedFirst,
};

// Returns a short description of the violation of the invariant, without a full stop.
auto toString(Invariant invariant) -> std::string_view;

struct Violation
{
    const Invariant invariant_ = Invariant::RunsAtMostOnce;
    const Microseconds time_ = Microseconds(0);
    // The call, key, process or attempt and what was observed.
    const std::string detail_;

    auto operator<=>(const Violation &) const = default;
};

// Returns "at TIME s: INVARIANT: DETAIL".
auto toString(const Violation &violation) -> std::string;

struct HistoryLimits
{
    const Microseconds manifestPropagation_ = std::chrono::seconds(5);
    const Microseconds progressWindow_ = std::chrono::seconds(5);
    // Classes that cannot progress in this run, for example bookings while the key-value service is unavailable.
    const std::set<std::string> stalledClasses_;

    auto operator<=>(const HistoryLimits &) const = default;
};

// Returns all violations, ordered by invariant and then by time.
auto findViolations(const History &history, const HistoryLimits &limits) -> std::vector<Violation>;

} // namespace jasminewood::testbench
