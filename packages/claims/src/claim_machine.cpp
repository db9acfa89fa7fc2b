#include "jasminewood/claims/claim_machine.h"

#include <type_traits>
#include <utility>

namespace jasminewood::claims
{

namespace
{

auto retryDelay(std::uint32_t retries) -> Milliseconds
{
    return retries == 0 ? Milliseconds(0) : storeRepeatDelay * (std::int64_t(1) << (retries - 1));
}

auto mayHaveRunFailure(const std::string &step, const std::string &peer, const std::string &reason) -> Failure
{
    return Failure {.step_ = step, .peer_ = peer, .reason_ = reason, .runState_ = RunState::MayHaveRun};
}

// Returns the background write with this delay.
auto withDelay(const Action &action, Milliseconds delay) -> Action
{
    return std::visit(
        [delay](const auto &write) -> Action {
            using Write = std::decay_t<decltype(write)>;
            if constexpr (std::is_same_v<Write, Complete> || std::is_same_v<Write, Release>) {
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

ClaimMachine::ClaimMachine(ClaimRequest request)
    : request_(std::move(request))
{
    target_.emplace(request_.first_);
}

auto ClaimMachine::step(const Event &event, TimePoint now) -> Action
{
    return std::visit(
        [this, now](const auto &typedEvent) -> Action {
            return on(typedEvent, now);
        },
        event);
}

auto ClaimMachine::on(const Begin & /*event*/, TimePoint now) -> Action
{
    if (phase_ != Phase::Idle) {
        return awaitOutstandingEvent();
    }
    if (now >= request_.deadline_) {
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    return createClaim(Milliseconds(0));
}

auto ClaimMachine::on(const Created &event, TimePoint now) -> Action
{
    return phase_ == Phase::Creating ? onClaimAcquired(event.revision_, now) : awaitOutstandingEvent();
}

auto ClaimMachine::on(const Swapped &event, TimePoint now) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return finish();
    }
    return phase_ == Phase::TakingOver ? onClaimAcquired(event.revision_, now) : awaitOutstandingEvent();
}

auto ClaimMachine::on(const Exists &event, TimePoint now) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        // Another router has already replaced the record, so this write is no longer needed.
        return finish();
    }
    if (!isAcquiring()) {
        return awaitOutstandingEvent();
    }
    revision_ = event.revision_;
    return onRecordRead(event.record_, now);
}

auto ClaimMachine::on(const Absent & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return finish();
    }
    return phase_ == Phase::Reading || phase_ == Phase::TakingOver ? createClaim(Milliseconds(0)) : awaitOutstandingEvent();
}

auto ClaimMachine::on(const StoreUnavailable &event, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return retryBackgroundWrite();
    }
    return isAcquiring() ? returnNotRunFailure(event.failure_.step_, event.failure_.reason_) : awaitOutstandingEvent();
}

auto ClaimMachine::on(const StoreAnswerLost &event, TimePoint now) -> Action
{
    if (phase_ == Phase::WritingInBackground) {
        return retryBackgroundWrite();
    }
    if (!isAcquiring()) {
        return awaitOutstandingEvent();
    }
    if (++retries_ > maximumStoreRepeats || now >= request_.deadline_) {
        return returnNotRunFailure(event.failure_.step_, event.failure_.reason_);
    }
    if (phase_ == Phase::Creating) {
        return createClaim(retryDelay(retries_));
    }
    phase_ = Phase::Reading;
    return ReadBack {.key_ = request_.key_, .delay_ = retryDelay(retries_)};
}

auto ClaimMachine::on(const AgentVoided & /*event*/, TimePoint now) -> Action
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

auto ClaimMachine::on(const AgentRunning & /*event*/, TimePoint /*now*/) -> Action
{
    if (isResolvingOtherAttempt()) {
        phase_ = Phase::AwaitingOtherAttempt;
    }
    return awaitOutstandingEvent();
}

auto ClaimMachine::on(const AgentRan &event, TimePoint /*now*/) -> Action
{
    if (!isResolvingOtherAttempt()) {
        return awaitOutstandingEvent();
    }
    backgroundWrite_.emplace(makeCompletion(*otherRecord_, event.answer_));
    return respondFromCompletedClaim(event.answer_);
}

auto ClaimMachine::on(const AgentUnknown &event, TimePoint /*now*/) -> Action
{
    if (!isResolvingOtherAttempt()) {
        return awaitOutstandingEvent();
    }
    return returnFailure(mayHaveRunFailure("ask agent", toString(otherRecord_->agent_), event.failure_.reason_));
}

auto ClaimMachine::on(const AttemptFinished &event, TimePoint /*now*/) -> Action
{
    if (phase_ != Phase::Dispatched && phase_ != Phase::CallerTimedOut) {
        return awaitOutstandingEvent();
    }
    return startBackgroundWrite(makeCompletion(ownRecord(ClaimState::Claimed), event.answer_));
}

auto ClaimMachine::on(const AttemptFailed &event, TimePoint now) -> Action
{
    const auto callerTimedOut = phase_ == Phase::CallerTimedOut;
    if (phase_ != Phase::Dispatched && !callerTimedOut) {
        return awaitOutstandingEvent();
    }
    if (event.failure_.runState_ == RunState::MayHaveRun) {
        // The claim is kept, so that no later attempt runs.
        return callerTimedOut ? finish() : returnFailure(event.failure_);
    }
    if (event.failure_.runState_ == RunState::Ran) {
        backgroundWrite_.emplace(makeCompletion(ownRecord(ClaimState::Claimed), std::nullopt));
    } else if (!callerTimedOut && event.next_ && event.next_->attempt_ != target_->attempt_ && now < request_.deadline_) {
        target_.emplace(*event.next_);
        retries_ = 0;
        return takeOverClaim(Milliseconds(0));
    } else {
        backgroundWrite_.emplace(Release {
            .key_ = request_.key_, .expectedRevision_ = revision_, .record_ = ownRecord(ClaimState::Released)});
    }
    return callerTimedOut ? startBackgroundWrite(Action(*backgroundWrite_)) : returnFailure(event.failure_);
}

auto ClaimMachine::on(const CallerAnswered & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ != Phase::Responding) {
        return awaitOutstandingEvent();
    }
    if (backgroundWrite_) {
        return startBackgroundWrite(Action(*backgroundWrite_));
    }
    return finish();
}

