#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "jasminewood/claims/claim.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"

// The steps of one non-idempotent request at one router, as a pure state machine. The router performs each action,
// reports its outcome as the next event, and stops at Done.
//
//     auto machine = claims::ClaimMachine(request);
//     auto action = std::optional(machine.step(claims::Begin{}, now()));
//     while (!std::holds_alternative<claims::Done>(*action)) {
//         const auto event = perform(*action);
//         action.emplace(machine.step(event, now()));
//     }

namespace jasminewood::claims
{

// Store actions. delay_ is how long to wait before the call. Every compare-and-swap that fails reports Exists with what
// it found.

// Create the key if it is absent. Outcome: Created, Exists, StoreUnavailable or StoreAnswerLost.
struct CreateIfAbsent
{
    const std::string key_;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CreateIfAbsent &) const = default;
};

// Read the key. Outcome: Exists, Absent, StoreUnavailable or StoreAnswerLost.
struct ReadBack
{
    const std::string key_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const ReadBack &) const = default;
};

// Replace the record if its revision is still the expected one. Outcome: Swapped, Exists, Absent, StoreUnavailable or
// StoreAnswerLost.
struct TakeOver
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const TakeOver &) const = default;
};

// As TakeOver, but in the background: the caller has its answer.
struct Complete
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const Complete &) const = default;
};

// As TakeOver, but in the background: the caller has its answer.
struct Release
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const Release &) const = default;
};

// Send Void for the attempt to exactly this incarnation of the agent. Outcome: AgentVoided, AgentRunning, AgentRan or
// AgentUnknown.
struct AskAgent
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const AskAgent &) const = default;
};

// The attempt of another router is running; wait for its end. Outcome: AgentRan, AgentVoided, AgentUnknown or
// DeadlinePassed.
struct WaitForAnswer
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const WaitForAnswer &) const = default;
};

// Dispatch this attempt once to exactly this incarnation of the agent. Outcome: AttemptFinished, AttemptFailed or
// DeadlinePassed.
struct DispatchNow
{
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const DispatchNow &) const = default;
};

// Give the caller this answer, which an earlier attempt of the same key produced. Outcome: CallerAnswered.
struct AnswerStored
{
    const ClaimAnswer answer_;

    auto operator<=>(const AnswerStored &) const = default;
};

// Give the caller this failure. Outcome: CallerAnswered. If an own attempt is still running, its end may be reported
// later by AttemptFinished or AttemptFailed.
struct Refuse
{
    const Failure failure_;

    auto operator<=>(const Refuse &) const = default;
};

// Nothing to do; the machine still expects an event.
struct AwaitEvent
{
    auto operator<=>(const AwaitEvent &) const = default;
};

// The request has ended. Every further event yields Done again.
struct Done
{
    auto operator<=>(const Done &) const = default;
};

using Action = std::variant<CreateIfAbsent, ReadBack, TakeOver, Complete, Release, AskAgent, WaitForAnswer, DispatchNow,
    AnswerStored, Refuse, AwaitEvent, Done>;

// The first event.
struct Begin
{
};

// CreateIfAbsent created the key with this revision.
struct Created
{
    const std::uint64_t revision_ = 0;
};

// TakeOver, Complete or Release wrote the record, which has this revision now.
struct Swapped
{
    const std::uint64_t revision_ = 0;
};

// The key has this record.
struct Exists
{
    const std::uint64_t revision_ = 0;
    const ClaimRecord record_;
};

// The key does not exist.
struct Absent
{
};

// The call had no effect, now or later: the connection was refused or the service declined it.
struct StoreUnavailable
{
    const Failure failure_;
};

// The call may take effect, now or later.
struct StoreAnswerLost
{
    const Failure failure_;
};

// The attempt never started at the agent and never will.
struct AgentVoided
{
};

// The attempt is running.
struct AgentRunning
{
};

// The attempt ran; the answer is empty if it failed or is no longer known.
struct AgentRan
{
    const std::optional<ClaimAnswer> answer_ = std::nullopt;
};

// The agent has another incarnation or could not be reached within the router's own bounds.
struct AgentUnknown
{
    const Failure failure_;
};

// The own attempt ended with this answer, which the caller has received.
struct AttemptFinished
{
    const ClaimAnswer answer_;
};

// Where the router would try again.
struct Candidate
{
    // Must be an attempt that was never used before.
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const Candidate &) const = default;
};

// The own attempt ended without an answer. With NotRun, which is the agent's confirmation, the claim moves to the next
// candidate if there is one.
struct AttemptFailed
{
    const Failure failure_;
    const std::optional<Candidate> next_ = std::nullopt;
};

// AnswerStored or Refuse was performed.
struct CallerAnswered
{
};

