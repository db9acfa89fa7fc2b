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

// Pure state machine that runs one non-idempotent request at one router. The router performs each action and reports
// its outcome as the next event, until Done.
//
//     auto machine = claims::ClaimStateMachine(request);
//     auto action = std::optional(machine.step(claims::Start{}, now()));
//     while (!std::holds_alternative<claims::Done>(*action)) {
//         const auto event = perform(*action);
//         action.emplace(machine.step(event, now()));
//     }

namespace jasminewood::claims
{

// Store actions. delay_ is the time to wait before the call. A compare-and-swap whose comparison fails reports
// ClaimExists with the current record.

// Creates the key if it is absent. Outcome: ClaimCreated, ClaimExists, StoreUnavailable or StoreOutcomeUnknown.
struct CreateIfAbsent
{
    const std::string key_;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CreateIfAbsent &) const = default;
};

// Reads the key. Outcome: ClaimExists, ClaimAbsent, StoreUnavailable or StoreOutcomeUnknown.
struct ReadBack
{
    const std::string key_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const ReadBack &) const = default;
};

// Replaces the record if its revision is still expectedRevision_. Outcome: ClaimUpdated, ClaimExists, ClaimAbsent,
// StoreUnavailable or StoreOutcomeUnknown.
struct TakeOver
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const TakeOver &) const = default;
};

// Marks the claim as completed. The same call and outcomes as TakeOverClaim, but in the background: the caller already
// has its response.
struct Complete
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const Complete &) const = default;
};

// Marks the claim as released. The same call and outcomes as TakeOverClaim, but in the background: the caller already
// has its response.
struct Release
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const Release &) const = default;
};

// Sends a Void message for the attempt to exactly this incarnation of the agent. Outcome: AttemptVoided,
// AttemptRunning, AttemptRan or AttemptStateUnknown.
struct AskAgent
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const AskAgent &) const = default;
};

// Waits for the end of another router's running attempt. Outcome: AttemptRan, AttemptVoided, AttemptStateUnknown or
// DeadlineExceeded.
struct WaitForAnswer
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const WaitForAnswer &) const = default;
};

// Dispatches this attempt once, to exactly this incarnation of the agent. Outcome: AttemptFinished, AttemptFailed or
// DeadlineExceeded.
struct DispatchNow
{
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const DispatchNow &) const = default;
};

// Returns to the caller the response that an earlier attempt with the same key produced. Outcome: ResponseSent.
struct AnswerStored
{
    const ClaimAnswer answer_;

    auto operator<=>(const AnswerStored &) const = default;
};

// Returns this failure to the caller. Outcome: ResponseSent. If this router's attempt is still running, its end may be
// reported later by AttemptFinished or AttemptFailed.
struct Refuse
{
    const Failure failure_;

    auto operator<=>(const Refuse &) const = default;
};

// No action; the state machine still expects an event.
struct AwaitEvent
{
    auto operator<=>(const AwaitEvent &) const = default;
};

// The request has ended. The state machine returns Done for every further event.
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

// CreateClaim created the key with this revision.
struct Created
{
    const std::uint64_t revision_ = 0;
};

// TakeOverClaim, CompleteClaim or ReleaseClaim wrote the record, which now has this revision.
struct Swapped
{
    const std::uint64_t revision_ = 0;
};

// The key exists and has this record.
struct Exists
{
    const std::uint64_t revision_ = 0;
    const ClaimRecord record_;
};

// The key does not exist.
struct Absent
{
};

// The call had no effect and never will: the connection was refused or the service rejected the call.
struct StoreUnavailable
{
    const Failure failure_;
};

// The call may have taken effect or may still take effect.
struct StoreAnswerLost
{
    const Failure failure_;
};

// The attempt never started at its agent and never will.
struct AgentVoided
{
};

// The attempt is running at its agent.
struct AgentRunning
{
};

