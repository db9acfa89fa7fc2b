#include "jasminewood/claims/claim_state_machine.h"

#include <type_traits>
#include <utility>

namespace jasminewood::claims
{

namespace
{

auto retryDelay(std::uint32_t retries) -> Milliseconds
{
    return retries == 0 ? Milliseconds(0) : storeRetryBaseDelay * (std::int64_t(1) << (retries - 1));
}

auto mayHaveRunFailure(const std::string &step, const std::string &peer, const std::string &reason) -> Failure
{
    return Failure {.step_ = step, .peer_ = peer, .reason_ = reason, .runState_ = RunState::MayHaveRun};
}

// Returns a copy of the background write with this delay; any other action is returned unchanged.
auto withDelay(const Action &action, Milliseconds delay) -> Action
{
    return std::visit(
        [delay](const auto &write) -> Action {
            using Write = std::decay_t<decltype(write)>;
            if constexpr (std::is_same_v<Write, CompleteClaim> || std::is_same_v<Write, ReleaseClaim>) {
                return Write {.key_ = write.key_,
                    .expectedRevision_ = write.expectedRevision_,
                    .record_ = write.record_,
                    .delay_ = delay};
            } else {
                return write;
            }
        },
        action);
}

} // namespace

auto toString(ClaimState state) -> std::string_view
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Completed:
        return "completed";
    case ClaimState::Released:
        break;
    }
    return "released";
}

ClaimStateMachine::ClaimStateMachine(ClaimRequest request)
    : request_(std::move(request))
{
    target_.emplace(request_.firstTarget_);
}

auto ClaimStateMachine::step(const Event &event, TimePoint now) -> Action
{
    return std::visit(
        [this, now](const auto &typedEvent) -> Action {
            return on(typedEvent, now);
        },
        event);
}

auto ClaimStateMachine::on(const Start & /*event*/, TimePoint now) -> Action
{
    if (phase_ != Phase::Idle) {
        return awaitOutstandingEvent();
    }
    if (now >= request_.deadline_) {
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    return createClaim(Milliseconds(0));
}

auto ClaimStateMachine::on(const ClaimCreated &event, TimePoint now) -> Action
{
    return phase_ == Phase::Creating ? onClaimAcquired(event.revision_, now) : awaitOutstandingEvent();
}

auto ClaimStateMachine::on(const ClaimUpdated &event, TimePoint now) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return finish();
    }
    return phase_ == Phase::TakingOver ? onClaimAcquired(event.revision_, now) : awaitOutstandingEvent();
}

auto ClaimStateMachine::on(const ClaimExists &event, TimePoint now) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        // Another router has already replaced the record, so this write is no longer needed.
        return finish();
    }
    if (!isAcquiring()) {
        return awaitOutstandingEvent();
    }
    revision_ = event.revision_;
    return onExistingClaim(event.record_, now);
}

auto ClaimStateMachine::on(const ClaimAbsent & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return finish();
    }
    return phase_ == Phase::Reading || phase_ == Phase::TakingOver ? createClaim(Milliseconds(0))
                                                                   : awaitOutstandingEvent();
}

auto ClaimStateMachine::on(const StoreUnavailable &event, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return retryBackgroundWrite();
    }
    return isAcquiring() ? returnNotRunFailure(event.failure_.step_, event.failure_.reason_) : awaitOutstandingEvent();
}

auto ClaimStateMachine::on(const StoreOutcomeUnknown &event, TimePoint now) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return retryBackgroundWrite();
    }
    if (!isAcquiring()) {
        return awaitOutstandingEvent();
    }
    if (++retries_ > maximumStoreRetries || now >= request_.deadline_) {
        // No attempt was dispatched for this request, even if the claim was written.
        return returnNotRunFailure(event.failure_.step_, event.failure_.reason_);
    }
    if (phase_ == Phase::Creating) {
        return createClaim(retryDelay(retries_));
    }
    phase_ = Phase::Reading;
    return ReadClaim {.key_ = request_.key_, .delay_ = retryDelay(retries_)};
}

