#include "jasminewood/agent/gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::agent
{

namespace
{

// How often attempts without a router and old outputs are looked for.
constexpr auto sweepInterval = Milliseconds(500);
constexpr auto percent = 100.0;
constexpr auto refusedRetryAfter = Milliseconds(1000);

auto initialPolicy() -> scheduling::SchedulerPolicy
{
    return scheduling::SchedulerPolicy {.concurrency_ = 1, .longLaneSlots_ = 1, .queueLimit_ = 16};
}

auto gatePolicy(const manifest::Manifest &manifest, const manifest::Pool &pool) -> scheduling::SchedulerPolicy
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
        .longTokens_ = pool.longTokens_,
        .queueLimit_ = pool.queueLimit_};
}

// An interrupted attempt queues again without the limits of a new one.
auto continuedEntry(const scheduling::QueueEntry &entry, std::uint32_t interruptions) -> scheduling::QueueEntry
{
    return scheduling::QueueEntry {.attempt_ = entry.attempt_,
        .account_ = entry.account_,
        .accountWeight_ = entry.accountWeight_,
        .requestClass_ = entry.requestClass_,
        .tier_ = entry.tier_,
        .costEstimate_ = entry.costEstimate_,
        .crashSuspect_ = entry.crashSuspect_,
        .expectedLong_ = entry.expectedLong_,
        .preemptible_ = interruptions < maximumPreemptions,
        .resuming_ = true,
        .enqueuedAt_ = entry.enqueuedAt_};
}

// Adds the tokens of the calls before an interruption.
auto withTokensBefore(const CallOutcome &outcome, std::uint32_t before) -> CallOutcome
{
    return std::visit(Overloaded {[before](const CallCompleted &complete) -> CallOutcome {
                                      return CallCompleted {.status_ = complete.status_,
                                          .contentType_ = complete.contentType_,
                                          .finishReason_ = complete.finishReason_,
                                          .promptTokens_ = complete.promptTokens_,
                                          .outputTokens_ = complete.outputTokens_ + before};
                                  },
                          [before](const CallFailed &broken) -> CallOutcome {
                              return CallFailed {.failure_ = broken.failure_,
                                  .crashId_ = broken.crashId_,
                                  .outputTokens_ = broken.outputTokens_ + before};
                          }},
        outcome);
}

auto runStateOf(AttemptState state) -> RunState
{
    switch (state) {
    case AttemptState::Voided:
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

Gate::Gate(scheduling::QueueDiscipline order)
    : queue_(initialPolicy(), order)
{
}

auto Gate::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifests_)) {
        return failure;
    }
    if (const auto failure = services.require("upstream", upstream_)) {
        return failure;
    }
    ledger_.emplace(environment_->identity().node_);
    manifests_->subscribe([this](const node::ManifestPointer &manifest) {
        applyManifest(manifest);
    });
    assigner_ = std::thread([this] {
        assignSlots();
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
        changed_.notify_all();
    }
    if (assigner_.joinable()) {
        assigner_.join();
    }
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [this] {
        return activeTasks_ == 0;
    });
}

auto Gate::dispatch(const wire::Dispatch &message, const RouterConnection &router) -> void
{
    environment_->recordEvent(
        message.attempt_, observe::receiveStep, router->peer().node_.name_, message.requestClass_);
    auto refusals = Refusals();
    const auto failed = enqueue(message, router, refusals);
    if (failed) {
        environment_->recordEvent(message.attempt_, "refuse", router->peer().node_.name_, failed->failure_.reason_);
        static_cast<void>(router->send(*failed));
    }
    deliver(refusals);
}

auto Gate::enqueue(const wire::Dispatch &message, const RouterConnection &router, Refusals &refusals)
    -> std::optional<wire::Failed>
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    if (leaving_) {
        return wire::Failed {.attempt_ = message.attempt_, .failure_ = refusal("the upstream is leaving")};
    }
    const auto verdict
        = ledger_->registerDispatch(message.attempt_, message.expectedIncarnation_, message.idempotent_, now);
    if (const auto *rejected = std::get_if<Rejected>(&verdict)) {
        return wire::Failed {.attempt_ = message.attempt_, .failure_ = rejected->failure_};
    }
    if (std::holds_alternative<Duplicate>(verdict)) {
        return std::nullopt;
    }
    const auto admission = queue_.enqueue(entryOf(message, now), now);
    if (const auto *refused = std::get_if<scheduling::Refused>(&admission)) {
        ledger_->markNeverStarted(message.attempt_);
        if (message.idempotent_) {
            ledger_->erase(message.attempt_);
        }
        return wire::Failed {.attempt_ = message.attempt_, .failure_ = refused->failure_};
    }
    runs_.emplace(message.attempt_, std::make_shared<AttemptRun>(message, router));
    if (const auto *evicting = std::get_if<scheduling::QueuedAfterEviction>(&admission)) {
        neverStart(evicting->evicted_, "evicted from the queue by a higher tier", refusals);
    }
    loadChanged();
    return std::nullopt;
}

