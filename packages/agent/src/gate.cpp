#include "jasminewood/agent/gate.h"

#include <utility>

#include "scheduler_policies.h"

// The part of Gate that handles the routers' messages and reports its load. gate_attempts.cpp runs the attempts.

namespace jasminewood::agent
{

namespace
{

constexpr auto rejectionRetryAfter = Milliseconds(1000);

auto toRunState(AttemptState state) -> RunState
{
    switch (state) {
    case AttemptState::NotRun:
        return RunState::NotRun;
    case AttemptState::Ran:
        return RunState::Ran;
    case AttemptState::Queued:
    case AttemptState::Running:
        break;
    }
    return RunState::MayHaveRun;
}

} // namespace

Gate::Gate(scheduling::QueueDiscipline discipline)
    : scheduler_(internal::initialPolicy(), discipline)
{
}

auto Gate::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("upstream", upstream_)) {
        return failure;
    }
    ledger_.emplace(environment_->identity().node_);
    manifestStore_->subscribe([this](const node::ManifestPointer &manifest) {
        applyManifest(manifest);
    });
    schedulerThread_ = std::thread([this] {
        runScheduler();
    });
    return std::nullopt;
}

auto Gate::stop() -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        stopping_ = true;
        leaving_ = true;
        for (const auto &[attempt, run] : runs_) {
            run->cancel();
        }
        stateChanged_.notify_all();
    }
    if (schedulerThread_.joinable()) {
        schedulerThread_.join();
    }
    auto lock = std::unique_lock(mutex_);
    stateChanged_.wait(lock, [this] {
        return activeAttemptThreads_ == 0;
    });
}

auto Gate::handleDispatch(const wire::Dispatch &message, const RouterConnection &router) -> void
{
    environment_->recordEvent(
        message.attempt_, observe::receiveStep, router->peer().node_.name_, message.requestClass_);
    auto rejections = Rejections();
    const auto failedMessage = enqueue(message, router, rejections);
    if (failedMessage) {
        environment_->recordEvent(
            message.attempt_, "refuse", router->peer().node_.name_, failedMessage->failure_.reason_);
        static_cast<void>(router->send(*failedMessage));
    }
    sendRejections(rejections);
}

auto Gate::enqueue(const wire::Dispatch &message, const RouterConnection &router, Rejections &rejections)
    -> std::optional<wire::Failed>
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    if (leaving_) {
        return wire::Failed {.attempt_ = message.attempt_, .failure_ = makeFailure("the upstream is leaving")};
    }
    const auto decision
        = ledger_->registerDispatch(message.attempt_, message.expectedIncarnation_, message.idempotent_, now);
    if (const auto *rejected = std::get_if<Rejected>(&decision)) {
        return wire::Failed {.attempt_ = message.attempt_, .failure_ = rejected->failure_};
    }
    if (std::holds_alternative<Duplicate>(decision)) {
        return std::nullopt;
    }
    const auto admission = scheduler_.enqueue(makeQueueEntry(message, now), now);
    if (const auto *rejected = std::get_if<scheduling::Rejected>(&admission)) {
        ledger_->markNotRun(message.attempt_);
        if (message.idempotent_) {
            ledger_->erase(message.attempt_);
        }
        return wire::Failed {.attempt_ = message.attempt_, .failure_ = rejected->failure_};
    }
    runs_.emplace(message.attempt_, std::make_shared<AttemptRun>(message, router));
    if (const auto *evicting = std::get_if<scheduling::QueuedAfterEviction>(&admission)) {
        rejectAttempt(evicting->evicted_, "evicted from the queue by a higher tier", rejections);
    }
    notifyLoadChange();
    return std::nullopt;
}