auto ClaimStateMachine::on(const AttemptVoided & /*event*/, TimePoint now) -> Action
{
    if (!isResolvingOtherAttempt()) {
        return awaitOutstandingEvent();
    }
    if (now >= request_.deadline_) {
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    retries_ = 0;
    return takeOverClaim(Milliseconds(0));
}

auto ClaimStateMachine::on(const AttemptRunning & /*event*/, TimePoint /*now*/) -> Action
{
    if (isResolvingOtherAttempt()) {
        phase_ = Phase::AwaitingOtherAttempt;
    }
    return awaitOutstandingEvent();
}

auto ClaimStateMachine::on(const AttemptRan &event, TimePoint /*now*/) -> Action
{
    if (!isResolvingOtherAttempt()) {
        return awaitOutstandingEvent();
    }
    backgroundWrite_.emplace(makeCompletion(*otherRecord_, event.response_));
    return respondFromCompletedClaim(event.response_);
}

auto ClaimStateMachine::on(const AttemptStateUnknown &event, TimePoint /*now*/) -> Action
{
    if (!isResolvingOtherAttempt()) {
        return awaitOutstandingEvent();
    }
    return returnFailure(mayHaveRunFailure("ask agent", toString(otherRecord_->agent_), event.failure_.reason_));
}

auto ClaimStateMachine::on(const AttemptFinished &event, TimePoint /*now*/) -> Action
{
    if (phase_ != Phase::Dispatched && phase_ != Phase::CallerTimedOut) {
        return awaitOutstandingEvent();
    }
    return startBackgroundWrite(makeCompletion(ownRecord(ClaimState::Claimed), event.response_));
}

auto ClaimStateMachine::on(const AttemptFailed &event, TimePoint now) -> Action
{
    const auto callerTimedOut = phase_ == Phase::CallerTimedOut;
    if (phase_ != Phase::Dispatched && !callerTimedOut) {
        return awaitOutstandingEvent();
    }
    if (event.failure_.runState_ == RunState::MayHaveRun) {
        // The claim stays in state Claimed, so that no retry of the request runs it a second time.
        return callerTimedOut ? finish() : returnFailure(event.failure_);
    }
    if (event.failure_.runState_ == RunState::Ran) {
        backgroundWrite_.emplace(makeCompletion(ownRecord(ClaimState::Claimed), std::nullopt));
    } else if (!callerTimedOut && event.nextTarget_ && event.nextTarget_->attempt_ != target_->attempt_
        && now < request_.deadline_) {
        target_.emplace(*event.nextTarget_);
        retries_ = 0;
        return takeOverClaim(Milliseconds(0));
    } else {
        backgroundWrite_.emplace(ReleaseClaim {
            .key_ = request_.key_, .expectedRevision_ = revision_, .record_ = ownRecord(ClaimState::Released)});
    }
    return callerTimedOut ? startBackgroundWrite(Action(*backgroundWrite_)) : returnFailure(event.failure_);
}

auto ClaimStateMachine::on(const ResponseSent & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ != Phase::Responding) {
        return awaitOutstandingEvent();
    }
    if (backgroundWrite_) {
        return startBackgroundWrite(Action(*backgroundWrite_));
    }
    return finish();
}

auto ClaimStateMachine::on(const DeadlineExceeded & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::Idle || isAcquiring()) {
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    if (isResolvingOtherAttempt()) {
        return returnFailure(
            mayHaveRunFailure("wait for answer", toString(otherRecord_->agent_), "the deadline has passed"));
    }
    if (phase_ == Phase::Dispatched) {
        phase_ = Phase::CallerTimedOut;
        return ReturnFailure {mayHaveRunFailure("dispatch", toString(target_->agent_), "the deadline has passed")};
    }
    return awaitOutstandingEvent();
}

auto ClaimStateMachine::isAcquiring() const -> bool
{
    return phase_ == Phase::Creating || phase_ == Phase::Reading || phase_ == Phase::TakingOver;
}

auto ClaimStateMachine::isResolvingOtherAttempt() const -> bool
{
    return phase_ == Phase::VoidingOtherAttempt || phase_ == Phase::AwaitingOtherAttempt;
}

auto ClaimStateMachine::ownRecord(ClaimState state) const -> ClaimRecord
{
    return ClaimRecord {
        .attempt_ = target_->attempt_, .router_ = request_.router_, .agent_ = target_->agent_, .state_ = state};
}

auto ClaimStateMachine::createClaim(Milliseconds delay) -> Action
{
    phase_ = Phase::Creating;
    return CreateClaim {.key_ = request_.key_, .record_ = ownRecord(ClaimState::Claimed), .delay_ = delay};
}