auto Gate::entryOf(const wire::Dispatch &message, TimePoint now) const -> scheduling::QueueEntry
{
    const auto weight = accountWeights_.find(message.account_);
    const auto learned = lengths_.estimate(message.requestClass_, message.account_);
    return scheduling::QueueEntry {.attempt_ = message.attempt_,
        .account_ = message.account_,
        .accountWeight_ = weight == accountWeights_.end() ? 1.0 : weight->second,
        .requestClass_ = message.requestClass_,
        .tier_ = message.tier_,
        .costEstimate_ = learned.value_or(message.costEstimate_),
        .crashSuspect_ = message.suspect_,
        .expectedLong_ = lengths_.isLikelyLong(message.requestClass_, message.account_, longTokens_),
        .preemptible_ = message.stream_ && message.idempotent_,
        .maximumWait_ = message.maximumWait_,
        .enqueuedAt_ = now};
}

auto Gate::refusal(const std::string &reason) const -> Failure
{
    return Failure {.step_ = "gate",
        .peer_ = environment_->identity().node_.name_,
        .reason_ = reason,
        .retryAfter_ = refusedRetryAfter};
}

auto Gate::neverStart(const AttemptId &attempt, const std::string &reason, Refusals &refusals) -> void
{
    ledger_->markNeverStarted(attempt);
    if (auto run = find(attempt)) {
        refusals.push_back(Refusal {.run_ = std::move(run), .failure_ = refusal(reason)});
    }
}

auto Gate::deliver(const Refusals &refusals) -> void
{
    for (const auto &refused : refusals) {
        environment_->recordEvent(refused.run_->dispatch().attempt_, "refuse", "", refused.failure_.reason_);
        refused.run_->fail(refused.failure_, "", 0, Clock::now());
    }
}

auto Gate::cancel(const wire::Cancel &message, const RouterConnection &router) -> void
{
    auto refusals = Refusals();
    auto unknown = std::optional<RunState>();
    {
        const auto lock = std::lock_guard(mutex_);
        const auto run = find(message.attempt_);
        if (withdraw(message.attempt_, "cancelled before it started", refusals)) {
            environment_->recordEvent(message.attempt_, "withdraw", router->peer().node_.name_);
        } else if (!run) {
            // Also an attempt that is still on its way must not start after this answer.
            unknown = runStateOf(ledger_->voidAttempt(message.attempt_, Clock::now()));
        } else if (run->dispatch().idempotent_) {
            run->cancel();
        }
        loadChanged();
    }
    deliver(refusals);
    if (unknown) {
        sendUnknown(message.attempt_, "cancel", *unknown, router);
    }
}

auto Gate::attach(const wire::Attach &message, const RouterConnection &router) -> void
{
    auto run = std::shared_ptr<AttemptRun>();
    auto unknown = RunState::NotRun;
    {
        const auto lock = std::lock_guard(mutex_);
        run = find(message.attempt_);
        unknown = run ? unknown : runStateOf(ledger_->voidAttempt(message.attempt_, Clock::now()));
    }
    if (!run) {
        sendUnknown(message.attempt_, "attach", unknown, router);
        return;
    }
    environment_->recordEvent(message.attempt_, "attach", router->peer().node_.name_);
    run->attach(router, message.offset_);
}

auto Gate::sendUnknown(
    const AttemptId &attempt, const std::string &step, RunState runState, const RouterConnection &router) const -> void
{
    static_cast<void>(router->send(wire::Failed {.attempt_ = attempt,
        .failure_ = Failure {.step_ = step,
            .peer_ = environment_->identity().node_.name_,
            .reason_ = "the agent does not know the attempt",
            .runState_ = runState}}));
}