auto ClaimMachine::on(const DeadlinePassed & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::Idle || isAcquiring()) {
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    if (isResolvingOtherAttempt()) {
        return returnFailure(mayHaveRunFailure("wait for answer", toString(otherRecord_->agent_), "the deadline has passed"));
    }
    if (phase_ == Phase::Dispatched) {
        phase_ = Phase::CallerTimedOut;
        return Refuse {mayHaveRunFailure("dispatch", toString(target_->agent_), "the deadline has passed")};
    }
    return awaitOutstandingEvent();
}

auto ClaimMachine::isAcquiring() const -> bool
{
    return phase_ == Phase::Creating || phase_ == Phase::Reading || phase_ == Phase::TakingOver;
}

auto ClaimMachine::isResolvingOtherAttempt() const -> bool
{
    return phase_ == Phase::VoidingOtherAttempt || phase_ == Phase::AwaitingOtherAttempt;
}

auto ClaimMachine::ownRecord(ClaimState state) const -> ClaimRecord
{
    return ClaimRecord {
        .attempt_ = target_->attempt_, .router_ = request_.router_, .agent_ = target_->agent_, .state_ = state};
}

auto ClaimMachine::createClaim(Milliseconds delay) -> Action
{
    phase_ = Phase::Creating;
    return CreateIfAbsent {.key_ = request_.key_, .record_ = ownRecord(ClaimState::Claimed), .delay_ = delay};
}