auto ClaimStateMachine::takeOverClaim(Milliseconds delay) -> Action
{
    phase_ = Phase::TakingOver;
    voidedRevision_ = revision_;
    return TakeOverClaim {.key_ = request_.key_,
        .expectedRevision_ = revision_,
        .record_ = ownRecord(ClaimState::Claimed),
        .delay_ = delay};
}

auto ClaimStateMachine::onClaimAcquired(std::uint64_t revision, TimePoint now) -> Action
{
    revision_ = revision;
    if (now >= request_.deadline_) {
        backgroundWrite_.emplace(ReleaseClaim {
            .key_ = request_.key_, .expectedRevision_ = revision_, .record_ = ownRecord(ClaimState::Released)});
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    phase_ = Phase::Dispatched;
    return DispatchAttempt {.attempt_ = target_->attempt_, .agent_ = target_->agent_};
}

auto ClaimStateMachine::onExistingClaim(const ClaimRecord &record, TimePoint now) -> Action
{
    const auto isOwn = record.attempt_ == target_->attempt_ && record.router_ == request_.router_;
    if (record.state_ == ClaimState::Completed) {
        return respondFromCompletedClaim(record.response_);
    }
    if (isOwn && record.state_ == ClaimState::Claimed) {
        return onClaimAcquired(revision_, now);
    }
    if (now >= request_.deadline_) {
        return record.state_ == ClaimState::Released
            ? returnNotRunFailure("claim", "the deadline has passed")
            : returnFailure(mayHaveRunFailure("claim", toString(record.agent_), "the deadline has passed"));
    }
    otherRecord_.emplace(record);
    if (record.state_ == ClaimState::Released || voidedRevision_ == revision_) {
        return takeOverClaim(Milliseconds(0));
    }
    phase_ = Phase::VoidingOtherAttempt;
    return VoidAttempt {.agent_ = record.agent_, .attempt_ = record.attempt_};
}

auto ClaimStateMachine::returnFailure(const Failure &failure) -> Action
{
    phase_ = Phase::Responding;
    return ReturnFailure {failure};
}

auto ClaimStateMachine::returnNotRunFailure(const std::string &step, const std::string &reason) -> Action
{
    return returnFailure(
        Failure {.step_ = step, .reason_ = reason, .runState_ = RunState::NotRun, .retryAfter_ = storeRetryAfter});
}

auto ClaimStateMachine::respondFromCompletedClaim(const std::optional<StoredResponse> &response) -> Action
{
    if (!response) {
        return returnFailure(Failure {.step_ = "claim",
            .reason_ = "an earlier request with this key ran and its answer is not stored",
            .runState_ = RunState::Ran});
    }
    phase_ = Phase::Responding;
    return ReturnStoredResponse {*response};
}

auto ClaimStateMachine::makeCompletion(const ClaimRecord &record, const std::optional<StoredResponse> &response) const
    -> Action
{
    const auto fitsStore = response && response->body_.size() <= maximumStoredResponseBytes;
    return CompleteClaim {.key_ = request_.key_,
        .expectedRevision_ = revision_,
        .record_ = ClaimRecord {.attempt_ = record.attempt_,
            .router_ = record.router_,
            .agent_ = record.agent_,
            .state_ = ClaimState::Completed,
            .response_ = fitsStore ? response : std::nullopt}};
}

auto ClaimStateMachine::startBackgroundWrite(Action write) -> Action
{
    phase_ = Phase::WritingInBackground;
    retries_ = 0;
    backgroundWrite_.emplace(std::move(write));
    return Action(*backgroundWrite_);
}

auto ClaimStateMachine::retryBackgroundWrite() -> Action
{
    if (++retries_ >= maximumBackgroundWrites) {
        return finish();
    }
    return withDelay(*backgroundWrite_, retryDelay(retries_));
}

auto ClaimStateMachine::finish() -> Action
{
    phase_ = Phase::Ended;
    return Done {};
}

// Ignores an event that does not belong to the outstanding action and keeps waiting for the outcome of that action.
auto ClaimStateMachine::awaitOutstandingEvent() const -> Action
{
    if (phase_ == Phase::AwaitingOtherAttempt) {
        return AwaitAttemptEnd {.agent_ = otherRecord_->agent_, .attempt_ = otherRecord_->attempt_};
    }
    return phase_ == Phase::Ended ? Action(Done {}) : Action(AwaitEvent {});
}

} // namespace jasminewood::claims
