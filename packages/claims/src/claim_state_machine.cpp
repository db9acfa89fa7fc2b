#include "jasminewood/claims/claim_state_machine.h"

#include <type_traits>
#include <utility>

namespace jasminewood::claims
{

namespace
{

auto repeatDelay(std::uint32_t repeats) -> Milliseconds
{
    return repeats == 0 ? Milliseconds(0) : storeRetryBaseDelay * (std::int64_t(1) << (repeats - 1));
}

auto mayHaveRun(const std::string &step, const std::string &peer, const std::string &reason) -> Failure
{
    return Failure {.step_ = step, .peer_ = peer, .reason_ = reason, .runState_ = RunState::MayHaveRun};
}

// Returns the same background write with another delay.
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
    candidate_.emplace(request_.firstTarget_);
}

auto ClaimStateMachine::step(const Event &event, TimePoint now) -> Action
{
    return std::visit(
        [this, now](const auto &known) -> Action {
            return on(known, now);
        },
        event);
}

auto ClaimStateMachine::on(const Start & /*event*/, TimePoint now) -> Action
{
    if (phase_ != Phase::Idle) {
        return outstanding();
    }
    if (now >= request_.deadline_) {
        return refuseNotRun("claim", "the deadline has passed");
    }
    return create(Milliseconds(0));
}

auto ClaimStateMachine::on(const ClaimCreated &event, TimePoint now) -> Action
{
    return phase_ == Phase::Creating ? won(event.revision_, now) : outstanding();
}

auto ClaimStateMachine::on(const ClaimUpdated &event, TimePoint now) -> Action
{
    if (phase_ == Phase::Background) {
        return end();
    }
    return phase_ == Phase::TakingOver ? won(event.revision_, now) : outstanding();
}

auto ClaimStateMachine::on(const ClaimExists &event, TimePoint now) -> Action
{
    if (phase_ == Phase::Background) {
        // Another router has changed the record; its write is as good as this one.
        return end();
    }
    if (!acquiring()) {
        return outstanding();
    }
    revision_ = event.revision_;
    return found(event.record_, now);
}

auto ClaimStateMachine::on(const ClaimAbsent & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::Background) {
        return end();
    }
    return phase_ == Phase::ReadingBack || phase_ == Phase::TakingOver ? create(Milliseconds(0)) : outstanding();
}

auto ClaimStateMachine::on(const StoreUnavailable &event, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::Background) {
        return repeatBackground();
    }
    return acquiring() ? refuseNotRun(event.failure_.step_, event.failure_.reason_) : outstanding();
}

auto ClaimStateMachine::on(const StoreOutcomeUnknown &event, TimePoint now) -> Action
{
    if (phase_ == Phase::Background) {
        return repeatBackground();
    }
    if (!acquiring()) {
        return outstanding();
    }
    if (++repeats_ > maximumStoreRetries || now >= request_.deadline_) {
        return refuseNotRun(event.failure_.step_, event.failure_.reason_);
    }
    if (phase_ == Phase::Creating) {
        return create(repeatDelay(repeats_));
    }
    phase_ = Phase::ReadingBack;
    return ReadClaim {.key_ = request_.key_, .delay_ = repeatDelay(repeats_)};
}

auto ClaimStateMachine::on(const AttemptVoided & /*event*/, TimePoint now) -> Action
{
    if (!asking()) {
        return outstanding();
    }
    if (now >= request_.deadline_) {
        return refuseNotRun("claim", "the deadline has passed");
    }
    repeats_ = 0;
    return takeOver(Milliseconds(0));
}

auto ClaimStateMachine::on(const AttemptRunning & /*event*/, TimePoint /*now*/) -> Action
{
    if (asking()) {
        phase_ = Phase::Waiting;
    }
    return outstanding();
}

auto ClaimStateMachine::on(const AttemptRan &event, TimePoint /*now*/) -> Action
{
    if (!asking()) {
        return outstanding();
    }
    background_.emplace(completion(*other_, event.response_));
    return foundCompleted(event.response_);
}

auto ClaimStateMachine::on(const AttemptStateUnknown &event, TimePoint /*now*/) -> Action
{
    if (!asking()) {
        return outstanding();
    }
    return refuse(mayHaveRun("ask agent", toString(other_->agent_), event.failure_.reason_));
}

auto ClaimStateMachine::on(const AttemptFinished &event, TimePoint /*now*/) -> Action
{
    if (phase_ != Phase::Dispatched && phase_ != Phase::Abandoned) {
        return outstanding();
    }
    return runBackground(completion(ownRecord(ClaimState::Claimed), event.response_));
}

auto ClaimStateMachine::on(const AttemptFailed &event, TimePoint now) -> Action
{
    const auto abandoned = phase_ == Phase::Abandoned;
    if (phase_ != Phase::Dispatched && !abandoned) {
        return outstanding();
    }
    if (event.failure_.runState_ == RunState::MayHaveRun) {
        // The claim stays as it is, so that no later attempt runs.
        return abandoned ? end() : refuse(event.failure_);
    }
    if (event.failure_.runState_ == RunState::Ran) {
        background_.emplace(completion(ownRecord(ClaimState::Claimed), std::nullopt));
    } else if (!abandoned && event.nextTarget_ && event.nextTarget_->attempt_ != candidate_->attempt_
        && now < request_.deadline_) {
        candidate_.emplace(*event.nextTarget_);
        repeats_ = 0;
        return takeOver(Milliseconds(0));
    } else {
        background_.emplace(ReleaseClaim {
            .key_ = request_.key_, .expectedRevision_ = revision_, .record_ = ownRecord(ClaimState::Released)});
    }
    return abandoned ? runBackground(Action(*background_)) : refuse(event.failure_);
}

