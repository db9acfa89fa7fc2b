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
struct CreateClaim
{
    const std::string key_;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CreateClaim &) const = default;
};

// Reads the key. Outcome: ClaimExists, ClaimAbsent, StoreUnavailable or StoreOutcomeUnknown.
struct ReadClaim
{
    const std::string key_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const ReadClaim &) const = default;
};

// Replaces the record if its revision is still expectedRevision_. Outcome: ClaimUpdated, ClaimExists, ClaimAbsent,
// StoreUnavailable or StoreOutcomeUnknown.
struct TakeOverClaim
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const TakeOverClaim &) const = default;
};

// Marks the claim as completed. The same call and outcomes as TakeOverClaim, but in the background: the caller already
// has its response.
struct CompleteClaim
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CompleteClaim &) const = default;
};

// Marks the claim as released. The same call and outcomes as TakeOverClaim, but in the background: the caller already
// has its response.
struct ReleaseClaim
{
    const std::string key_;
    const std::uint64_t expectedRevision_ = 0;
    const ClaimRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const ReleaseClaim &) const = default;
};

// Sends a Void message for the attempt to exactly this incarnation of the agent. Outcome: AttemptVoided,
// AttemptRunning, AttemptRan or AttemptStateUnknown.
struct VoidAttempt
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const VoidAttempt &) const = default;
};

// Waits for the end of another router's running attempt. Outcome: AttemptRan, AttemptVoided, AttemptStateUnknown or
// DeadlineExceeded.
struct AwaitAttemptEnd
{
    const NodeId agent_;
    const AttemptId attempt_;

    auto operator<=>(const AwaitAttemptEnd &) const = default;
};

// Dispatches this attempt once, to exactly this incarnation of the agent. Outcome: AttemptFinished, AttemptFailed or
// DeadlineExceeded.
struct DispatchAttempt
{
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const DispatchAttempt &) const = default;
};

// Returns to the caller the response that an earlier attempt with the same key produced. Outcome: ResponseSent.
struct ReturnStoredResponse
{
    const StoredResponse response_;

    auto operator<=>(const ReturnStoredResponse &) const = default;
};

// Returns this failure to the caller. Outcome: ResponseSent. If this router's attempt is still running, its end may be
// reported later by AttemptFinished or AttemptFailed.
struct ReturnFailure
{
    const Failure failure_;

    auto operator<=>(const ReturnFailure &) const = default;
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

using Action = std::variant<CreateClaim, ReadClaim, TakeOverClaim, CompleteClaim, ReleaseClaim, VoidAttempt,
    AwaitAttemptEnd, DispatchAttempt, ReturnStoredResponse, ReturnFailure, AwaitEvent, Done>;

// The first event.
struct Start
{
};

// CreateClaim created the key with this revision.
struct ClaimCreated
{
    const std::uint64_t revision_ = 0;
};

// TakeOverClaim, CompleteClaim or ReleaseClaim wrote the record, which now has this revision.
struct ClaimUpdated
{
    const std::uint64_t revision_ = 0;
};

// The key exists and has this record.
struct ClaimExists
{
    const std::uint64_t revision_ = 0;
    const ClaimRecord record_;
};

// The key does not exist.
struct ClaimAbsent
{
};

// The call had no effect and never will: the connection was refused or the service rejected the call.
struct StoreUnavailable
{
    const Failure failure_;
};

// The call may have taken effect or may still take effect.
struct StoreOutcomeUnknown
{
    const Failure failure_;
};

// The attempt never started at its agent and never will.
struct AttemptVoided
{
};

// The attempt is running at its agent.
struct AttemptRunning
{
};

// The attempt ran. The response is empty if the attempt failed or the agent no longer has the response.
struct AttemptRan
{
    const std::optional<StoredResponse> response_ = std::nullopt;
};

// It is unknown whether the attempt ran: the agent has another incarnation or could not be reached within the router's
// timeout.
struct AttemptStateUnknown
{
    const Failure failure_;
};

// This router's attempt ended with this response, which the caller has received.
struct AttemptFinished
{
    const StoredResponse response_;
};

// An attempt and the agent to which the router may dispatch it.
struct DispatchTarget
{
    // Must not have been used before.
    const AttemptId attempt_;
    const NodeId agent_;

    auto operator<=>(const DispatchTarget &) const = default;
};

// This router's attempt ended without a response. If the agent confirmed it as NotRun, the claim moves to the next
// target if there is one.
struct AttemptFailed
{
    const Failure failure_;
    const std::optional<DispatchTarget> nextTarget_ = std::nullopt;
};

// ReturnStoredResponse or ReturnFailure was performed.
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

// Parameters of one claim.
struct ClaimRequest
{
    // Key in the key-value service.
    const std::string key_;
    const NodeId router_;
    // The first attempt and its agent. The attempt id is unique over all routers and all retries by the caller.
    const DispatchTarget firstTarget_;
    // No attempt is dispatched at or after this time.
    const TimePoint deadline_;

    auto operator<=>(const ClaimRequest &) const = default;
};

// Maximum number of retries of a store call with unknown outcome before the request is rejected.
constexpr std::uint32_t maximumStoreRetries = 4;
// Maximum number of tries to write the completed or released record after the caller has its response.
constexpr std::uint32_t maximumBackgroundWrites = 6;
// Delay before the first retry of a store call; doubled for each further retry.
constexpr Milliseconds storeRetryBaseDelay = Milliseconds(20);
// Time after which a caller may retry a request that was not run, for example because the store was unavailable.
constexpr Milliseconds storeRetryAfter = Milliseconds(1'000);

// Dispatches each attempt at most once, and only while the stored record names it. Dispatches nothing after
// ReturnFailure. Ignores events that do not belong to the outstanding action. Not thread-safe.
class ClaimStateMachine
{
public:
    explicit ClaimStateMachine(ClaimRequest request);

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

    auto isAcquiring() const -> bool;
    auto isResolvingOtherAttempt() const -> bool;
    auto ownRecord(ClaimState state) const -> ClaimRecord;
    auto createClaim(Milliseconds delay) -> Action;
    auto takeOverClaim(Milliseconds delay) -> Action;
    auto onClaimAcquired(std::uint64_t revision, TimePoint now) -> Action;
    auto onExistingClaim(const ClaimRecord &record, TimePoint now) -> Action;
    auto returnFailure(const Failure &failure) -> Action;
    auto returnNotRunFailure(const std::string &step, const std::string &reason) -> Action;
    auto respondFromCompletedClaim(const std::optional<StoredResponse> &response) -> Action;
    auto makeCompletion(const ClaimRecord &record, const std::optional<StoredResponse> &response) const -> Action;
    auto startBackgroundWrite(Action write) -> Action;
    auto retryBackgroundWrite() -> Action;
    auto finish() -> Action;
    auto awaitOutstandingEvent() const -> Action;

    ClaimRequest request_;
    Phase phase_ = Phase::Idle;
    // The attempt and agent of the last claim written, or of the next one to be written.
    std::optional<DispatchTarget> target_;
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
