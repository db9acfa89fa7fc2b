#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"

// States of the attempts dispatched to one agent. The agent reports an attempt as not run only if the ledger says so.
//
//     const auto decision = ledger.registerDispatch(attempt, expectedIncarnation);
//     if (std::holds_alternative<Accepted>(decision)) { enqueue(...); }
//     ...
//     if (ledger.tryStart(attempt)) { callUpstream(...); }
//
// The ledger is kept in memory only. A restarted agent has another incarnation and rejects all earlier attempts.

namespace jasminewood::agent
{

// Longer than the 24 h for which the key-value service keeps a claim: until then any router may ask for the run state
// of the claimed attempt.
constexpr std::chrono::hours attemptRetention = std::chrono::hours(25);
// About 100 bytes per attempt: 20 MB when full, within the 64 MB that a node may use for control data.
constexpr std::size_t maximumTrackedAttempts = 200'000;

enum class AttemptState : std::uint8_t
{
    Queued,
    Running,
    Ran,
    // The attempt did not run and must never start.
    NotRun,
};

struct Accepted
{
    auto operator<=>(const Accepted &) const = default;
};

// The attempt was dispatched before and must not start again.
struct Duplicate
{
    auto operator<=>(const Duplicate &) const = default;
};

struct Rejected
{
    const Failure failure_;

    auto operator<=>(const Rejected &) const = default;
};

using DispatchDecision = std::variant<Accepted, Duplicate, Rejected>;

// Not thread-safe: guarded by the gate's mutex.
class AttemptLedger
{
public:
    explicit AttemptLedger(NodeId self, std::size_t capacity = maximumTrackedAttempts);

    // Records a dispatch, unless it is a duplicate or rejected. An attempt for another incarnation and a voided attempt
    // are rejected as not run. A full ledger also rejects new non-idempotent attempts, because without a record of them
    // it could later report a wrong "not run".
    auto registerDispatch(const AttemptId &attempt, std::uint64_t expectedIncarnation, bool idempotent, TimePoint now)
        -> DispatchDecision;

    // Marks the attempt as running and returns true if it is queued; returns false otherwise, for example if it was
    // voided.
    auto tryStart(const AttemptId &attempt) -> bool;

    // Records that the attempt left the queue without having started; it must never start.
    auto markNotRun(const AttemptId &attempt) -> void;

    // Records that the attempt's call ended. runState is NotRun only if the upstream was never reached.
    auto markEnded(const AttemptId &attempt, RunState runState) -> void;

    // Voids the attempt, known or not, unless it has started; a voided attempt never starts. Returns the resulting
    // state.
    auto voidAttempt(const AttemptId &attempt, TimePoint now) -> AttemptState;

    // Erases an idempotent attempt that has ended. Its run state is not needed any more.
    auto erase(const AttemptId &attempt) -> void;

    // Erases attempts that were first seen longer than attemptRetention ago and are not running.
    auto eraseExpired(TimePoint now) -> void;

    auto size() const -> std::size_t;

private:
    const NodeId self_;
    const std::size_t capacity_;
    std::map<AttemptId, AttemptState> states_;
    // Attempts that eraseExpired() may erase, in the order in which they were first seen.
    std::deque<std::pair<TimePoint, AttemptId>> expiryQueue_;
};

} // namespace jasminewood::agent