auto Gate::makeQueueEntry(const wire::Dispatch &message, TimePoint now) const -> scheduling::QueueEntry
{
    const auto weight = accountWeights_.find(message.account_);
    const auto learnedEstimate = lengthEstimator_.estimate(message.requestClass_, message.account_);
    return scheduling::QueueEntry {.attempt_ = message.attempt_,
        .account_ = message.account_,
        .accountWeight_ = weight == accountWeights_.end() ? 1.0 : weight->second,
        .requestClass_ = message.requestClass_,
        .tier_ = message.tier_,
        .costEstimate_ = learnedEstimate.value_or(message.costEstimate_),
        .crashSuspect_ = message.crashSuspect_,
        .expectedLong_ = lengthEstimator_.isLikelyLong(message.requestClass_, message.account_, longAttemptTokens_),
        .preemptible_ = message.resumable_ && message.idempotent_,
        .maximumWait_ = message.maximumWait_,
        .enqueuedAt_ = now};
}

auto Gate::makeFailure(const std::string &reason) const -> Failure
{
    return Failure {.step_ = "gate",
        .peer_ = environment_->identity().node_.name_,
        .reason_ = reason,
        .retryAfter_ = rejectionRetryAfter};
}

auto Gate::rejectAttempt(const AttemptId &attempt, const std::string &reason, Rejections &rejections) -> void
{
    ledger_->markNotRun(attempt);
    if (auto run = findRun(attempt)) {
        rejections.push_back(Rejection {.run_ = std::move(run), .failure_ = makeFailure(reason)});
    }
}

auto Gate::sendRejections(const Rejections &rejections) -> void
{
    for (const auto &rejection : rejections) {
        environment_->recordEvent(rejection.run_->dispatch().attempt_, "refuse", "", rejection.failure_.reason_);
        rejection.run_->fail(rejection.failure_, "", 0, Clock::now());
    }
}

auto Gate::handleCancel(const wire::Cancel &message, const RouterConnection &router) -> void
{
    auto rejections = Rejections();
    auto runStateOfUnknownAttempt = std::optional<RunState>();
    {
        const auto lock = std::lock_guard(mutex_);
        const auto run = findRun(message.attempt_);
        if (withdrawQueued(message.attempt_, "cancelled before it started", rejections)) {
            environment_->recordEvent(message.attempt_, "withdraw", router->peer().node_.name_);
        } else if (!run) {
            // Voids the attempt, so that a dispatch that arrives after this reply does not start it.
            runStateOfUnknownAttempt = voidAttempt(message.attempt_);
        } else if (run->dispatch().idempotent_) {
            run->cancel();
        }
        notifyLoadChange();
    }
    sendRejections(rejections);
    if (runStateOfUnknownAttempt) {
        sendUnknownAttemptFailure(message.attempt_, "cancel", *runStateOfUnknownAttempt, router);
    }
}

auto Gate::voidAttempt(const AttemptId &attempt) -> RunState
{
    return toRunState(ledger_->voidAttempt(attempt, Clock::now()));
}

auto Gate::handleAttach(const wire::Attach &message, const RouterConnection &router) -> void
{
    auto run = std::shared_ptr<AttemptRun>();
    auto runStateOfUnknownAttempt = RunState::NotRun;
    {
        const auto lock = std::lock_guard(mutex_);
        run = findRun(message.attempt_);
        runStateOfUnknownAttempt = run ? runStateOfUnknownAttempt : voidAttempt(message.attempt_);
    }
    if (!run) {
        sendUnknownAttemptFailure(message.attempt_, "attach", runStateOfUnknownAttempt, router);
        return;
    }
    environment_->recordEvent(message.attempt_, "attach", router->peer().node_.name_);
    run->attach(router, message.offset_);
}

auto Gate::sendUnknownAttemptFailure(
    const AttemptId &attempt, const std::string &step, RunState runState, const RouterConnection &router) const -> void
{
    static_cast<void>(router->send(wire::Failed {.attempt_ = attempt,
        .failure_ = Failure {.step_ = step,
            .peer_ = environment_->identity().node_.name_,
            .reason_ = "the agent does not know the attempt",
            .runState_ = runState}}));
}

