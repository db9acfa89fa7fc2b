#include "jasminewood/agent/gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::agent
{

namespace
{

// Interval at which detached attempts are cancelled and expired outputs are erased.
constexpr auto cleanupInterval = Milliseconds(500);
constexpr auto percent = 100.0;
constexpr auto rejectionRetryAfter = Milliseconds(1000);

auto initialPolicy() -> scheduling::SchedulerPolicy
{
    return scheduling::SchedulerPolicy {.concurrency_ = 1, .longLaneSlots_ = 1, .queueLimit_ = 16};
}

auto makeSchedulerPolicy(const manifest::Manifest &manifest, const manifest::Pool &pool) -> scheduling::SchedulerPolicy
{
    auto classes = std::vector<scheduling::ClassPolicy>();
    for (const auto &[name, requestClass] : manifest.classes_) {
        classes.push_back(scheduling::ClassPolicy {.name_ = name,
            .tier_ = requestClass.tier_,
            .minimumShare_ = requestClass.minimumShare_ / percent,
            .maximumWait_ = requestClass.maximumWait_});
    }
    return scheduling::SchedulerPolicy {.classes_ = std::move(classes),
        .concurrency_ = pool.concurrency_,
        .longLaneSlots_ = pool.longLaneSlots_,
        .longAttemptTokens_ = pool.longTokens_,
        .queueLimit_ = pool.queueLimit_};
}

// Returns the queue entry of a preempted attempt. It has no maximum wait and is not subject to the queue limit.
auto makeResumedQueueEntry(const scheduling::QueueEntry &entry, std::uint32_t preemptions) -> scheduling::QueueEntry
{
    return scheduling::QueueEntry {.attempt_ = entry.attempt_,
        .account_ = entry.account_,
        .accountWeight_ = entry.accountWeight_,
        .requestClass_ = entry.requestClass_,
        .tier_ = entry.tier_,
        .costEstimate_ = entry.costEstimate_,
        .crashSuspect_ = entry.crashSuspect_,
        .expectedLong_ = entry.expectedLong_,
        .preemptible_ = preemptions < maximumPreemptions,
        .resuming_ = true,
        .enqueuedAt_ = entry.enqueuedAt_};
}

// Adds the output tokens of the attempt's earlier calls, which preemption ended, to the outcome of its last call.
auto addEarlierTokens(const CallOutcome &outcome, std::uint32_t earlierTokens) -> CallOutcome
{
    return std::visit(Overloaded {[earlierTokens](const CallCompleted &completed) -> CallOutcome {
                                      return CallCompleted {.status_ = completed.status_,
                                          .contentType_ = completed.contentType_,
                                          .finishReason_ = completed.finishReason_,
                                          .promptTokens_ = completed.promptTokens_,
                                          .outputTokens_ = completed.outputTokens_ + earlierTokens};
                                  },
                          [earlierTokens](const CallFailed &failed) -> CallOutcome {
                              return CallFailed {.failure_ = failed.failure_,
                                  .crashId_ = failed.crashId_,
                                  .outputTokens_ = failed.outputTokens_ + earlierTokens};
                          }},
        outcome);
}

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
    : scheduler_(initialPolicy(), discipline)
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
            runStateOfUnknownAttempt = toRunState(ledger_->voidAttempt(message.attempt_, Clock::now()));
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

auto Gate::handleAttach(const wire::Attach &message, const RouterConnection &router) -> void
{
    auto run = std::shared_ptr<AttemptRun>();
    auto runStateOfUnknownAttempt = RunState::NotRun;
    {
        const auto lock = std::lock_guard(mutex_);
        run = findRun(message.attempt_);
        runStateOfUnknownAttempt
            = run ? runStateOfUnknownAttempt : toRunState(ledger_->voidAttempt(message.attempt_, Clock::now()));
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
        runState = toRunState(ledger_->voidAttempt(message.attempt_, Clock::now()));
        run = findRun(message.attempt_);
    }
    sendRejections(rejections);
    environment_->recordEvent(message.attempt_, "void", router->peer().node_.name_, std::string(toString(runState)));
    auto response
        = run && runState == RunState::Ran ? run->upstreamResponse() : std::optional<wire::UpstreamResponse>();
    static_cast<void>(router->send(
        wire::Voided {.attempt_ = message.attempt_, .runState_ = runState, .response_ = std::move(response)}));
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

auto Gate::runScheduler() -> void
{
    auto lock = std::unique_lock(mutex_);
    auto nextCleanup = Clock::now() + cleanupInterval;
    while (!stopping_) {
        const auto now = Clock::now();
        auto rejections = Rejections();
        for (const auto &attempt : scheduler_.removeExpired(now)) {
            rejectAttempt(attempt, "waited longer than the class allows", rejections);
        }
        while (const auto entry = scheduler_.startNext(now)) {
            startAttempt(*entry);
            ++loadVersion_;
        }
        while (const auto victim = scheduler_.choosePreemption(now)) {
            preemptAttempt(*victim);
        }
        if (now >= nextCleanup) {
            cancelDetachedAttempts(now, rejections);
            eraseExpiredRuns(now);
            nextCleanup = now + cleanupInterval;
        }
        if (!rejections.empty()) {
            lock.unlock();
            sendRejections(rejections);
            lock.lock();
            continue;
        }
        const auto nextExpiry = scheduler_.nextExpiryTime().value_or(nextCleanup);
        const auto nextPreemption = scheduler_.nextPreemptionTime(now).value_or(nextCleanup);
        stateChanged_.wait_until(lock, std::min({nextExpiry, nextPreemption, nextCleanup}));
    }
}

auto Gate::startAttempt(const scheduling::QueueEntry &entry) -> void
{
    const auto preempted = preemptedAttempts_.find(entry.attempt_);
    if (preempted != preemptedAttempts_.end()) {
        preempted->second = PreemptionState::SlotGranted;
        stateChanged_.notify_all();
        return;
    }
    const auto run = findRun(entry.attempt_);
    if (!run || !ledger_->tryStart(entry.attempt_)) {
        scheduler_.onFinished(entry.attempt_, 0);
        return;
    }
    ++activeAttemptThreads_;
    std::thread([this, run] {
        runAttempt(*run);
    }).detach();
}

auto Gate::preemptAttempt(const AttemptId &attempt) -> void
{
    if (const auto run = findRun(attempt)) {
        environment_->recordEvent(attempt, "interrupt");
        preemptedAttempts_.insert_or_assign(attempt, PreemptionState::CancellingCall);
        run->cancelCall();
    }
}

auto Gate::runAttempt(AttemptRun &run) -> void
{
    const auto &dispatch = run.dispatch();
    environment_->recordEvent(dispatch.attempt_, "start", "", dispatch.requestClass_);
    run.markStarted();
    const auto outcome = callUpstream(run);
    const auto outputTokens = std::visit(
        [](const auto &ended) -> std::uint32_t {
            return ended.outputTokens_;
        },
        outcome);
    releaseSlot(dispatch, outcome, outputTokens);
    // The ledger is updated after finish(), so that a router that learns that the attempt ran also gets its response.
    std::visit(
        [&](const auto &ended) -> void {
            finish(run, ended);
        },
        outcome);
    const auto *failedCall = std::get_if<CallFailed>(&outcome);
    const auto lock = std::lock_guard(mutex_);
    ledger_->markEnded(dispatch.attempt_, failedCall == nullptr ? RunState::Ran : failedCall->failure_.runState_);
    preemptionCounts_.erase(dispatch.attempt_);
    --activeAttemptThreads_;
    stateChanged_.notify_all();
}

auto Gate::callUpstream(AttemptRun &run) -> CallOutcome
{
    const auto attempt = run.dispatch().attempt_;
    while (true) {
        const auto earlierTokens = run.outputTokenCount();
        const auto call = run.createCall();
        auto outcome = upstream_->call(
            run.resumedDispatch(), *call, [&](std::string_view text, std::uint32_t outputTokens) -> bool {
                const auto appendFailure = run.append(text, earlierTokens + outputTokens);
                const auto lock = std::lock_guard(mutex_);
                scheduler_.onProgress(attempt, earlierTokens + outputTokens);
                return !appendFailure;
            });
        const auto *failedCall = std::get_if<CallFailed>(&outcome);
        const auto callCancelled = failedCall != nullptr && failedCall->failure_.step_ == "cancel";
        if (!callCancelled || !requeueAndAwaitSlot(run)) {
            const auto lock = std::lock_guard(mutex_);
            preemptedAttempts_.erase(attempt);
            return addEarlierTokens(outcome, earlierTokens);
        }
    }
}

auto Gate::requeueAndAwaitSlot(const AttemptRun &run) -> bool
{
    const auto &dispatch = run.dispatch();
    auto lock = std::unique_lock(mutex_);
    const auto preempted = preemptedAttempts_.find(dispatch.attempt_);
    if (preempted == preemptedAttempts_.end() || run.cancelled() || stopping_) {
        return false;
    }
    scheduler_.onFinished(dispatch.attempt_, run.outputTokenCount());
    auto &preemptions = preemptionCounts_[dispatch.attempt_];
    ++preemptions;
    preempted->second = PreemptionState::Requeued;
    static_cast<void>(
        scheduler_.enqueue(makeResumedQueueEntry(makeQueueEntry(dispatch, Clock::now()), preemptions), Clock::now()));
    notifyLoadChange();
    stateChanged_.wait(lock, [&]() -> bool {
        return preempted->second != PreemptionState::Requeued || stopping_;
    });
    const auto granted = preempted->second == PreemptionState::SlotGranted;
    if (granted) {
        preemptedAttempts_.erase(preempted);
        environment_->recordEvent(dispatch.attempt_, "continue");
    }
    return granted;
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

auto Gate::releaseSlot(const wire::Dispatch &dispatch, const CallOutcome &outcome, std::uint32_t outputTokens) -> void
{
    const auto lock = std::lock_guard(mutex_);
    scheduler_.onFinished(dispatch.attempt_, outputTokens);
    if (std::holds_alternative<CallCompleted>(outcome)) {
        lengthEstimator_.addSample(dispatch.requestClass_, dispatch.account_, outputTokens);
    }
    notifyLoadChange();
}

auto Gate::finish(AttemptRun &run, const CallCompleted &outcome) -> void
{
    environment_->recordEvent(run.dispatch().attempt_, observe::finishStep, "", std::to_string(outcome.status_));
    run.complete(outcome, Clock::now());
}

auto Gate::finish(AttemptRun &run, const CallFailed &outcome) -> void
{
    environment_->recordEvent(
        run.dispatch().attempt_, observe::finishStep, outcome.failure_.peer_, outcome.failure_.reason_);
    run.fail(outcome.failure_, outcome.crashId_, outcome.outputTokens_, Clock::now());
}

auto Gate::cancelDetachedAttempts(TimePoint now, Rejections &rejections) -> void
{
    for (const auto &[attempt, run] : runs_) {
        const auto detachedAt = run->detachedAt();
        if (!detachedAt || run->endedAt() || now - *detachedAt < reattachGracePeriod) {
            continue;
        }
        if (!withdrawQueued(attempt, "its router is gone", rejections) && run->dispatch().idempotent_) {
            run->cancel();
        }
    }
}

auto Gate::eraseExpiredRuns(TimePoint now) -> void
{
    ledger_->eraseExpired(now);
    std::erase_if(runs_, [&](const auto &entry) {
        const auto endedAt = entry.second->endedAt();
        const auto expired = endedAt && now - *endedAt > outputRetention;
        if (expired && entry.second->dispatch().idempotent_) {
            ledger_->erase(entry.first);
        }
        return expired;
    });
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
        longAttemptTokens_ = pool->longTokens_;
        scheduler_.replacePolicy(makeSchedulerPolicy(*manifest->manifest_, *pool));
    }
    stateChanged_.notify_all();
}

auto Gate::findRun(const AttemptId &attempt) const -> std::shared_ptr<AttemptRun>
{
    const auto found = runs_.find(attempt);
    return found == runs_.end() ? nullptr : found->second;
}

} // namespace jasminewood::agent
