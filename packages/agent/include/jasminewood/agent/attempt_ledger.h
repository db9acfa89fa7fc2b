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

// What one agent knows of the attempts that were meant for it: the record that decides whether "not run" is true.
//
//     const auto verdict = ledger.dispatch(attempt, expectedIncarnation);
//     if (std::holds_alternative<Accepted>(verdict)) { enqueue(...); }
//     ...
//     if (ledger.start(attempt)) { callUpstream(...); }
//
// The record lives as long as the process. Its successor has another incarnation and refuses all earlier attempts.

namespace jasminewood::agent
{

// A claim lives for 24 h in the key-value service; until then any router may ask for its attempt.
constexpr std::chrono::hours attemptRetention = std::chrono::hours(25);
// About 100 bytes each: 20 MB when full, within the 64 MB that a node may use for control.
constexpr std::size_t maximumTrackedAttempts = 200'000;

enum class AttemptState : std::uint8_t
{
    Queued,
    Running,
    Ran,
    // Never started and never will.
    Voided,
};

struct Accepted
{
    auto operator<=>(const Accepted &) const = default;
};

// The attempt was dispatched before; it must not start again.
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

// Not thread-safe: the gate owns it under its mutex.
class AttemptLedger
{
public:
    explicit AttemptLedger(NodeId self, std::size_t capacity = maximumTrackedAttempts);

    // Decides on a dispatch. An attempt meant for another incarnation, or one that is voided, is rejected as not run.
    // Once the ledger is full it rejects new attempts whose answer "not run" could later be wrong.
    auto registerDispatch(const AttemptId &attempt, std::uint64_t expectedIncarnation, bool idempotent, TimePoint now)
        -> DispatchDecision;

    // Returns whether the attempt may start now: it is queued and was not voided.
    auto tryStart(const AttemptId &attempt) -> bool;

    // The attempt left the queue without a start. It never will start.
    auto markNeverStarted(const AttemptId &attempt) -> void;

    // The attempt's call ended; runState is NotRun only if the upstream was never reached.
    auto markEnded(const AttemptId &attempt, RunState runState) -> void;

    // Makes sure that an attempt that has not started never will, and returns its state afterwards.
    auto voidAttempt(const AttemptId &attempt, TimePoint now) -> AttemptState;

    // Forgets an idempotent attempt that is over; nobody asks for its run state again.
    auto erase(const AttemptId &attempt) -> void;

    // Forgets attempts that were first seen longer than attemptRetention ago and do not run.
    auto eraseExpired(TimePoint now) -> void;

    auto size() const -> std::size_t;

private:
    const NodeId self_;
    const std::size_t capacity_;
    std::map<AttemptId, AttemptState> states_;
    // Attempts that are kept until they expire, by the time at which they were first seen.
    std::deque<std::pair<TimePoint, AttemptId>> kept_;
};

} // namespace jasminewood::agent