// The request's deadline passed while an action was outstanding.
struct DeadlinePassed
{
};

using Event = std::variant<Begin, Created, Swapped, Exists, Absent, StoreUnavailable, StoreAnswerLost, AgentVoided,
    AgentRunning, AgentRan, AgentUnknown, AttemptFinished, AttemptFailed, CallerAnswered, DeadlinePassed>;

// What one claim is about.
struct ClaimRequest
{
    // Key in the key-value service.
    const std::string key_;
    const NodeId router_;
    // The first attempt; unique over all routers and all retries by the caller.
    const Candidate first_;
    // No dispatch happens at or after this time.
    const TimePoint deadline_;

    auto operator<=>(const ClaimRequest &) const = default;
};

// How often a store call with a lost answer is repeated before the caller is refused.
constexpr std::uint32_t maximumStoreRepeats = 4;
// How often completing or releasing is tried after the caller has its answer.
constexpr std::uint32_t maximumBackgroundTries = 6;
// Delay before the first repeated store call; doubled for each further one.
constexpr Milliseconds storeRepeatDelay = Milliseconds(20);
// When the caller of a request that met an unreachable store may try again.
constexpr Milliseconds storeRetryAfter = Milliseconds(1'000);

// Each attempt is dispatched at most once, and only while the store's record names it. After Refuse nothing is
// dispatched any more. Events that do not belong to the outstanding action are disregarded. Not thread-safe.
class ClaimMachine
{
public:
    explicit ClaimMachine(ClaimRequest request);

    // Takes the outcome of the last action and returns the next one.
    auto step(const Event &event, TimePoint now) -> Action;

private:
    enum class Phase : std::uint8_t
    {
        Idle,
        Creating,
        Reading,
        TakingOver,
        VoidingOtherAttempt,
        AwaitingOtherAttempt,
        Dispatched,
        // The caller is being told; a background write may follow.
        Responding,
        // The caller was told "may have run" at the deadline while the own attempt was running.
        CallerTimedOut,
        WritingInBackground,
        Ended,
    };

    auto on(const Begin &event, TimePoint now) -> Action;
    auto on(const Created &event, TimePoint now) -> Action;
    auto on(const Swapped &event, TimePoint now) -> Action;
    auto on(const Exists &event, TimePoint now) -> Action;
    auto on(const Absent &event, TimePoint now) -> Action;
    auto on(const StoreUnavailable &event, TimePoint now) -> Action;
    auto on(const StoreAnswerLost &event, TimePoint now) -> Action;
    auto on(const AgentVoided &event, TimePoint now) -> Action;
    auto on(const AgentRunning &event, TimePoint now) -> Action;
    auto on(const AgentRan &event, TimePoint now) -> Action;
    auto on(const AgentUnknown &event, TimePoint now) -> Action;
    auto on(const AttemptFinished &event, TimePoint now) -> Action;
    auto on(const AttemptFailed &event, TimePoint now) -> Action;
    auto on(const CallerAnswered &event, TimePoint now) -> Action;
    auto on(const DeadlinePassed &event, TimePoint now) -> Action;

    auto isAcquiring() const -> bool;
    auto isResolvingOtherAttempt() const -> bool;
    auto ownRecord(ClaimState state) const -> ClaimRecord;
    auto createClaim(Milliseconds delay) -> Action;
    auto takeOverClaim(Milliseconds delay) -> Action;
    auto onClaimAcquired(std::uint64_t revision, TimePoint now) -> Action;
    auto onRecordRead(const ClaimRecord &record, TimePoint now) -> Action;
    auto refuse(const Failure &failure) -> Action;
    auto refuseNotRun(const std::string &step, const std::string &reason) -> Action;
    auto respondFromCompletedClaim(const std::optional<ClaimAnswer> &response) -> Action;
    auto makeCompletion(const ClaimRecord &record, const std::optional<ClaimAnswer> &response) const -> Action;
    auto startBackgroundWrite(Action write) -> Action;
    auto retryBackgroundWrite() -> Action;
    auto finish() -> Action;
    auto awaitOutstandingEvent() const -> Action;

    ClaimRequest request_;
    Phase phase_ = Phase::Idle;
    // The attempt that the next claim names or the last one named.
    std::optional<Candidate> target_;
    // The last record seen that belongs to another attempt, with revision_.
    std::optional<ClaimRecord> otherRecord_;
    std::uint64_t revision_ = 0;
    // The record with this revision is known not to run; it may be taken over.
    std::optional<std::uint64_t> voidedRevision_;
    // Store calls repeated in the current phase.
    std::uint32_t retries_ = 0;
    std::optional<Action> backgroundWrite_;
};

} // namespace jasminewood::claims
