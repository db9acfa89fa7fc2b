#include "jasminewood/router/request_run.h"

#include <algorithm>
#include <utility>

namespace jasminewood::router
{

namespace
{

// A retry after so short a time meets other upstreams' state than the first try did.
constexpr auto overloadRetryAfter = Milliseconds(1000);

} // namespace

RequestRun::RequestRun(std::shared_ptr<node::Environment> environment, std::shared_ptr<Upstreams> upstreams,
    std::shared_ptr<Limits> limits, RouteRequest request)
    : environment_(std::move(environment))
    , upstreams_(std::move(upstreams))
    , limits_(std::move(limits))
    , request_(std::move(request))
    , mailbox_(std::make_shared<Mailbox>())
    , arrivedAt_(Clock::now())
{
}

RequestRun::~RequestRun()
{
    for (const auto &running : flights_) {
        cancel(*running);
        upstreams_->close(running->attempt_);
    }
}

auto RequestRun::next() -> RunStep
{
    while (true) {
        if (flights_.empty()) {
            if (const auto step = begin()) {
                return *step;
            }
            continue;
        }
        const auto event = mailbox_->receive(nextReview());
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

auto RequestRun::begin() -> Step
{
    const auto verdict = limits_->verdict(request_.fingerprint_);
    if (verdict == routing::Verdict::Refused) {
        return broken(Failure {.step_ = "quarantine",
            .reason_ = "this request crashed the upstreams that ran it",
            .runState_ = tracker_.runState()});
    }
    const auto chosen = place();
    if (!chosen) {
        return awaitRestarts() ? Step() : broken(lastFailure_ ? *lastFailure_ : chosen.reason());
    }
    if (const auto failure = dispatch(*chosen, false)) {
        tried_.push_back(*chosen);
        return mayTryAgain(*failure) ? Step() : broken(*failure);
    }
    return std::nullopt;
}

auto RequestRun::place() -> Result<NodeId>
{
    if (reserved_) {
        const auto reserved = *reserved_;
        reserved_.reset();
        return reserved;
    }
    const auto suspect = limits_->verdict(request_.fingerprint_) == routing::Verdict::Suspect;
    const auto wanted = routing::Request {
        .prefixHash_ = request_.prefixHash_, .tier_ = request_.tier_, .suspect_ = suspect, .excluded_ = tried_};
    auto chosen = placements_ == 0 ? upstreams_->choose(request_.pool_, wanted)
                                   : upstreams_->chooseWithRoom(request_.pool_, wanted);
    if (chosen || !suspect) {
        return chosen;
    }
    // All upstreams have a suspect; the gate of each starts them one after the other.
    return upstreams_->choose(request_.pool_,
        routing::Request {.prefixHash_ = request_.prefixHash_, .tier_ = request_.tier_, .excluded_ = tried_});
}

auto RequestRun::dispatch(const NodeId &agent, bool isHedge) -> Status
{
    const auto now = Clock::now();
    const auto attempt = AttemptId {.request_ = request_.id_, .number_ = ++attempts_};
    const auto suspect = limits_->verdict(request_.fingerprint_) == routing::Verdict::Suspect;
    upstreams_->open(attempt, agent, request_.tier_, suspect, mailbox_);
    flights_.push_back(std::make_unique<Flight>(
        Flight {.attempt_ = attempt, .agent_ = agent, .dispatchedAt_ = now, .suspect_ = suspect}));
    isHedge ? tracker_.beginHedge(attempt) : tracker_.begin(attempt);
    environment_->event(attempt, observe::dispatchStep, agent.name_, request_.requestClass_);
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
            .resumeText_ = tracker_.delivered(),
            .resumeTokens_ = deliveredTokens_});
    if (failure) {
        tracker_.failed(attempt, *failure);
        remove(attempt);
    }
    return failure;
}

auto RequestRun::remainingWait(TimePoint now) const -> Milliseconds
{
    // A request that has started once is over its wait; it is resumed however long that takes.
    if (request_.maximumWait_ == Milliseconds(0) || starts_ > 0) {
        return Milliseconds(0);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(arrivedAt_ + request_.maximumWait_ - now);
    // Zero would mean no limit.
    return std::max(left, Milliseconds(1));
}

auto RequestRun::on(const wire::Started &event) -> Step
{
    if (auto *running = flight(event.attempt_); running != nullptr && !running->startedAt_) {
        running->startedAt_ = Clock::now();
        ++starts_;
    }
    return std::nullopt;
}

auto RequestRun::on(const wire::Frame &event) -> Step
{
    auto *running = flight(event.attempt_);
    if (running == nullptr) {
        return std::nullopt;
    }
    const auto text = tracker_.frame(event.attempt_, event.offset_, event.data_);
    if (!text) {
        requestAttach();
        return std::nullopt;
    }
    measure(*running, Clock::now());
    abandonOthers(event.attempt_);
    ++deliveredTokens_;
    return Output {.text_ = *text};
}

auto RequestRun::measure(Flight &running, TimePoint now) -> void
{
    if (running.lastOutputAt_) {
        upstreams_->betweenTokens(
            running.agent_, std::chrono::duration_cast<Microseconds>(now - *running.lastOutputAt_));
    } else {
        const auto since = running.startedAt_.value_or(running.dispatchedAt_);
        upstreams_->firstToken(running.agent_, std::chrono::duration_cast<Microseconds>(now - since));
        limits_->firstToken(request_.requestClass_, std::chrono::duration_cast<Microseconds>(now - arrivedAt_));
    }
    running.lastOutputAt_ = now;
}

auto RequestRun::on(const wire::Finished &event) -> Step
{
    if (flight(event.attempt_) == nullptr) {
        return std::nullopt;
    }
    const auto end = tracker_.finished(event.attempt_, event.length_, event.digest_);
    if (std::holds_alternative<delivery::Attach>(end)) {
        requestAttach();
        return std::nullopt;
    }
    if (std::holds_alternative<delivery::Dropped>(end)) {
        remove(event.attempt_);
        return std::nullopt;
    }
    if (const auto *failure = std::get_if<Failure>(&end)) {
        const auto failedFlight = *flight(event.attempt_);
        remove(event.attempt_);
        return attemptFailed(failedFlight, *failure);
    }
    environment_->event(event.attempt_, observe::answerStep, flight(event.attempt_)->agent_.name_, "whole");
    remove(event.attempt_);
    limits_->completed(request_.fingerprint_);
    limits_->correct(request_.account_, request_.costEstimate_, event.outputTokens_);
    return Completed {.status_ = event.status_,
        .contentType_ = event.contentType_,
        .finishReason_ = event.finishReason_,
        .promptTokens_ = event.promptTokens_,
        .outputTokens_ = event.outputTokens_};
}

auto RequestRun::on(const wire::Failed &event) -> Step
{
    const auto *running = flight(event.attempt_);
    if (running == nullptr) {
        return std::nullopt;
    }
    const auto failedFlight = *running;
    environment_->event(event.attempt_, observe::answerStep, failedFlight.agent_.name_, event.failure_.reason_);
    if (!event.crash_.empty()) {
        limits_->crashed(event.crash_, request_.fingerprint_);
    }
    tracker_.failed(event.attempt_, event.failure_);
    remove(event.attempt_);
    if (event.failure_.runState_ != RunState::NotRun) {
        upstreams_->failed(failedFlight.agent_);
    }
    return attemptFailed(failedFlight, event.failure_);
}

auto RequestRun::on(const wire::Voided & /*event*/) -> Step
{
    return std::nullopt;
}

auto RequestRun::on(const LinkReplaced &event) -> Step
{
    if (const auto *running = flight(event.attempt_)) {
        environment_->event(event.attempt_, "attach", running->agent_.name_);
        static_cast<void>(upstreams_->send(running->agent_,
            wire::Attach {.attempt_ = event.attempt_, .offset_ = tracker_.nextOffset(event.attempt_)}));
    }
    return std::nullopt;
}

auto RequestRun::on(const LinkLost &event) -> Step
{
    const auto *running = flight(event.attempt_);
    if (running == nullptr) {
        return std::nullopt;
    }
    const auto failedFlight = *running;
    environment_->event(event.attempt_, "link lost", failedFlight.agent_.name_, event.failure_.reason_);
    tracker_.failed(event.attempt_, event.failure_);
    remove(event.attempt_);
    return attemptFailed(failedFlight, event.failure_);
}

auto RequestRun::attemptFailed(const Flight &failedFlight, const Failure &failure) -> Step
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

auto RequestRun::awaitRestarts() -> bool
{
    const auto started = starts_ > 0 && lastFailure_ && lastFailure_->runState_ == RunState::NotRun;
    const auto gone = request_.callerGone_ && request_.callerGone_();
    if (!started || gone || !request_.idempotent_ || restartWaits_ >= maximumRestartWaits) {
        return false;
    }
    ++restartWaits_;
    placements_ = 0;
    tried_.clear();
    environment_->event({.request_ = request_.id_, .number_ = attempts_}, "await restarts", "");
    // No attempt is open, so that what arrives is late and has no use.
    const auto end = Clock::now() + restartWait;
    while (mailbox_->receive(end)) {}
    return true;
}

auto RequestRun::mayTryAgain(const Failure &failure) -> bool
{
    if (failure.runState_ == RunState::NotRun) {
        const auto now = Clock::now();
        const auto waitLeft = remainingWait(now) == Milliseconds(0) || now < arrivedAt_ + request_.maximumWait_;
        return waitLeft && ++placements_ < maximumPlacements;
    }
    const auto canContinue = request_.resumable_ || tracker_.delivered().empty();
    return request_.idempotent_ && canContinue && starts_ < maximumStarts && limits_->tryRetry();
}

auto RequestRun::broken(const Failure &failure) const -> RunStep
{
    const auto runState = tracker_.runState();
    const auto retryAfter = runState == RunState::NotRun && !failure.retryAfter_ && failure.step_ != "quarantine"
        ? std::optional<Milliseconds>(overloadRetryAfter)
        : failure.retryAfter_;
    return Broken {.failure_ = Failure {.step_ = failure.step_,
                       .peer_ = failure.peer_,
                       .reason_ = failure.reason_,
                       .runState_ = runState,
                       .retryAfter_ = retryAfter}};
}

auto RequestRun::nextReview() const -> TimePoint
{
    const auto now = Clock::now();
    auto next = now + reviewInterval;
    const auto after = request_.hedge_ && !hedged_ ? limits_->hedgeAfter(request_.requestClass_) : std::nullopt;
    if (after && arrivedAt_ + *after > now) {
        next = std::min(next, arrivedAt_ + *after);
    }
    return next;
}

auto RequestRun::review() -> Step
{
    if (request_.callerGone_ && request_.callerGone_()) {
        return Broken {.failure_ = Failure {.step_ = "answer",
                           .peer_ = "caller",
                           .reason_ = "the caller closed its connection",
                           .runState_ = tracker_.runState()}};
    }
    const auto now = Clock::now();
    for (const auto &running : flights_) {
        if (running->startedAt_ && !running->lastOutputAt_) {
            upstreams_->waiting(running->agent_, std::chrono::duration_cast<Microseconds>(now - *running->startedAt_));
        }
        recall(*running, now);
    }
    hedge(now);
    return std::nullopt;
}

auto RequestRun::recall(Flight &running, TimePoint now) -> void
{
    // A suspect may wait for another suspect while there are free slots.
    const auto queued = !running.startedAt_ && !running.recalledTo_ && !running.suspect_;
    if (!queued || now - running.dispatchedAt_ < recallAfter) {
        return;
    }
    if (const auto free = upstreams_->reserveFreeSlot(request_.pool_, running.agent_)) {
        running.recalledTo_.emplace(*free);
        cancel(running);
    }
}

auto RequestRun::hedge(TimePoint now) -> void
{
    if (!request_.hedge_ || !request_.idempotent_ || hedged_ || flights_.size() != 1 || flights_[0]->lastOutputAt_
        || !flights_[0]->startedAt_) {
        return;
    }
    const auto after = limits_->hedgeAfter(request_.requestClass_);
    if (!after || now - arrivedAt_ < *after || !limits_->tryHedge()) {
        return;
    }
    hedged_ = true;
    auto excluded = tried_;
    excluded.push_back(flights_[0]->agent_);
    const auto chosen = upstreams_->choose(
        request_.pool_, routing::Request {.prefixHash_ = 0, .tier_ = request_.tier_, .excluded_ = excluded});
    if (chosen) {
        static_cast<void>(dispatch(*chosen, true));
    }
}

auto RequestRun::requestAttach() -> void
{
    const auto needed = tracker_.attach();
    const auto *running = needed ? flight(needed->attempt_) : nullptr;
    if (running != nullptr) {
        static_cast<void>(
            upstreams_->send(running->agent_, wire::Attach {.attempt_ = needed->attempt_, .offset_ = needed->offset_}));
    }
}

auto RequestRun::abandonOthers(const AttemptId &kept) -> void
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

auto RequestRun::cancel(const Flight &running) -> void
{
    environment_->event(running.attempt_, "cancel", running.agent_.name_);
    static_cast<void>(upstreams_->send(running.agent_, wire::Cancel {.attempt_ = running.attempt_}));
}

auto RequestRun::flight(const AttemptId &attempt) -> Flight *
{
    const auto found = std::find_if(flights_.begin(), flights_.end(), [&](const auto &running) -> bool {
        return running->attempt_ == attempt;
    });
    return found == flights_.end() ? nullptr : found->get();
}

auto RequestRun::remove(const AttemptId &attempt) -> void
{
    upstreams_->close(attempt);
    std::erase_if(flights_, [&](const auto &running) -> bool {
        return running->attempt_ == attempt;
    });
}

} // namespace jasminewood::router
