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
struct CreateClaim
{
    const std::string key_;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CreateClaim &) const = default;
};

// Read the key. Outcome: Exists, Absent, StoreUnavailable or StoreAnswerLost.
struct ReadClaim
{
    const std::string key_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const ReadClaim &) const = default;
};

// Replace the record if its revision is still the expected one. Outcome: Swapped, Exists, Absent, StoreUnavailable or
// StoreAnswerLost.
struct TakeOverClaim
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const TakeOverClaim &) const = default;
};

// As TakeOver, but in the background: the caller has its answer.
struct CompleteClaim
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CompleteClaim &) const = default;
};

// As TakeOver, but in the background: the caller has its answer.
struct ReleaseClaim
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const ReleaseClaim &) const = default;
};

// Send Void for the attempt to exactly this incarnation of the agent. Outcome: AgentVoided, AgentRunning, AgentRan or
// AgentUnknown.
struct VoidAttempt
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const VoidAttempt &) const = default;
};

// The attempt of another router is running; wait for its end. Outcome: AgentRan, AgentVoided, AgentUnknown or
// DeadlinePassed.
struct AwaitAttemptEnd
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const AwaitAttemptEnd &) const = default;
};

// Dispatch this attempt once to exactly this incarnation of the agent. Outcome: AttemptFinished, AttemptFailed or
// DeadlinePassed.
struct DispatchAttempt
{
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const DispatchAttempt &) const = default;
};

// Give the caller this answer, which an earlier attempt of the same key produced. Outcome: CallerAnswered.
struct ReturnStoredResponse
{
    const StoredResponse response_;

    auto operator<=>(const ReturnStoredResponse &) const = default;
};

// Give the caller this failure. Outcome: CallerAnswered. If an own attempt is still running, its end may be reported
// later by AttemptFinished or AttemptFailed.
struct ReturnFailure
{
    const Failure failure_;

    auto operator<=>(const ReturnFailure &) const = default;
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

using Action = std::variant<CreateClaim, ReadClaim, TakeOverClaim, CompleteClaim, ReleaseClaim, VoidAttempt,
    AwaitAttemptEnd, DispatchAttempt, ReturnStoredResponse, ReturnFailure, AwaitEvent, Done>;

// The first event.
struct Start
{
};

// CreateIfAbsent created the key with this revision.
struct ClaimCreated
{
    const std::uint64_t revision_ = 0;
};

// TakeOver, Complete or Release wrote the record, which has this revision now.
struct ClaimUpdated
{
    const std::uint64_t revision_ = 0;
};

// The key has this record.
struct ClaimExists
{
    const std::uint64_t revision_ = 0;
    const ClaimRecord record_;
};

// The key does not exist.
struct ClaimAbsent
{
};

// The call had no effect, now or later: the connection was refused or the service declined it.
struct StoreUnavailable
{
    const Failure failure_;
};

// The call may take effect, now or later.
struct StoreOutcomeUnknown
{
    const Failure failure_;
};

// The attempt never started at the agent and never will.
struct AttemptVoided
{
};

// The attempt is running.
struct AttemptRunning
{
};

// The attempt ran; the answer is empty if it failed or is no longer known.
struct AttemptRan
{
    const std::optional<StoredResponse> response_ = std::nullopt;
};

// The agent has another incarnation or could not be reached within the router's own bounds.
struct AttemptStateUnknown
{
    const Failure failure_;
};

// The own attempt ended with this answer, which the caller has received.
struct AttemptFinished
{
    const StoredResponse response_;
};

// Where the router would try again.
struct DispatchTarget
{
    // Must be an attempt that was never used before.
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const DispatchTarget &) const = default;
};

// The own attempt ended without an answer. With NotRun, which is the agent's confirmation, the claim moves to the next
// candidate if there is one.
struct AttemptFailed
{
    const Failure failure_;
    const std::optional<DispatchTarget> nextTarget_ = std::nullopt;
};

// AnswerStored or Refuse was performed.
struct ResponseSent
{
};

// The request's deadline passed while an action was outstanding.
struct DeadlineExceeded
{
};

using Event = std::variant<Start, ClaimCreated, ClaimUpdated, ClaimExists, ClaimAbsent, StoreUnavailable,
    StoreOutcomeUnknown, AttemptVoided, AttemptRunning, AttemptRan, AttemptStateUnknown, AttemptFinished, AttemptFailed,
    ResponseSent, DeadlineExceeded>;

