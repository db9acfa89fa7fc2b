#include "jasminewood/router/request_run.h"

#include <algorithm>
#include <utility>

namespace jasminewood::router
{

namespace
{

// The load of the upstreams changes within this time, so a retry can succeed where the first attempt failed.
constexpr auto overloadRetryAfter = Milliseconds(1000);

} // namespace

RequestRun::RequestRun(std::shared_ptr<node::Environment> environment, std::shared_ptr<Upstreams> upstreams,
    std::shared_ptr<Limits> limits, RouteRequest request)
    : environment_(std::move(environment))
    , upstreams_(std::move(upstreams))
    , requestLimits_(std::move(limits))
    , request_(std::move(request))
    , attemptEvents_(std::make_shared<Mailbox>())
    , arrivedAt_(Clock::now())
{
}

RequestRun::~RequestRun()
{
    for (const auto &attempt : attemptsInFlight_) {
        sendCancel(*attempt);
        upstreams_->close(attempt->id_);
    }
}

auto RequestRun::next() -> RunStep
{
    while (true) {
        if (attemptsInFlight_.empty()) {
            if (const auto responseEvent = startAttempt()) {
                return *responseEvent;
            }
            continue;
        }
        const auto event = attemptEvents_->receive(nextCheckTime());
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

auto RequestRun::startAttempt() -> OptionalEvent
{
    const auto verdict = requestLimits_->verdict(request_.fingerprint_);
    if (verdict == routing::Verdict::Refused) {
        return responseFailed(Failure {.step_ = "quarantine",
            .reason_ = "this request crashed the upstreams that ran it",
            .runState_ = responseTracker_.runState()});
    }
    const auto chosen = chooseUpstream();
    if (!chosen) {
        return awaitRestarts() ? OptionalEvent() : responseFailed(lastFailure_ ? *lastFailure_ : chosen.reason());
    }
    if (const auto failure = dispatch(*chosen, false)) {
        triedUpstreams_.push_back(*chosen);
        return mayRetry(*failure) ? OptionalEvent() : responseFailed(*failure);
    }
    return std::nullopt;
}

auto RequestRun::chooseUpstream() -> Result<NodeId>
{
    if (reservedUpstream_) {
        const auto reserved = *reservedUpstream_;
        reservedUpstream_.reset();
        return reserved;
    }
    const auto suspect = requestLimits_->verdict(request_.fingerprint_) == routing::Verdict::Suspect;
    const auto criteria = routing::Request {.prefixHash_ = request_.prefixHash_,
        .tier_ = request_.tier_,
        .suspect_ = suspect,
        .excluded_ = triedUpstreams_};
    auto chosen = placementAttempts_ == 0 ? upstreams_->choose(request_.pool_, criteria)
                                          : upstreams_->chooseWithRoom(request_.pool_, criteria);
    if (chosen || !suspect) {
        return chosen;
    }
    // Every upstream already has a suspect; the scheduler of each agent runs suspects one at a time.
    return upstreams_->choose(request_.pool_,
        routing::Request {.prefixHash_ = request_.prefixHash_, .tier_ = request_.tier_, .excluded_ = triedUpstreams_});
}

auto RequestRun::dispatch(const NodeId &agent, bool isHedge) -> Status
{
    const auto now = Clock::now();
    const auto attemptId = AttemptId {.request_ = request_.id_, .number_ = ++attemptCount_};
    const auto suspect = requestLimits_->verdict(request_.fingerprint_) == routing::Verdict::Suspect;
    upstreams_->open(attemptId, agent, request_.tier_, suspect, attemptEvents_);
    attemptsInFlight_.push_back(std::make_unique<Attempt>(
        Attempt {.id_ = attemptId, .agent_ = agent, .dispatchedAt_ = now, .suspect_ = suspect}));
    isHedge ? responseTracker_.beginHedge(attemptId) : responseTracker_.begin(attemptId);
    environment_->event(attemptId, observe::dispatchStep, agent.name_, request_.requestClass_);
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
            .stream_ = request_.resumable_,
            .idempotent_ = request_.idempotent_,
            .suspect_ = suspect,
            .maximumWait_ = remainingQueueTime(now),
            .costEstimate_ = request_.costEstimate_,
            .resumeText_ = responseTracker_.delivered(),
            .resumeTokens_ = deliveredTokens_});
    if (failure) {
        responseTracker_.failed(attemptId, *failure);
        removeAttempt(attemptId);
    }
    return failure;
}

auto RequestRun::remainingQueueTime(TimePoint now) const -> Milliseconds
{
    // The limit applies only until the first start; after that the request is resumed however long it queues.
    if (request_.maximumWait_ == Milliseconds(0) || startedAttempts_ > 0) {
        return Milliseconds(0);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(arrivedAt_ + request_.maximumWait_ - now);
    // Zero means no limit.
    return std::max(left, Milliseconds(1));
}

auto RequestRun::onEvent(const wire::Started &event) -> OptionalEvent
{
    if (auto *attempt = findAttempt(event.attempt_); attempt != nullptr && !attempt->startedAt_) {
        attempt->startedAt_ = Clock::now();
        ++startedAttempts_;
    }
    return std::nullopt;
}

auto RequestRun::onEvent(const wire::Frame &event) -> OptionalEvent
{
    auto *attempt = findAttempt(event.attempt_);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    const auto text = responseTracker_.frame(event.attempt_, event.offset_, event.data_);
    if (!text) {
        requestAttach();
        return std::nullopt;
    }
    recordLatency(*attempt, Clock::now());
    cancelOtherAttempts(event.attempt_);
    ++deliveredTokens_;
    return Output {.text_ = *text};
}

auto RequestRun::recordLatency(Attempt &attempt, TimePoint now) -> void
{
    if (attempt.lastOutputAt_) {
        upstreams_->betweenTokens(
            attempt.agent_, std::chrono::duration_cast<Microseconds>(now - *attempt.lastOutputAt_));
    } else {
        const auto since = attempt.startedAt_.value_or(attempt.dispatchedAt_);
        upstreams_->firstToken(attempt.agent_, std::chrono::duration_cast<Microseconds>(now - since));
        requestLimits_->firstToken(request_.requestClass_, std::chrono::duration_cast<Microseconds>(now - arrivedAt_));
    }
    attempt.lastOutputAt_ = now;
}

auto RequestRun::onEvent(const wire::Finished &event) -> OptionalEvent
{
    if (findAttempt(event.attempt_) == nullptr) {
        return std::nullopt;
    }
    const auto end = responseTracker_.finished(event.attempt_, event.length_, event.digest_);
    if (std::holds_alternative<delivery::Attach>(end)) {
        requestAttach();
        return std::nullopt;
    }
    if (std::holds_alternative<delivery::Dropped>(end)) {
        removeAttempt(event.attempt_);
        return std::nullopt;
    }
    if (const auto *failure = std::get_if<Failure>(&end)) {
        const auto failedAttempt = *findAttempt(event.attempt_);
        removeAttempt(event.attempt_);
        return onAttemptFailed(failedAttempt, *failure);
    }
    environment_->event(event.attempt_, observe::answerStep, findAttempt(event.attempt_)->agent_.name_, "whole");
    removeAttempt(event.attempt_);
    requestLimits_->completed(request_.fingerprint_);
    requestLimits_->correct(request_.account_, request_.costEstimate_, event.outputTokens_);
    return Completed {.status_ = event.status_,
        .contentType_ = event.contentType_,
        .finishReason_ = event.finishReason_,
        .promptTokens_ = event.promptTokens_,
        .outputTokens_ = event.outputTokens_};
}

auto RequestRun::onEvent(const wire::Failed &event) -> OptionalEvent
{
    const auto *attempt = findAttempt(event.attempt_);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    const auto failedAttempt = *attempt;
    environment_->event(event.attempt_, observe::answerStep, failedAttempt.agent_.name_, event.failure_.reason_);
    if (!event.crash_.empty()) {
        requestLimits_->crashed(event.crash_, request_.fingerprint_);
    }
    responseTracker_.failed(event.attempt_, event.failure_);
    removeAttempt(event.attempt_);
    if (event.failure_.runState_ != RunState::NotRun) {
        upstreams_->failed(failedAttempt.agent_);
    }
    return onAttemptFailed(failedAttempt, event.failure_);
}

auto RequestRun::onEvent(const wire::Voided & /*event*/) -> OptionalEvent
{
    return std::nullopt;
}

auto RequestRun::onEvent(const LinkReplaced &event) -> OptionalEvent
{
    if (const auto *attempt = findAttempt(event.attempt_)) {
        environment_->event(event.attempt_, "attach", attempt->agent_.name_);
        static_cast<void>(upstreams_->send(attempt->agent_,
            wire::Attach {.attempt_ = event.attempt_, .offset_ = responseTracker_.nextOffset(event.attempt_)}));
    }
    return std::nullopt;
}

auto RequestRun::onEvent(const LinkLost &event) -> OptionalEvent
{
    const auto *attempt = findAttempt(event.attempt_);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    const auto failedAttempt = *attempt;
    environment_->event(event.attempt_, "link lost", failedAttempt.agent_.name_, event.failure_.reason_);
    responseTracker_.failed(event.attempt_, event.failure_);
    removeAttempt(event.attempt_);
    return onAttemptFailed(failedAttempt, event.failure_);
}

auto RequestRun::onAttemptFailed(const Attempt &failedAttempt, const Failure &failure) -> OptionalEvent
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
    if (mayRetry(failure) || awaitRestarts()) {
        return std::nullopt;
    }
    return responseFailed(failure);
}

auto RequestRun::awaitRestarts() -> bool
{
    const auto startedOnce = startedAttempts_ > 0 && lastFailure_ && lastFailure_->runState_ == RunState::NotRun;
    const auto callerDisconnected = request_.callerGone_ && request_.callerGone_();
    if (!startedOnce || callerDisconnected || !request_.idempotent_ || restartWaits_ >= maximumRestartWaits) {
        return false;
    }
    ++restartWaits_;
    placementAttempts_ = 0;
    triedUpstreams_.clear();
    environment_->event({.request_ = request_.id_, .number_ = attemptCount_}, "await restarts", "");
    // No attempt is open, so any event that arrives is stale and is discarded.
    const auto waitEnd = Clock::now() + restartWait;
    while (attemptEvents_->receive(waitEnd)) {}
    return true;
}

auto RequestRun::mayRetry(const Failure &failure) -> bool
{
    if (failure.runState_ == RunState::NotRun) {
        const auto now = Clock::now();
        const auto queueTimeLeft
            = remainingQueueTime(now) == Milliseconds(0) || now < arrivedAt_ + request_.maximumWait_;
        return queueTimeLeft && ++placementAttempts_ < maximumPlacements;
    }
    const auto canContinue = request_.resumable_ || responseTracker_.delivered().empty();
    return request_.idempotent_ && canContinue && startedAttempts_ < maximumStarts && requestLimits_->tryRetry();
}

auto RequestRun::responseFailed(const Failure &failure) const -> RunStep
{
    const auto runState = responseTracker_.runState();
    const auto retryAfter = runState == RunState::NotRun && !failure.retryAfter_ && failure.step_ != "quarantine"
        ? std::optional<Milliseconds>(overloadRetryAfter)
        : failure.retryAfter_;
    return Broken {.failure_ = Failure {.step_ = failure.step_,
                       .peer_ = failure.peer_,
                       .reason_ = failure.reason_,
                       .runState_ = runState,
                       .retryAfter_ = retryAfter}};
}

auto RequestRun::nextCheckTime() const -> TimePoint
{
    const auto now = Clock::now();
    auto next = now + reviewInterval;
    const auto hedgeDelay
        = request_.hedge_ && !hedged_ ? requestLimits_->hedgeAfter(request_.requestClass_) : std::nullopt;
    if (hedgeDelay && arrivedAt_ + *hedgeDelay > now) {
        next = std::min(next, arrivedAt_ + *hedgeDelay);
    }
    return next;
}

auto RequestRun::checkAttempts() -> OptionalEvent
{
    if (request_.callerGone_ && request_.callerGone_()) {
        return Broken {.failure_ = Failure {.step_ = "answer",
                           .peer_ = "caller",
                           .reason_ = "the caller closed its connection",
                           .runState_ = responseTracker_.runState()}};
    }
    const auto now = Clock::now();
    for (const auto &attempt : attemptsInFlight_) {
        if (attempt->startedAt_ && !attempt->lastOutputAt_) {
            upstreams_->waiting(attempt->agent_, std::chrono::duration_cast<Microseconds>(now - *attempt->startedAt_));
        }
        moveToFreeSlot(*attempt, now);
    }
    hedgeIfSlow(now);
    return std::nullopt;
}

auto RequestRun::moveToFreeSlot(Attempt &attempt, TimePoint now) -> void
{
    // A suspect may be queued behind another suspect although the upstream has free slots.
    const auto queued = !attempt.startedAt_ && !attempt.movingTo_ && !attempt.suspect_;
    if (!queued || now - attempt.dispatchedAt_ < recallAfter) {
        return;
    }
    if (const auto destination = upstreams_->reserveFreeSlot(request_.pool_, attempt.agent_)) {
        attempt.movingTo_.emplace(*destination);
        sendCancel(attempt);
    }
}

auto RequestRun::hedgeIfSlow(TimePoint now) -> void
{
    if (!request_.hedge_ || !request_.idempotent_ || hedged_ || attemptsInFlight_.size() != 1
        || attemptsInFlight_[0]->lastOutputAt_ || !attemptsInFlight_[0]->startedAt_) {
        return;
    }
    const auto hedgeDelay = requestLimits_->hedgeAfter(request_.requestClass_);
    if (!hedgeDelay || now - arrivedAt_ < *hedgeDelay || !requestLimits_->tryHedge()) {
        return;
    }
    hedged_ = true;
    auto excluded = triedUpstreams_;
    excluded.push_back(attemptsInFlight_[0]->agent_);
    const auto chosen = upstreams_->choose(
        request_.pool_, routing::Request {.prefixHash_ = 0, .tier_ = request_.tier_, .excluded_ = excluded});
    if (chosen) {
        static_cast<void>(dispatch(*chosen, true));
    }
}

auto RequestRun::requestAttach() -> void
{
    const auto needed = responseTracker_.attach();
    const auto *running = needed ? findAttempt(needed->attempt_) : nullptr;
    if (running != nullptr) {
        static_cast<void>(
            upstreams_->send(running->agent_, wire::Attach {.attempt_ = needed->attempt_, .offset_ = needed->offset_}));
    }
}

auto RequestRun::cancelOtherAttempts(const AttemptId &kept) -> void
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

auto RequestRun::sendCancel(const Attempt &attempt) -> void
{
    environment_->event(attempt.id_, "cancel", attempt.agent_.name_);
    static_cast<void>(upstreams_->send(attempt.agent_, wire::Cancel {.attempt_ = attempt.id_}));
}

auto RequestRun::findAttempt(const AttemptId &attemptId) -> Attempt *
{
    const auto found
        = std::find_if(attemptsInFlight_.begin(), attemptsInFlight_.end(), [&](const auto &candidate) -> bool {
              return candidate->id_ == attemptId;
          });
    return found == attemptsInFlight_.end() ? nullptr : found->get();
}

auto RequestRun::removeAttempt(const AttemptId &attemptId) -> void
{
    upstreams_->close(attemptId);
    std::erase_if(attemptsInFlight_, [&](const auto &candidate) -> bool {
        return candidate->id_ == attemptId;
    });
}

} // namespace jasminewood::router
