#include <algorithm>
#include <utility>
#include <vector>

#include "jasminewood/agent/gate.h"
#include "jasminewood/core/overloaded.h"

// The part of Gate that starts, calls, preempts and ends attempts.

namespace jasminewood::agent
{

namespace
{

// Interval at which detached attempts are cancelled and expired outputs are erased.
constexpr auto cleanupInterval = Milliseconds(500);

// Returns the queue entry of a preempted attempt. It has no maximum wait and is exempt from the queue limit.
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

} // namespace

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
    // The ledger is updated after finish(), so that the response is already available when the ledger says that the
    // attempt ran.
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

} // namespace jasminewood::agent