// What one claim is about.
struct ClaimRequest
{
    // Key in the key-value service.
    const std::string key_;
    const NodeId router_;
    // The first attempt; unique over all routers and all retries by the caller.
    const DispatchTarget firstTarget_;
    // No dispatch happens at or after this time.
    const TimePoint deadline_;

    auto operator<=>(const ClaimRequest &) const = default;
};

// How often a store call with a lost answer is repeated before the caller is refused.
constexpr std::uint32_t maximumStoreRetries = 4;
// How often completing or releasing is tried after the caller has its answer.
constexpr std::uint32_t maximumBackgroundWrites = 6;
// Delay before the first repeated store call; doubled for each further one.
constexpr Milliseconds storeRetryBaseDelay = Milliseconds(20);
// When the caller of a request that met an unreachable store may try again.
constexpr Milliseconds storeRetryAfter = Milliseconds(1'000);

// Each attempt is dispatched at most once, and only while the store's record names it. After Refuse nothing is
// dispatched any more. Events that do not belong to the outstanding action are disregarded. Not thread-safe.
class ClaimStateMachine
{
public:
    explicit ClaimStateMachine(ClaimRequest request);

    // Takes the outcome of the last action and returns the next one.
    auto step(const Event &event, TimePoint now) -> Action;

private:
    enum class Phase : std::uint8_t
    {
        Idle,
        Creating,
        ReadingBack,
        TakingOver,
        Asking,
        Waiting,
        Dispatched,
        // The caller is being told; a background write may follow.
        Answering,
        // The caller was told "may have run" at the deadline while the own attempt was running.
        Abandoned,
        Background,
        Ended,
    };

    auto on(const Start &event, TimePoint now) -> Action;
    auto on(const ClaimCreated &event, TimePoint now) -> Action;
    auto on(const ClaimUpdated &event, TimePoint now) -> Action;
    auto on(const ClaimExists &event, TimePoint now) -> Action;
    auto on(const ClaimAbsent &event, TimePoint now) -> Action;
    auto on(const StoreUnavailable &event, TimePoint now) -> Action;
    auto on(const StoreOutcomeUnknown &event, TimePoint now) -> Action;
    auto on(const AttemptVoided &event, TimePoint now) -> Action;
    auto on(const AttemptRunning &event, TimePoint now) -> Action;
    auto on(const AttemptRan &event, TimePoint now) -> Action;
    auto on(const AttemptStateUnknown &event, TimePoint now) -> Action;
    auto on(const AttemptFinished &event, TimePoint now) -> Action;
    auto on(const AttemptFailed &event, TimePoint now) -> Action;
    auto on(const ResponseSent &event, TimePoint now) -> Action;
    auto on(const DeadlineExceeded &event, TimePoint now) -> Action;

    auto acquiring() const -> bool;
    auto asking() const -> bool;
    auto ownRecord(ClaimState state) const -> ClaimRecord;
    auto create(Milliseconds delay) -> Action;
    auto takeOver(Milliseconds delay) -> Action;
    auto won(std::uint64_t revision, TimePoint now) -> Action;
    auto found(const ClaimRecord &record, TimePoint now) -> Action;
    auto refuse(const Failure &failure) -> Action;
    auto refuseNotRun(const std::string &step, const std::string &reason) -> Action;
    auto foundCompleted(const std::optional<StoredResponse> &answer) -> Action;
    auto completion(const ClaimRecord &record, const std::optional<StoredResponse> &answer) const -> Action;
    auto runBackground(Action action) -> Action;
    auto repeatBackground() -> Action;
    auto end() -> Action;
    auto outstanding() const -> Action;

    ClaimRequest request_;
    Phase phase_ = Phase::Idle;
    // The attempt that the next claim names or the last one named.
    std::optional<DispatchTarget> candidate_;
    // The last record seen that belongs to another attempt, with revision_.
    std::optional<ClaimRecord> other_;
    std::uint64_t revision_ = 0;
    // The record with this revision is known not to run; it may be taken over.
    std::optional<std::uint64_t> voidedRevision_;
    // Store calls repeated in the current phase.
    std::uint32_t repeats_ = 0;
    std::optional<Action> background_;
};

} // namespace jasminewood::claims