auto Gate::handleVoid(const wire::Void &message, const RouterConnection &router) -> void
{
    auto rejections = Rejections();
    auto runState = RunState::NotRun;
    auto run = std::shared_ptr<AttemptRun>();
    {
        const auto lock = std::lock_guard(mutex_);
        withdrawQueued(message.attempt_, "voided by another router", rejections);
        runState = voidAttempt(message.attempt_);
        run = findRun(message.attempt_);
    }
    sendRejections(rejections);
    environment_->recordEvent(message.attempt_, "void", router->peer().node_.name_, std::string(toString(runState)));
    auto response
        = run && runState == RunState::Ran ? run->upstreamResponse() : std::optional<wire::UpstreamResponse>();
    static_cast<void>(router->send(
        wire::VoidReply {.attempt_ = message.attempt_, .runState_ = runState, .response_ = std::move(response)}));
    if (run && runState == RunState::MayHaveRun) {
        run->notifyWhenEnded(router);
    }
}

auto Gate::handleDisconnect(const RouterConnection &router) -> void
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    for (const auto &[attempt, run] : runs_) {
        run->detach(router, now);
    }
}

auto Gate::leave() -> void
{
    const auto lock = std::lock_guard(mutex_);
    leaving_ = true;
    notifyLoadChange();
}

auto Gate::leaving() const -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return leaving_;
}

auto Gate::waitForLoadChange(std::uint64_t version) -> std::uint64_t
{
    auto lock = std::unique_lock(mutex_);
    stateChanged_.wait(lock, [&]() -> bool {
        return loadVersion_ != version || stopping_;
    });
    return loadVersion_;
}

auto Gate::wakeLoadWaiters() -> void
{
    const auto lock = std::lock_guard(mutex_);
    notifyLoadChange();
}

auto Gate::notifyLoadChange() -> void
{
    ++loadVersion_;
    stateChanged_.notify_all();
}

auto Gate::waitUntilIdle(Milliseconds timeout) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return stateChanged_.wait_for(lock, timeout, [this] {
        return scheduler_.queuedCount() == 0 && activeAttemptThreads_ == 0;
    });
}

auto Gate::loadReport() const -> wire::LoadReport
{
    const auto latencies = upstream_->latencies();
    const auto lock = std::lock_guard(mutex_);
    return wire::LoadReport {.running_ = scheduler_.runningCount(),
        .freeSlots_ = leaving_ ? 0 : scheduler_.freeSlotCount(),
        .queuedByTier_ = scheduler_.queuedCountByTier(),
        .timeToFirstToken_ = latencies.timeToFirstToken_,
        .interTokenLatency_ = latencies.interTokenLatency_,
        .leaving_ = leaving_};
}

auto Gate::withdrawQueued(const AttemptId &attempt, const std::string &reason, Rejections &rejections) -> bool
{
    if (!scheduler_.removeQueued(attempt)) {
        return false;
    }
    const auto preempted = preemptedAttempts_.find(attempt);
    if (preempted != preemptedAttempts_.end()) {
        preempted->second = PreemptionState::Withdrawn;
        stateChanged_.notify_all();
    } else {
        rejectAttempt(attempt, reason, rejections);
    }
    return true;
}

auto Gate::applyManifest(const node::ManifestPointer &manifest) -> void
{
    const auto *pool = manifest->manifest_->poolNamed(environment_->identity().pool_);
    const auto lock = std::lock_guard(mutex_);
    accountWeights_.clear();
    for (const auto &[name, account] : manifest->manifest_->accounts_) {
        accountWeights_.emplace(name, account.weight_);
    }
    if (pool != nullptr) {
        longAttemptTokens_ = pool->longAttemptTokens_;
        scheduler_.replacePolicy(internal::makeSchedulerPolicy(*manifest->manifest_, *pool));
    }
    stateChanged_.notify_all();
}

auto Gate::findRun(const AttemptId &attempt) const -> std::shared_ptr<AttemptRun>
{
    const auto found = runs_.find(attempt);
    return found == runs_.end() ? nullptr : found->second;
}

} // namespace jasminewood::agent