// The attempt ran. The response is empty if the attempt failed or the agent no longer has the response.
struct AgentRan
{
    const std::optional<ClaimAnswer> answer_ = std::nullopt;
};

// It is unknown whether the attempt ran: the agent has another incarnation or could not be reached within the router's
// timeout.
struct AgentUnknown
{
    const Failure failure_;
};

// This router's attempt ended with this response, which the caller has received.
struct AttemptFinished
{
    const ClaimAnswer answer_;
};

// An attempt and the agent to which the router may dispatch it.
struct Candidate
{
    // Must not have been used before.
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const Candidate &) const = default;
};

// This router's attempt ended without a response. If the agent confirmed it as NotRun, the claim moves to the next
// target if there is one.
struct AttemptFailed
{
    const Failure failure_;
    const std::optional<Candidate> next_ = std::nullopt;
};

// ReturnStoredResponse or ReturnFailure was performed.
struct CallerAnswered
{
};

// The request's deadline passed while an action was outstanding.
struct DeadlinePassed
{
};

using Event = std::variant<Begin, Created, Swapped, Exists, Absent, StoreUnavailable, StoreAnswerLost, AgentVoided,
    AgentRunning, AgentRan, AgentUnknown, AttemptFinished, AttemptFailed, CallerAnswered, DeadlinePassed>;

// Parameters of one claim.
struct ClaimRequest
{
    // Key in the key-value service.
    const std::string key_;
    const NodeId router_;
    // The first attempt and its agent. The attempt id is unique over all routers and all retries by the caller.
    const Candidate first_;
    // No attempt is dispatched at or after this time.
    const TimePoint deadline_;

    auto operator<=>(const ClaimRequest &) const = default;
};

// Maximum number of retries of a store call with unknown outcome before the request is rejected.
constexpr std::uint32_t maximumStoreRepeats = 4;
// Maximum number of tries to write the completed or released record after the caller has its response.
constexpr std::uint32_t maximumBackgroundTries = 6;
// Delay before the first retry of a store call; doubled for each further retry.
constexpr Milliseconds storeRepeatDelay = Milliseconds(20);
// Time after which a caller may retry a request that was not run, for example because the store was unavailable.
constexpr Milliseconds storeRetryAfter = Milliseconds(1'000);

// Dispatches each attempt at most once, and only while the stored record names it. Dispatches nothing after
// ReturnFailure. Ignores events that do not belong to the outstanding action. Not thread-safe.
class ClaimMachine
{
public:
    explicit ClaimMachine(ClaimRequest request);

    // Handles the outcome of the last action and returns the next action.
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
        // The response is being sent to the caller; a background write may follow.
        Responding,
        // At the deadline the caller received a failure with MayHaveRun while this router's attempt was running.
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
    auto returnFailure(const Failure &failure) -> Action;
    auto returnNotRunFailure(const std::string &step, const std::string &reason) -> Action;
    auto respondFromCompletedClaim(const std::optional<ClaimAnswer> &response) -> Action;
    auto makeCompletion(const ClaimRecord &record, const std::optional<ClaimAnswer> &response) const -> Action;
    auto startBackgroundWrite(Action write) -> Action;
    auto retryBackgroundWrite() -> Action;
    auto finish() -> Action;
    auto awaitOutstandingEvent() const -> Action;

    ClaimRequest request_;
    Phase phase_ = Phase::Idle;
    // The attempt and agent of the last claim written, or of the next one to be written.
    std::optional<Candidate> target_;
    // The last record read that belongs to another attempt. Its revision is revision_.
    std::optional<ClaimRecord> otherRecord_;
    std::uint64_t revision_ = 0;
    // Revision of a record whose attempt is confirmed as not run, so that the claim may be taken over.
    std::optional<std::uint64_t> voidedRevision_;
    // Retries of store calls in the current phase.
    std::uint32_t retries_ = 0;
    std::optional<Action> backgroundWrite_;
};

} // namespace jasminewood::claims
