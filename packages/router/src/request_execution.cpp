#include "jasminewood/router/request_execution.h"

#include <algorithm>
#include <utility>

namespace jasminewood::router
{

namespace
{

// The load of the upstreams changes within this time, so a retry can succeed where the first attempt failed.
constexpr auto overloadRetryAfter = Milliseconds(1000);

} // namespace

RequestExecution::RequestExecution(std::shared_ptr<node::Environment> environment,
    std::shared_ptr<UpstreamManager> upstreams, std::shared_ptr<RequestLimits> requestLimits, RoutedRequest request)
    : environment_(std::move(environment))
    , upstreams_(std::move(upstreams))
    , requestLimits_(std::move(requestLimits))
    , request_(std::move(request))
    , attemptEvents_(std::make_shared<AttemptEventQueue>())
    , arrivedAt_(Clock::now())
{
}

RequestExecution::~RequestExecution()
{
    for (const auto &attempt : attemptsInFlight_) {
        sendCancel(*attempt);
        upstreams_->closeAttempt(attempt->id_);
    }
}

auto RequestExecution::nextEvent() -> ResponseEvent
{
    while (true) {
        if (attemptsInFlight_.empty()) {
            if (const auto responseEvent = startAttempt()) {
                return *responseEvent;
            }
            continue;
        }
        const auto event = attemptEvents_->pop(nextCheckTime());
        const auto responseEvent = event ? std::visit(
                                       [this](const auto &arrived) -> OptionalEvent {
                                           return onEvent(arrived);
                                       },
                                       *event)
                                         : checkAttempts();
        if (responseEvent) {
            return *responseEvent;
        }
    }
}

auto RequestExecution::startAttempt() -> OptionalEvent
{
    const auto verdict = requestLimits_->quarantineVerdict(request_.fingerprint_);
    if (verdict == routing::CrashVerdict::Refused) {
        return responseFailed(Failure {.step_ = "quarantine",
            .reason_ = "this request crashed the upstreams that ran it",
            .runState_ = responseTracker_.runState()});
    }
    const auto chosen = chooseUpstream();
    if (!chosen) {
        return awaitRestarts() ? OptionalEvent() : responseFailed(lastFailure_ ? *lastFailure_ : chosen.failure());
    }
    if (const auto failure = dispatch(*chosen, false)) {
        triedUpstreams_.push_back(*chosen);
        return tryAcquireRetry(*failure) ? OptionalEvent() : responseFailed(*failure);
    }
    return std::nullopt;
}

auto RequestExecution::chooseUpstream() -> Result<NodeId>
{
    if (reservedUpstream_) {
        const auto reserved = *reservedUpstream_;
        reservedUpstream_.reset();
        return reserved;
    }
    const auto suspect = requestLimits_->quarantineVerdict(request_.fingerprint_) == routing::CrashVerdict::Suspect;
    const auto criteria = routing::SelectionRequest {.prefixHash_ = request_.prefixHash_,
        .tier_ = request_.tier_,
        .crashSuspect_ = suspect,
        .excludedUpstreams_ = triedUpstreams_};
    auto chosen = placementAttempts_ == 0 ? upstreams_->choose(request_.pool_, criteria)
                                          : upstreams_->chooseWithCapacity(request_.pool_, criteria);
    if (chosen || !suspect) {
        return chosen;
    }
    // Every upstream already has a suspect; the scheduler of each agent runs suspects one at a time.
    return upstreams_->choose(request_.pool_,
        routing::SelectionRequest {
            .prefixHash_ = request_.prefixHash_, .tier_ = request_.tier_, .excludedUpstreams_ = triedUpstreams_});
}

auto RequestExecution::dispatch(const NodeId &agent, bool isHedge) -> Status
{
    const auto now = Clock::now();
    const auto attemptId = AttemptId {.requestId_ = request_.requestId_, .number_ = ++attemptCount_};
    const auto suspect = requestLimits_->quarantineVerdict(request_.fingerprint_) == routing::CrashVerdict::Suspect;
    upstreams_->openAttempt(attemptId, agent, request_.tier_, suspect, attemptEvents_);
    attemptsInFlight_.push_back(std::make_unique<Attempt>(
        Attempt {.id_ = attemptId, .agent_ = agent, .dispatchedAt_ = now, .crashSuspect_ = suspect}));
    isHedge ? responseTracker_.beginHedge(attemptId) : responseTracker_.beginAttempt(attemptId);
    environment_->recordEvent(attemptId, observe::dispatchStep, agent.name_, request_.requestClass_);
    const auto failure = upstreams_->send(agent,
        wire::Dispatch {.attempt_ = attemptId,
            .expectedIncarnation_ = agent.incarnation_,
            .account_ = request_.account_,
            .requestClass_ = request_.requestClass_,
            .tier_ = request_.tier_,
            .method_ = request_.method_,
            .path_ = request_.path_,
            .body_ = request_.body_,
            .contentType_ = request_.contentType_,
            .idempotencyKey_ = request_.idempotencyKey_,
            .resumable_ = request_.resumable_,
            .idempotent_ = request_.idempotent_,
            .crashSuspect_ = suspect,
            .maximumWait_ = remainingQueueTime(now),
            .costEstimate_ = request_.costEstimate_,
            .resumeText_ = responseTracker_.deliveredOutput(),
            .resumeTokens_ = deliveredTokens_});
    if (failure) {
        responseTracker_.onFailed(attemptId, *failure);
        removeAttempt(attemptId);
    }
    return failure;
}

auto RequestExecution::remainingQueueTime(TimePoint now) const -> Milliseconds
{
    // The limit applies only until the first start; after that the request is resumed however long it queues.
    if (request_.maximumWait_ == Milliseconds(0) || startedAttempts_ > 0) {
        return Milliseconds(0);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(arrivedAt_ + request_.maximumWait_ - now);
    // Zero means no limit.
    return std::max(left, Milliseconds(1));
}

auto RequestExecution::onEvent(const wire::Started &event) -> OptionalEvent
{
    if (auto *attempt = findAttempt(event.attempt_); attempt != nullptr && !attempt->startedAt_) {
        attempt->startedAt_ = Clock::now();
        ++startedAttempts_;
    }
    return std::nullopt;
}

auto RequestExecution::onEvent(const wire::Frame &event) -> OptionalEvent
{
    auto *attempt = findAttempt(event.attempt_);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    const auto text = responseTracker_.onFrame(event.attempt_, event.offset_, event.data_);
    if (!text) {
        sendPendingAttach();
        return std::nullopt;
    }
    recordLatency(*attempt, Clock::now());
    cancelOtherAttempts(event.attempt_);
    ++deliveredTokens_;
    return ResponseChunk {.text_ = *text};
}

auto RequestExecution::recordLatency(Attempt &attempt, TimePoint now) -> void
{
    if (attempt.lastOutputAt_) {
        upstreams_->recordInterTokenLatency(
            attempt.agent_, std::chrono::duration_cast<Microseconds>(now - *attempt.lastOutputAt_));
    } else {
        const auto since = attempt.startedAt_.value_or(attempt.dispatchedAt_);
        upstreams_->recordTimeToFirstToken(attempt.agent_, std::chrono::duration_cast<Microseconds>(now - since));
        requestLimits_->recordTimeToFirstToken(
            request_.requestClass_, std::chrono::duration_cast<Microseconds>(now - arrivedAt_));
    }
    attempt.lastOutputAt_ = now;
}

auto RequestExecution::onEvent(const wire::Finished &event) -> OptionalEvent
{
    if (findAttempt(event.attempt_) == nullptr) {
        return std::nullopt;
    }
    const auto result = responseTracker_.onFinished(event.attempt_, event.length_, event.digest_);
    if (std::holds_alternative<delivery::AttachRequest>(result)) {
        sendPendingAttach();
        return std::nullopt;
    }
    if (std::holds_alternative<delivery::Ignored>(result)) {
        removeAttempt(event.attempt_);
        return std::nullopt;
    }
    if (const auto *failure = std::get_if<Failure>(&result)) {
        const auto failedAttempt = *findAttempt(event.attempt_);
        removeAttempt(event.attempt_);
        return onAttemptFailed(failedAttempt, *failure);
    }
    environment_->recordEvent(event.attempt_, observe::answerStep, findAttempt(event.attempt_)->agent_.name_, "whole");
    removeAttempt(event.attempt_);
    requestLimits_->recordCompletion(request_.fingerprint_);
    requestLimits_->adjustWork(request_.account_, request_.costEstimate_, event.outputTokens_);
    return ResponseCompleted {.status_ = event.status_,
        .contentType_ = event.contentType_,
        .finishReason_ = event.finishReason_,
        .promptTokens_ = event.promptTokens_,
        .outputTokens_ = event.outputTokens_};
}

auto RequestExecution::onEvent(const wire::Failed &event) -> OptionalEvent
{
    const auto *attempt = findAttempt(event.attempt_);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    const auto failedAttempt = *attempt;
    environment_->recordEvent(event.attempt_, observe::answerStep, failedAttempt.agent_.name_, event.failure_.reason_);
    if (!event.crashId_.empty()) {
        requestLimits_->recordCrash(event.crashId_, request_.fingerprint_);
    }
    responseTracker_.onFailed(event.attempt_, event.failure_);
    removeAttempt(event.attempt_);
    if (event.failure_.runState_ != RunState::NotRun) {
        upstreams_->recordFailure(failedAttempt.agent_);
    }
    return onAttemptFailed(failedAttempt, event.failure_);
}

auto RequestExecution::onEvent(const wire::Voided & /*event*/) -> OptionalEvent
{
    return std::nullopt;
}

auto RequestExecution::onEvent(const LinkReconnected &event) -> OptionalEvent
{
    if (const auto *attempt = findAttempt(event.attempt_)) {
        environment_->recordEvent(event.attempt_, "attach", attempt->agent_.name_);
        static_cast<void>(upstreams_->send(attempt->agent_,
            wire::Attach {.attempt_ = event.attempt_, .offset_ = responseTracker_.nextOffset(event.attempt_)}));
    }
    return std::nullopt;
}

auto RequestExecution::onEvent(const LinkLost &event) -> OptionalEvent
{
    const auto *attempt = findAttempt(event.attempt_);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    const auto failedAttempt = *attempt;
    environment_->recordEvent(event.attempt_, "link lost", failedAttempt.agent_.name_, event.failure_.reason_);
    responseTracker_.onFailed(event.attempt_, event.failure_);
    removeAttempt(event.attempt_);
    return onAttemptFailed(failedAttempt, event.failure_);
}

auto RequestExecution::onAttemptFailed(const Attempt &failedAttempt, const Failure &failure) -> OptionalEvent
{
    lastFailure_.emplace(failure);
    if (!attemptsInFlight_.empty()) {
        return std::nullopt;
    }
    if (failedAttempt.movingTo_ && failure.runState_ == RunState::NotRun) {
        reservedUpstream_.emplace(*failedAttempt.movingTo_);
        return std::nullopt;
    }
    triedUpstreams_.push_back(failedAttempt.agent_);
    if (tryAcquireRetry(failure) || awaitRestarts()) {
        return std::nullopt;
    }
    return responseFailed(failure);
}

auto RequestExecution::awaitRestarts() -> bool
{
    const auto startedOnce = startedAttempts_ > 0 && lastFailure_ && lastFailure_->runState_ == RunState::NotRun;
    const auto callerDisconnected = request_.callerDisconnected_ && request_.callerDisconnected_();
    if (!startedOnce || callerDisconnected || !request_.idempotent_ || restartWaits_ >= maximumUpstreamRestartWaits) {
        return false;
    }
    ++restartWaits_;
    placementAttempts_ = 0;
    triedUpstreams_.clear();
    environment_->recordEvent({.requestId_ = request_.requestId_, .number_ = attemptCount_}, "await restarts", "");
    // No attempt is open, so any event that arrives is stale and is discarded.
    const auto waitEnd = Clock::now() + upstreamRestartWait;
    while (attemptEvents_->pop(waitEnd)) {}
    return true;
}

auto RequestExecution::tryAcquireRetry(const Failure &failure) -> bool
{
    if (failure.runState_ == RunState::NotRun) {
        const auto now = Clock::now();
        const auto queueTimeLeft
            = remainingQueueTime(now) == Milliseconds(0) || now < arrivedAt_ + request_.maximumWait_;
        return queueTimeLeft && ++placementAttempts_ < maximumPlacementAttempts;
    }
    const auto canContinue = request_.resumable_ || responseTracker_.deliveredOutput().empty();
    return request_.idempotent_ && canContinue && startedAttempts_ < maximumStartedAttempts
        && requestLimits_->tryAcquireRetry();
}

auto RequestExecution::responseFailed(const Failure &failure) const -> ResponseEvent
{
    const auto runState = responseTracker_.runState();
    const auto retryAfter = runState == RunState::NotRun && !failure.retryAfter_ && failure.step_ != "quarantine"
        ? std::optional<Milliseconds>(overloadRetryAfter)
        : failure.retryAfter_;
    return ResponseFailed {.failure_ = Failure {.step_ = failure.step_,
                               .peer_ = failure.peer_,
                               .reason_ = failure.reason_,
                               .runState_ = runState,
                               .retryAfter_ = retryAfter}};
}

auto RequestExecution::nextCheckTime() const -> TimePoint
{
    const auto now = Clock::now();
    auto next = now + attemptCheckInterval;
    const auto hedgeDelay
        = request_.hedgingAllowed_ && !hedged_ ? requestLimits_->hedgeDelay(request_.requestClass_) : std::nullopt;
    if (hedgeDelay && arrivedAt_ + *hedgeDelay > now) {
        next = std::min(next, arrivedAt_ + *hedgeDelay);
    }
    return next;
}

auto RequestExecution::checkAttempts() -> OptionalEvent
{
    if (request_.callerDisconnected_ && request_.callerDisconnected_()) {
        return ResponseFailed {.failure_ = Failure {.step_ = "answer",
                                   .peer_ = "caller",
                                   .reason_ = "the caller closed its connection",
                                   .runState_ = responseTracker_.runState()}};
    }
    const auto now = Clock::now();
    for (const auto &attempt : attemptsInFlight_) {
        if (attempt->startedAt_ && !attempt->lastOutputAt_) {
            upstreams_->recordFirstTokenWait(
                attempt->agent_, std::chrono::duration_cast<Microseconds>(now - *attempt->startedAt_));
        }
        moveToFreeSlot(*attempt, now);
    }
    hedgeIfSlow(now);
    return std::nullopt;
}

auto RequestExecution::moveToFreeSlot(Attempt &attempt, TimePoint now) -> void
{
    // A suspect may be queued behind another suspect although the upstream has free slots.
    const auto queued = !attempt.startedAt_ && !attempt.movingTo_ && !attempt.crashSuspect_;
    if (!queued || now - attempt.dispatchedAt_ < queuedAttemptMoveDelay) {
        return;
    }
    if (const auto destination = upstreams_->reserveFreeSlot(request_.pool_, attempt.agent_)) {
        attempt.movingTo_.emplace(*destination);
        sendCancel(attempt);
    }
}

auto RequestExecution::hedgeIfSlow(TimePoint now) -> void
{
    if (!request_.hedgingAllowed_ || !request_.idempotent_ || hedged_ || attemptsInFlight_.size() != 1
        || attemptsInFlight_[0]->lastOutputAt_ || !attemptsInFlight_[0]->startedAt_) {
        return;
    }
    const auto hedgeDelay = requestLimits_->hedgeDelay(request_.requestClass_);
    if (!hedgeDelay || now - arrivedAt_ < *hedgeDelay || !requestLimits_->tryAcquireHedge()) {
        return;
    }
    hedged_ = true;
    auto excluded = triedUpstreams_;
    excluded.push_back(attemptsInFlight_[0]->agent_);
    const auto chosen = upstreams_->choose(request_.pool_,
        routing::SelectionRequest {.prefixHash_ = 0, .tier_ = request_.tier_, .excludedUpstreams_ = excluded});
    if (chosen) {
        static_cast<void>(dispatch(*chosen, true));
    }
}

auto RequestExecution::sendPendingAttach() -> void
{
    const auto pending = responseTracker_.pendingAttach();
    const auto *attempt = pending ? findAttempt(pending->attempt_) : nullptr;
    if (attempt != nullptr) {
        static_cast<void>(upstreams_->send(
            attempt->agent_, wire::Attach {.attempt_ = pending->attempt_, .offset_ = pending->offset_}));
    }
}

auto RequestExecution::cancelOtherAttempts(const AttemptId &kept) -> void
{
    if (attemptsInFlight_.size() < 2) {
        return;
    }
    auto others = std::vector<AttemptId>();
    for (const auto &attempt : attemptsInFlight_) {
        if (attempt->id_ != kept) {
            sendCancel(*attempt);
            others.push_back(attempt->id_);
        }
    }
    for (const auto &other : others) {
        removeAttempt(other);
    }
}

auto RequestExecution::sendCancel(const Attempt &attempt) -> void
{
    environment_->recordEvent(attempt.id_, "cancel", attempt.agent_.name_);
    static_cast<void>(upstreams_->send(attempt.agent_, wire::Cancel {.attempt_ = attempt.id_}));
}

auto RequestExecution::findAttempt(const AttemptId &attemptId) -> Attempt *
{
    const auto found
        = std::find_if(attemptsInFlight_.begin(), attemptsInFlight_.end(), [&](const auto &candidate) -> bool {
              return candidate->id_ == attemptId;
          });
    return found == attemptsInFlight_.end() ? nullptr : found->get();
}

auto RequestExecution::removeAttempt(const AttemptId &attemptId) -> void
{
    upstreams_->closeAttempt(attemptId);
    std::erase_if(attemptsInFlight_, [&](const auto &candidate) -> bool {
        return candidate->id_ == attemptId;
    });
}

} // namespace jasminewood::router
