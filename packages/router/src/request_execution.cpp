#include "jasminewood/router/request_execution.h"

#include <algorithm>
#include <utility>

namespace jasminewood::router
{

namespace
{

// A retry after so short a time meets other upstreams' state than the first try did.
constexpr auto overloadRetryAfter = Milliseconds(1000);

} // namespace

RequestExecution::RequestExecution(std::shared_ptr<node::Environment> environment,
    std::shared_ptr<UpstreamManager> upstreams, std::shared_ptr<RequestLimits> limits, RoutedRequest request)
    : environment_(std::move(environment))
    , upstreams_(std::move(upstreams))
    , limits_(std::move(limits))
    , request_(std::move(request))
    , mailbox_(std::make_shared<AttemptEventQueue>())
    , arrivedAt_(Clock::now())
{
}

RequestExecution::~RequestExecution()
{
    for (const auto &running : flights_) {
        cancel(*running);
        upstreams_->closeAttempt(running->attempt_);
    }
}

auto RequestExecution::nextEvent() -> ResponseEvent
{
    while (true) {
        if (flights_.empty()) {
            if (const auto step = begin()) {
                return *step;
            }
            continue;
        }
        const auto event = mailbox_->pop(nextReview());
        const auto step = event ? std::visit(
                              [this](const auto &arrived) -> Step {
                                  return on(arrived);
                              },
                              *event)
                                : review();
        if (step) {
            return *step;
        }
    }
}

auto RequestExecution::begin() -> Step
{
    const auto verdict = limits_->quarantineVerdict(request_.fingerprint_);
    if (verdict == routing::CrashVerdict::Refused) {
        return broken(Failure {.step_ = "quarantine",
            .reason_ = "this request crashed the upstreams that ran it",
            .runState_ = tracker_.runState()});
    }
    const auto chosen = place();
    if (!chosen) {
        return awaitRestarts() ? Step() : broken(lastFailure_ ? *lastFailure_ : chosen.failure());
    }
    if (const auto failure = dispatch(*chosen, false)) {
        tried_.push_back(*chosen);
        return mayTryAgain(*failure) ? Step() : broken(*failure);
    }
    return std::nullopt;
}

auto RequestExecution::place() -> Result<NodeId>
{
    if (reserved_) {
        const auto reserved = *reserved_;
        reserved_.reset();
        return reserved;
    }
    const auto suspect = limits_->quarantineVerdict(request_.fingerprint_) == routing::CrashVerdict::Suspect;
    const auto wanted = routing::SelectionRequest {.prefixHash_ = request_.prefixHash_,
        .tier_ = request_.tier_,
        .suspect_ = suspect,
        .excludedUpstreams_ = tried_};
    auto chosen = placements_ == 0 ? upstreams_->choose(request_.pool_, wanted)
                                   : upstreams_->chooseWithCapacity(request_.pool_, wanted);
    if (chosen || !suspect) {
        return chosen;
    }
    // All upstreams have a suspect; the gate of each starts them one after the other.
    return upstreams_->choose(request_.pool_,
        routing::SelectionRequest {
            .prefixHash_ = request_.prefixHash_, .tier_ = request_.tier_, .excludedUpstreams_ = tried_});
}

auto RequestExecution::dispatch(const NodeId &agent, bool isHedge) -> Status
{
    const auto now = Clock::now();
    const auto attempt = AttemptId {.requestId_ = request_.requestId_, .number_ = ++attempts_};
    const auto suspect = limits_->quarantineVerdict(request_.fingerprint_) == routing::CrashVerdict::Suspect;
    upstreams_->openAttempt(attempt, agent, request_.tier_, suspect, mailbox_);
    flights_.push_back(std::make_unique<Flight>(
        Flight {.attempt_ = attempt, .agent_ = agent, .dispatchedAt_ = now, .suspect_ = suspect}));
    isHedge ? tracker_.beginHedge(attempt) : tracker_.beginAttempt(attempt);
    environment_->recordEvent(attempt, observe::dispatchStep, agent.name_, request_.requestClass_);
    const auto failure = upstreams_->send(agent,
        wire::Dispatch {.attempt_ = attempt,
            .expectedIncarnation_ = agent.incarnation_,
            .account_ = request_.account_,
            .requestClass_ = request_.requestClass_,
            .tier_ = request_.tier_,
            .method_ = request_.method_,
            .path_ = request_.path_,
            .body_ = request_.body_,
            .contentType_ = request_.contentType_,
            .idempotencyKey_ = request_.idempotencyKey_,
            .stream_ = request_.resumable_,
            .idempotent_ = request_.idempotent_,
            .suspect_ = suspect,
            .maximumWait_ = remainingWait(now),
            .costEstimate_ = request_.costEstimate_,
            .resumeText_ = tracker_.deliveredOutput(),
            .resumeTokens_ = deliveredTokens_});
    if (failure) {
        tracker_.onFailed(attempt, *failure);
        remove(attempt);
    }
    return failure;
}

auto RequestExecution::remainingWait(TimePoint now) const -> Milliseconds
{
    // A request that has started once is over its wait; it is resumed however long that takes.
    if (request_.maximumWait_ == Milliseconds(0) || starts_ > 0) {
        return Milliseconds(0);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(arrivedAt_ + request_.maximumWait_ - now);
    // Zero would mean no limit.
    return std::max(left, Milliseconds(1));
}

auto RequestExecution::on(const wire::Started &event) -> Step
{
    if (auto *running = flight(event.attempt_); running != nullptr && !running->startedAt_) {
        running->startedAt_ = Clock::now();
        ++starts_;
    }
    return std::nullopt;
}

auto RequestExecution::on(const wire::Frame &event) -> Step
{
    auto *running = flight(event.attempt_);
    if (running == nullptr) {
        return std::nullopt;
    }
    const auto text = tracker_.onFrame(event.attempt_, event.offset_, event.data_);
    if (!text) {
        requestAttach();
        return std::nullopt;
    }
    measure(*running, Clock::now());
    abandonOthers(event.attempt_);
    ++deliveredTokens_;
    return ResponseChunk {.text_ = *text};
}

auto RequestExecution::measure(Flight &running, TimePoint now) -> void
{
    if (running.lastOutputAt_) {
        upstreams_->recordInterTokenLatency(
            running.agent_, std::chrono::duration_cast<Microseconds>(now - *running.lastOutputAt_));
    } else {
        const auto since = running.startedAt_.value_or(running.dispatchedAt_);
        upstreams_->recordTimeToFirstToken(running.agent_, std::chrono::duration_cast<Microseconds>(now - since));
        limits_->recordTimeToFirstToken(
            request_.requestClass_, std::chrono::duration_cast<Microseconds>(now - arrivedAt_));
    }
    running.lastOutputAt_ = now;
}

auto RequestExecution::on(const wire::Finished &event) -> Step
{
    if (flight(event.attempt_) == nullptr) {
        return std::nullopt;
    }
    const auto end = tracker_.onFinished(event.attempt_, event.length_, event.digest_);
    if (std::holds_alternative<delivery::AttachRequest>(end)) {
        requestAttach();
        return std::nullopt;
    }
    if (std::holds_alternative<delivery::Ignored>(end)) {
        remove(event.attempt_);
        return std::nullopt;
    }
    if (const auto *failure = std::get_if<Failure>(&end)) {
        const auto failedFlight = *flight(event.attempt_);
        remove(event.attempt_);
        return attemptFailed(failedFlight, *failure);
    }
    environment_->recordEvent(event.attempt_, observe::answerStep, flight(event.attempt_)->agent_.name_, "whole");
    remove(event.attempt_);
    limits_->recordCompletion(request_.fingerprint_);
    limits_->adjustWork(request_.account_, request_.costEstimate_, event.outputTokens_);
    return ResponseCompleted {.status_ = event.status_,
        .contentType_ = event.contentType_,
        .finishReason_ = event.finishReason_,
        .promptTokens_ = event.promptTokens_,
        .outputTokens_ = event.outputTokens_};
}

auto RequestExecution::on(const wire::Failed &event) -> Step
{
    const auto *running = flight(event.attempt_);
    if (running == nullptr) {
        return std::nullopt;
    }
    const auto failedFlight = *running;
    environment_->recordEvent(event.attempt_, observe::answerStep, failedFlight.agent_.name_, event.failure_.reason_);
    if (!event.crashId_.empty()) {
        limits_->recordCrash(event.crashId_, request_.fingerprint_);
    }
    tracker_.onFailed(event.attempt_, event.failure_);
    remove(event.attempt_);
    if (event.failure_.runState_ != RunState::NotRun) {
        upstreams_->recordFailure(failedFlight.agent_);
    }
    return attemptFailed(failedFlight, event.failure_);
}

auto RequestExecution::on(const wire::Voided & /*event*/) -> Step
{
    return std::nullopt;
}

auto RequestExecution::on(const LinkReconnected &event) -> Step
{
    if (const auto *running = flight(event.attempt_)) {
        environment_->recordEvent(event.attempt_, "attach", running->agent_.name_);
        static_cast<void>(upstreams_->send(running->agent_,
            wire::Attach {.attempt_ = event.attempt_, .offset_ = tracker_.nextOffset(event.attempt_)}));
    }
    return std::nullopt;
}

auto RequestExecution::on(const LinkLost &event) -> Step
{
    const auto *running = flight(event.attempt_);
    if (running == nullptr) {
        return std::nullopt;
    }
    const auto failedFlight = *running;
    environment_->recordEvent(event.attempt_, "link lost", failedFlight.agent_.name_, event.failure_.reason_);
    tracker_.onFailed(event.attempt_, event.failure_);
    remove(event.attempt_);
    return attemptFailed(failedFlight, event.failure_);
}

auto RequestExecution::attemptFailed(const Flight &failedFlight, const Failure &failure) -> Step
{
    lastFailure_.emplace(failure);
    if (!flights_.empty()) {
        return std::nullopt;
    }
    if (failedFlight.recalledTo_ && failure.runState_ == RunState::NotRun) {
        reserved_.emplace(*failedFlight.recalledTo_);
        return std::nullopt;
    }
    tried_.push_back(failedFlight.agent_);
    if (mayTryAgain(failure) || awaitRestarts()) {
        return std::nullopt;
    }
    return broken(failure);
}

auto RequestExecution::awaitRestarts() -> bool
{
    const auto started = starts_ > 0 && lastFailure_ && lastFailure_->runState_ == RunState::NotRun;
    const auto gone = request_.callerDisconnected_ && request_.callerDisconnected_();
    if (!started || gone || !request_.idempotent_ || restartWaits_ >= maximumUpstreamRestartWaits) {
        return false;
    }
    ++restartWaits_;
    placements_ = 0;
    tried_.clear();
    environment_->recordEvent({.requestId_ = request_.requestId_, .number_ = attempts_}, "await restarts", "");
    // No attempt is open, so that what arrives is late and has no use.
    const auto end = Clock::now() + upstreamRestartWait;
    while (mailbox_->pop(end)) {}
    return true;
}

auto RequestExecution::mayTryAgain(const Failure &failure) -> bool
{
    if (failure.runState_ == RunState::NotRun) {
        const auto now = Clock::now();
        const auto waitLeft = remainingWait(now) == Milliseconds(0) || now < arrivedAt_ + request_.maximumWait_;
        return waitLeft && ++placements_ < maximumPlacementAttempts;
    }
    const auto canContinue = request_.resumable_ || tracker_.deliveredOutput().empty();
    return request_.idempotent_ && canContinue && starts_ < maximumStartedAttempts && limits_->tryAcquireRetry();
}

auto RequestExecution::broken(const Failure &failure) const -> ResponseEvent
{
    const auto runState = tracker_.runState();
    const auto retryAfter = runState == RunState::NotRun && !failure.retryAfter_ && failure.step_ != "quarantine"
        ? std::optional<Milliseconds>(overloadRetryAfter)
        : failure.retryAfter_;
    return ResponseFailed {.failure_ = Failure {.step_ = failure.step_,
                               .peer_ = failure.peer_,
                               .reason_ = failure.reason_,
                               .runState_ = runState,
                               .retryAfter_ = retryAfter}};
}

auto RequestExecution::nextReview() const -> TimePoint
{
    const auto now = Clock::now();
    auto next = now + attemptCheckInterval;
    const auto after
        = request_.hedgingAllowed_ && !hedged_ ? limits_->hedgeDelay(request_.requestClass_) : std::nullopt;
    if (after && arrivedAt_ + *after > now) {
        next = std::min(next, arrivedAt_ + *after);
    }
    return next;
}

auto RequestExecution::review() -> Step
{
    if (request_.callerDisconnected_ && request_.callerDisconnected_()) {
        return ResponseFailed {.failure_ = Failure {.step_ = "answer",
                                   .peer_ = "caller",
                                   .reason_ = "the caller closed its connection",
                                   .runState_ = tracker_.runState()}};
    }
    const auto now = Clock::now();
    for (const auto &running : flights_) {
        if (running->startedAt_ && !running->lastOutputAt_) {
            upstreams_->recordFirstTokenWait(
                running->agent_, std::chrono::duration_cast<Microseconds>(now - *running->startedAt_));
        }
        recall(*running, now);
    }
    hedge(now);
    return std::nullopt;
}

auto RequestExecution::recall(Flight &running, TimePoint now) -> void
{
    // A suspect may wait for another suspect while there are free slots.
    const auto queued = !running.startedAt_ && !running.recalledTo_ && !running.suspect_;
    if (!queued || now - running.dispatchedAt_ < queuedAttemptMoveDelay) {
        return;
    }
    if (const auto free = upstreams_->reserveFreeSlot(request_.pool_, running.agent_)) {
        running.recalledTo_.emplace(*free);
        cancel(running);
    }
}

auto RequestExecution::hedge(TimePoint now) -> void
{
    if (!request_.hedgingAllowed_ || !request_.idempotent_ || hedged_ || flights_.size() != 1
        || flights_[0]->lastOutputAt_ || !flights_[0]->startedAt_) {
        return;
    }
    const auto after = limits_->hedgeDelay(request_.requestClass_);
    if (!after || now - arrivedAt_ < *after || !limits_->tryAcquireHedge()) {
        return;
    }
    hedged_ = true;
    auto excluded = tried_;
    excluded.push_back(flights_[0]->agent_);
    const auto chosen = upstreams_->choose(request_.pool_,
        routing::SelectionRequest {.prefixHash_ = 0, .tier_ = request_.tier_, .excludedUpstreams_ = excluded});
    if (chosen) {
        static_cast<void>(dispatch(*chosen, true));
    }
}

auto RequestExecution::requestAttach() -> void
{
    const auto needed = tracker_.pendingAttach();
    const auto *running = needed ? flight(needed->attempt_) : nullptr;
    if (running != nullptr) {
        static_cast<void>(
            upstreams_->send(running->agent_, wire::Attach {.attempt_ = needed->attempt_, .offset_ = needed->offset_}));
    }
}

auto RequestExecution::abandonOthers(const AttemptId &kept) -> void
{
    if (flights_.size() < 2) {
        return;
    }
    auto others = std::vector<AttemptId>();
    for (const auto &running : flights_) {
        if (running->attempt_ != kept) {
            cancel(*running);
            others.push_back(running->attempt_);
        }
    }
    for (const auto &other : others) {
        remove(other);
    }
}

auto RequestExecution::cancel(const Flight &running) -> void
{
    environment_->recordEvent(running.attempt_, "cancel", running.agent_.name_);
    static_cast<void>(upstreams_->send(running.agent_, wire::Cancel {.attempt_ = running.attempt_}));
}

auto RequestExecution::flight(const AttemptId &attempt) -> Flight *
{
    const auto found = std::find_if(flights_.begin(), flights_.end(), [&](const auto &running) -> bool {
        return running->attempt_ == attempt;
    });
    return found == flights_.end() ? nullptr : found->get();
}

auto RequestExecution::remove(const AttemptId &attempt) -> void
{
    upstreams_->closeAttempt(attempt);
    std::erase_if(flights_, [&](const auto &running) -> bool {
        return running->attempt_ == attempt;
    });
}

} // namespace jasminewood::router