auto ClaimMachine::takeOverClaim(Milliseconds delay) -> Action
{
    phase_ = Phase::TakingOver;
    voidedRevision_ = revision_;
    return TakeOver {.key_ = request_.key_,
        .expectedRevision_ = revision_,
        .record_ = ownRecord(ClaimState::Claimed),
        .delay_ = delay};
}

auto ClaimMachine::onClaimAcquired(std::uint64_t revision, TimePoint now) -> Action
{
    revision_ = revision;
    if (now >= request_.deadline_) {
        backgroundWrite_.emplace(Release {
            .key_ = request_.key_, .expectedRevision_ = revision_, .record_ = ownRecord(ClaimState::Released)});
        return returnNotRunFailure("claim", "the deadline has passed");
    }
    phase_ = Phase::Dispatched;
    return DispatchNow {.attempt_ = target_->attempt_, .agent_ = target_->agent_};
}

auto ClaimMachine::onRecordRead(const ClaimRecord &record, TimePoint now) -> Action
{
    const auto isOwn = record.attempt_ == target_->attempt_ && record.router_ == request_.router_;
    if (record.state_ == ClaimState::Completed) {
        return respondFromCompletedClaim(record.answer_);
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
    return AskAgent {.agent_ = record.agent_, .attempt_ = record.attempt_};
}

auto ClaimMachine::returnFailure(const Failure &failure) -> Action
{
    phase_ = Phase::Responding;
    return Refuse {failure};
}

auto ClaimMachine::returnNotRunFailure(const std::string &step, const std::string &reason) -> Action
{
    return returnFailure(
        Failure {.step_ = step, .reason_ = reason, .runState_ = RunState::NotRun, .retryAfter_ = storeRetryAfter});
}

auto ClaimMachine::respondFromCompletedClaim(const std::optional<ClaimAnswer> &response) -> Action
{
    if (!response) {
        return returnFailure(Failure {.step_ = "claim",
            .reason_ = "an earlier request with this key ran and its answer is not stored",
            .runState_ = RunState::Ran});
    }
    phase_ = Phase::Responding;
    return AnswerStored {*response};
}

auto ClaimMachine::makeCompletion(const ClaimRecord &record, const std::optional<ClaimAnswer> &response) const -> Action
{
    const auto fitsStore = response && response->body_.size() <= maximumStoredAnswerBytes;
    return Complete {.key_ = request_.key_,
        .expectedRevision_ = revision_,
        .record_ = ClaimRecord {.attempt_ = record.attempt_,
            .router_ = record.router_,
            .agent_ = record.agent_,
            .state_ = ClaimState::Completed,
            .answer_ = fitsStore ? response : std::nullopt}};
}

auto ClaimMachine::startBackgroundWrite(Action write) -> Action
{
    phase_ = Phase::WritingInBackground;
    retries_ = 0;
    backgroundWrite_.emplace(std::move(write));
    return Action(*backgroundWrite_);
}

auto ClaimMachine::retryBackgroundWrite() -> Action
{
    if (++retries_ >= maximumBackgroundTries) {
        return finish();
    }
    return withDelay(*backgroundWrite_, retryDelay(retries_));
}

auto ClaimMachine::finish() -> Action
{
    phase_ = Phase::Ended;
    return Done {};
}

// Returns the action while the outcome of the outstanding action is awaited. Events that do not belong to that action
// change nothing.
auto ClaimMachine::awaitOutstandingEvent() const -> Action
{
    if (phase_ == Phase::AwaitingOtherAttempt) {
        return WaitForAnswer {.agent_ = otherRecord_->agent_, .attempt_ = otherRecord_->attempt_};
    }
    return phase_ == Phase::Ended ? Action(Done {}) : Action(AwaitEvent {});
}

} // namespace jasminewood::claims