auto Gate::voidAttempt(const wire::Void &message, const RouterConnection &router) -> void
{
    auto refusals = Refusals();
    auto runState = RunState::NotRun;
    auto run = std::shared_ptr<AttemptRun>();
    {
        const auto lock = std::lock_guard(mutex_);
        withdraw(message.attempt_, "voided by another router", refusals);
        runState = runStateOf(ledger_->voidAttempt(message.attempt_, Clock::now()));
        run = find(message.attempt_);
    }
    deliver(refusals);
    environment_->recordEvent(message.attempt_, "void", router->peer().node_.name_, std::string(toString(runState)));
    auto answer = run && runState == RunState::Ran ? run->completeResponse() : std::optional<wire::UpstreamResponse>();
    static_cast<void>(router->send(
        wire::Voided {.attempt_ = message.attempt_, .runState_ = runState, .response_ = std::move(answer)}));
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
    loadChanged();
}

auto Gate::leaving() const -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return leaving_;
}

auto Gate::waitForLoadChange(std::uint64_t version) -> std::uint64_t
{
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [&]() -> bool {
        return loadVersion_ != version || stopping_;
    });
    return loadVersion_;
}

auto Gate::wakeLoadWaiters() -> void
{
    const auto lock = std::lock_guard(mutex_);
    loadChanged();
}

auto Gate::loadChanged() -> void
{
    ++loadVersion_;
    changed_.notify_all();
}

auto Gate::waitIdle(Milliseconds timeout) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return changed_.wait_for(lock, timeout, [this] {
        return queue_.queuedCount() == 0 && activeTasks_ == 0;
    });
}

auto Gate::loadReport() const -> wire::LoadReport
{
    const auto times = upstream_->latencies();
    const auto lock = std::lock_guard(mutex_);
    return wire::LoadReport {.running_ = queue_.runningCount(),
        .freeSlots_ = leaving_ ? 0 : queue_.freeSlotCount(),
        .queuedByTier_ = queue_.queuedCountByTier(),
        .timeToFirstToken_ = times.timeToFirstToken_,
        .interTokenLatency_ = times.interTokenLatency_,
        .leaving_ = leaving_};
}

auto Gate::assignSlots() -> void
{
    auto lock = std::unique_lock(mutex_);
    auto nextSweep = Clock::now() + sweepInterval;
    while (!stopping_) {
        const auto now = Clock::now();
        auto refusals = Refusals();
        for (const auto &attempt : queue_.removeExpired(now)) {
            neverStart(attempt, "waited longer than the class allows", refusals);
        }
        while (const auto entry = queue_.startNext(now)) {
            startAttempt(*entry);
            ++loadVersion_;
        }
        while (const auto victim = queue_.choosePreemption(now)) {
            interrupt(*victim);
        }
        if (now >= nextSweep) {
            endUnattached(now, refusals);
            forgetOldRuns(now);
            nextSweep = now + sweepInterval;
        }
        if (!refusals.empty()) {
            lock.unlock();
            deliver(refusals);
            lock.lock();
            continue;
        }
        const auto expiry = queue_.nextExpiryTime().value_or(nextSweep);
        const auto preemption = queue_.nextPreemptionTime(now).value_or(nextSweep);
        changed_.wait_until(lock, std::min({expiry, preemption, nextSweep}));
    }
}

auto Gate::startAttempt(const scheduling::QueueEntry &entry) -> void
{
    const auto interrupted = interrupted_.find(entry.attempt_);
    if (interrupted != interrupted_.end()) {
        interrupted->second = Interruption::Granted;
        changed_.notify_all();
        return;
    }
    const auto run = find(entry.attempt_);
    if (!run || !ledger_->tryStart(entry.attempt_)) {
        queue_.onFinished(entry.attempt_, 0);
        return;
    }
    ++activeTasks_;
    std::thread([this, run] {
        runAttempt(*run);
    }).detach();
}