auto ClaimStateMachine::on(const ResponseSent & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ != Phase::Answering) {
        return outstanding();
    }
    if (background_) {
        return runBackground(Action(*background_));
    }
    return end();
}

auto ClaimStateMachine::on(const DeadlineExceeded & /*event*/, TimePoint /*now*/) -> Action
{
    if (phase_ == Phase::Idle || acquiring()) {
        return refuseNotRun("claim", "the deadline has passed");
    }
    if (asking()) {
        return refuse(mayHaveRun("wait for answer", toString(other_->agent_), "the deadline has passed"));
    }
    if (phase_ == Phase::Dispatched) {
        phase_ = Phase::Abandoned;
        return ReturnFailure {mayHaveRun("dispatch", toString(candidate_->agent_), "the deadline has passed")};
    }
    return outstanding();
}

auto ClaimStateMachine::acquiring() const -> bool
{
    return phase_ == Phase::Creating || phase_ == Phase::ReadingBack || phase_ == Phase::TakingOver;
}

auto ClaimStateMachine::asking() const -> bool
{
    return phase_ == Phase::Asking || phase_ == Phase::Waiting;
}

auto ClaimStateMachine::ownRecord(ClaimState state) const -> ClaimRecord
{
    return ClaimRecord {
        .attempt_ = candidate_->attempt_, .router_ = request_.router_, .agent_ = candidate_->agent_, .state_ = state};
}

auto ClaimStateMachine::create(Milliseconds delay) -> Action
{
    phase_ = Phase::Creating;
    return CreateClaim {.key_ = request_.key_, .record_ = ownRecord(ClaimState::Claimed), .delay_ = delay};
}

auto ClaimStateMachine::takeOver(Milliseconds delay) -> Action
{
    phase_ = Phase::TakingOver;
    voidedRevision_ = revision_;
    return TakeOverClaim {.key_ = request_.key_,
        .expectedRevision_ = revision_,
        .record_ = ownRecord(ClaimState::Claimed),
        .delay_ = delay};
}

auto ClaimStateMachine::won(std::uint64_t revision, TimePoint now) -> Action
{
    revision_ = revision;
    if (now >= request_.deadline_) {
        background_.emplace(ReleaseClaim {
            .key_ = request_.key_, .expectedRevision_ = revision_, .record_ = ownRecord(ClaimState::Released)});
        return refuseNotRun("claim", "the deadline has passed");
    }
    phase_ = Phase::Dispatched;
    return DispatchAttempt {.attempt_ = candidate_->attempt_, .agent_ = candidate_->agent_};
}

auto ClaimStateMachine::found(const ClaimRecord &record, TimePoint now) -> Action
{
    const auto own = record.attempt_ == candidate_->attempt_ && record.router_ == request_.router_;
    if (record.state_ == ClaimState::Completed) {
        return foundCompleted(record.response_);
    }
    if (own && record.state_ == ClaimState::Claimed) {
        return won(revision_, now);
    }
    if (now >= request_.deadline_) {
        return record.state_ == ClaimState::Released
            ? refuseNotRun("claim", "the deadline has passed")
            : refuse(mayHaveRun("claim", toString(record.agent_), "the deadline has passed"));
    }
    other_.emplace(record);
    if (record.state_ == ClaimState::Released || voidedRevision_ == revision_) {
        return takeOver(Milliseconds(0));
    }
    phase_ = Phase::Asking;
    return VoidAttempt {.agent_ = record.agent_, .attempt_ = record.attempt_};
}

auto ClaimStateMachine::refuse(const Failure &failure) -> Action
{
    phase_ = Phase::Answering;
    return ReturnFailure {failure};
}

auto ClaimStateMachine::refuseNotRun(const std::string &step, const std::string &reason) -> Action
{
    return refuse(
        Failure {.step_ = step, .reason_ = reason, .runState_ = RunState::NotRun, .retryAfter_ = storeRetryAfter});
}

auto ClaimStateMachine::foundCompleted(const std::optional<StoredResponse> &answer) -> Action
{
    if (!answer) {
        return refuse(Failure {.step_ = "claim",
            .reason_ = "an earlier request with this key ran and its answer is not stored",
            .runState_ = RunState::Ran});
    }
    phase_ = Phase::Answering;
    return ReturnStoredResponse {*answer};
}

auto ClaimStateMachine::completion(const ClaimRecord &record, const std::optional<StoredResponse> &answer) const
    -> Action
{
    const auto stored = answer && answer->body_.size() <= maximumStoredResponseBytes;
    return CompleteClaim {.key_ = request_.key_,
        .expectedRevision_ = revision_,
        .record_ = ClaimRecord {.attempt_ = record.attempt_,
            .router_ = record.router_,
            .agent_ = record.agent_,
            .state_ = ClaimState::Completed,
            .response_ = stored ? answer : std::nullopt}};
}

auto ClaimStateMachine::runBackground(Action action) -> Action
{
    phase_ = Phase::Background;
    repeats_ = 0;
    background_.emplace(std::move(action));
    return Action(*background_);
}

auto ClaimStateMachine::repeatBackground() -> Action
{
    if (++repeats_ >= maximumBackgroundWrites) {
        return end();
    }
    return withDelay(*background_, repeatDelay(repeats_));
}

auto ClaimStateMachine::end() -> Action
{
    phase_ = Phase::Ended;
    return Done {};
}

// An event that does not belong to the outstanding action changes nothing.
auto ClaimStateMachine::outstanding() const -> Action
{
    if (phase_ == Phase::Waiting) {
        return AwaitAttemptEnd {.agent_ = other_->agent_, .attempt_ = other_->attempt_};
    }
    return phase_ == Phase::Ended ? Action(Done {}) : Action(AwaitEvent {});
}

} // namespace jasminewood::claims