auto Gate::interrupt(const AttemptId &attempt) -> void
{
    if (const auto run = find(attempt)) {
        environment_->recordEvent(attempt, "interrupt");
        interrupted_.insert_or_assign(attempt, Interruption::Ending);
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
    freeSlot(dispatch, outcome, outputTokens);
    // The ledger follows the run, so that whoever is told that the attempt ran also gets its answer.
    std::visit(
        [&](const auto &ended) -> void {
            finish(run, ended);
        },
        outcome);
    const auto *broken = std::get_if<CallFailed>(&outcome);
    const auto lock = std::lock_guard(mutex_);
    ledger_->markEnded(dispatch.attempt_, broken == nullptr ? RunState::Ran : broken->failure_.runState_);
    interruptions_.erase(dispatch.attempt_);
    --activeTasks_;
    changed_.notify_all();
}

auto Gate::callUpstream(AttemptRun &run) -> CallOutcome
{
    const auto attempt = run.dispatch().attempt_;
    while (true) {
        const auto before = run.outputTokenCount();
        const auto call = run.createCall();
        auto outcome = upstream_->call(
            run.remainingDispatch(), *call, [&](std::string_view text, std::uint32_t outputTokens) -> bool {
                const auto overflow = run.append(text, before + outputTokens);
                const auto lock = std::lock_guard(mutex_);
                queue_.onProgress(attempt, before + outputTokens);
                return !overflow;
            });
        const auto *broken = std::get_if<CallFailed>(&outcome);
        const auto ended = broken != nullptr && broken->failure_.step_ == "cancel";
        if (!ended || !awaitSlot(run)) {
            const auto lock = std::lock_guard(mutex_);
            interrupted_.erase(attempt);
            return withTokensBefore(outcome, before);
        }
    }
}

auto Gate::awaitSlot(const AttemptRun &run) -> bool
{
    const auto &dispatch = run.dispatch();
    auto lock = std::unique_lock(mutex_);
    const auto interrupted = interrupted_.find(dispatch.attempt_);
    if (interrupted == interrupted_.end() || run.cancelled() || stopping_) {
        return false;
    }
    queue_.onFinished(dispatch.attempt_, run.outputTokenCount());
    auto &count = interruptions_[dispatch.attempt_];
    ++count;
    interrupted->second = Interruption::Waiting;
    static_cast<void>(queue_.enqueue(continuedEntry(entryOf(dispatch, Clock::now()), count), Clock::now()));
    loadChanged();
    changed_.wait(lock, [&]() -> bool {
        return interrupted->second != Interruption::Waiting || stopping_;
    });
    const auto granted = interrupted->second == Interruption::Granted;
    if (granted) {
        interrupted_.erase(interrupted);
        environment_->recordEvent(dispatch.attempt_, "continue");
    }
    return granted;
}

auto Gate::withdraw(const AttemptId &attempt, const std::string &reason, Refusals &refusals) -> bool
{
    if (!queue_.removeQueued(attempt)) {
        return false;
    }
    const auto interrupted = interrupted_.find(attempt);
    if (interrupted != interrupted_.end()) {
        interrupted->second = Interruption::Withdrawn;
        changed_.notify_all();
    } else {
        neverStart(attempt, reason, refusals);
    }
    return true;
}

auto Gate::freeSlot(const wire::Dispatch &dispatch, const CallOutcome &outcome, std::uint32_t outputTokens) -> void
{
    const auto lock = std::lock_guard(mutex_);
    queue_.onFinished(dispatch.attempt_, outputTokens);
    if (std::holds_alternative<CallCompleted>(outcome)) {
        lengths_.addSample(dispatch.requestClass_, dispatch.account_, outputTokens);
    }
    loadChanged();
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

auto Gate::endUnattached(TimePoint now, Refusals &refusals) -> void
{
    for (const auto &[attempt, run] : runs_) {
        const auto detachedAt = run->detachedAt();
        if (!detachedAt || run->endedAt() || now - *detachedAt < reattachGracePeriod) {
            continue;
        }
        if (!withdraw(attempt, "its router is gone", refusals) && run->dispatch().idempotent_) {
            run->cancel();
        }
    }
}

auto Gate::forgetOldRuns(TimePoint now) -> void
{
    ledger_->eraseExpired(now);
    std::erase_if(runs_, [&](const auto &entry) {
        const auto endedAt = entry.second->endedAt();
        const auto old = endedAt && now - *endedAt > outputRetention;
        if (old && entry.second->dispatch().idempotent_) {
            ledger_->erase(entry.first);
        }
        return old;
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
        longTokens_ = pool->longTokens_;
        queue_.replacePolicy(gatePolicy(*manifest->manifest_, *pool));
    }
    changed_.notify_all();
}

auto Gate::find(const AttemptId &attempt) const -> std::shared_ptr<AttemptRun>
{
    const auto found = runs_.find(attempt);
    return found == runs_.end() ? nullptr : found->second;
}

} // namespace jasminewood::agent
