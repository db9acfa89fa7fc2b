#include "jasminewood/router/claim_store.h"

#include <algorithm>
#include <utility>

#include "claim_codec.h"
#include "jasminewood/core/overloaded.h"

namespace jasminewood::router
{

namespace
{

auto delayBefore(const claims::Action &action) -> Milliseconds
{
    return std::visit(
        [](const auto &value) -> Milliseconds {
            if constexpr (requires { value.delay_; }) {
                return value.delay_;
            } else {
                return Milliseconds(0);
            }
        },
        action);
}

auto conditionalPut(const platform::Condition &condition, const platform::PutKey &write) -> platform::Operation
{
    return platform::NestedTransaction {std::make_shared<const platform::Transaction>(platform::Transaction {
        .conditions_ = {condition}, .onSuccess_ = {write}, .onFailure_ = {platform::ReadKey {.key_ = write.key_}}})};
}

auto operationFor(const claims::Action &action, platform::LeaseId lease) -> platform::Operation
{
    const auto put = [&](const auto &write) -> platform::PutKey {
        return platform::PutKey {.key_ = write.key_, .value_ = internal::encodeClaim(write.record_), .lease_ = lease};
    };
    return std::visit(Overloaded {[&](const claims::CreateClaim &create) -> platform::Operation {
                                      return conditionalPut(platform::KeyAbsent {.key_ = create.key_}, put(create));
                                  },
                          [&](const claims::ReadClaim &read) -> platform::Operation {
                              return platform::ReadKey {.key_ = read.key_};
                          },
                          [&](const auto &other) -> platform::Operation {
                              if constexpr (requires { other.expectedRevision_; }) {
                                  return conditionalPut(
                                      platform::ModRevisionIs {.key_ = other.key_,
                                          .revision_ = static_cast<platform::Revision>(other.expectedRevision_)},
                                      put(other));
                              } else {
                                  return platform::ReadKey {};
                              }
                          }},
        action);
}

auto readEvent(const std::optional<platform::KeyValue> &found) -> claims::Event
{
    if (!found) {
        return claims::ClaimAbsent {};
    }
    const auto record = internal::decodeClaim(found->value_);
    if (!record) {
        return claims::StoreOutcomeUnknown {.failure_ = record.failure()};
    }
    return claims::ClaimExists {.revision_ = static_cast<std::uint64_t>(found->modRevision_), .record_ = *record};
}

auto eventFor(const claims::Action &action, const platform::OperationOutcome &outcome, platform::Revision revision)
    -> claims::Event
{
    if (!outcome.nested_) {
        return readEvent(outcome.found_);
    }
    if (!outcome.nested_->succeeded_) {
        const auto &reads = outcome.nested_->operations_;
        return readEvent(reads.empty() ? std::optional<platform::KeyValue>() : reads.front().found_);
    }
    if (std::holds_alternative<claims::CreateClaim>(action)) {
        return claims::ClaimCreated {.revision_ = static_cast<std::uint64_t>(revision)};
    }
    return claims::ClaimUpdated {.revision_ = static_cast<std::uint64_t>(revision)};
}

} // namespace

ClaimStore::ClaimStore(std::shared_ptr<platform::KeyValueClient> keyValueClient, std::uint64_t seed)
    : keyValueClient_(std::move(keyValueClient))
    , backoff_(seed, membership::baseBackoff, maximumClaimBackoff)
{
}

auto ClaimStore::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    for (auto index = std::size_t(0); index < claimTransactionThreads; ++index) {
        threads_.emplace_back([this]() -> void {
            sendBatches();
        });
    }
    return std::nullopt;
}

auto ClaimStore::stop() -> void
{
    {
        auto lock = std::unique_lock(mutex_);
        stopping_ = true;
        stateChanged_.notify_all();
        stateChanged_.wait(lock, [this]() -> bool {
            return backgroundThreads_ == 0;
        });
    }
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto ClaimStore::perform(const claims::Action &action) -> claims::Event
{
    sleepUnlessStopping(delayBefore(action));
    if (const auto failure = rejectWhileUnavailable()) {
        return claims::StoreUnavailable {.failure_ = *failure};
    }
    auto lock = std::unique_lock(mutex_);
    const auto callId = batcher_.add(action, Clock::now());
    if (!callId) {
        return claims::StoreUnavailable {.failure_ = Failure {.step_ = "claim", .reason_ = "not a store action"}};
    }
    const auto pending = std::make_shared<PendingAction>();
    pendingActions_.emplace(*callId, pending);
    stateChanged_.notify_all();
    stateChanged_.wait(lock, [&]() -> bool {
        return pending->outcome_.has_value();
    });
    return *pending->outcome_;
}

auto ClaimStore::rejectWhileUnavailable() -> std::optional<Failure>
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    if (!stopping_ && (!failFastUntil_ || now >= *failFastUntil_)) {
        // This call tests whether the service is back. Other calls fail until its result is recorded, at most for the
        // current backoff ceiling.
        if (failFastUntil_) {
            failFastUntil_ = now + backoff_.ceiling();
        }
        return std::nullopt;
    }
    const auto remaining = failFastUntil_ ? std::chrono::ceil<Milliseconds>(*failFastUntil_ - now) : Milliseconds(1000);
    return Failure {.step_ = "claim",
        .peer_ = "key-value service",
        .reason_ = "the service does not answer",
        .retryAfter_ = std::max(remaining, Milliseconds(1000))};
}

auto ClaimStore::recordReachability(bool reachable) -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (reachable) {
        failFastUntil_.reset();
        backoff_.reset();
    } else {
        failFastUntil_ = Clock::now() + backoff_.nextDelay();
    }
}

auto ClaimStore::sendBatches() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (!stopping_ || batcher_.nextBatchTime()) {
        const auto batch = batcher_.takeBatch(Clock::now());
        if (!batch) {
            const auto due = batcher_.nextBatchTime();
            due ? void(stateChanged_.wait_until(lock, *due)) : stateChanged_.wait(lock);
            continue;
        }
        lock.unlock();
        const auto events = claims::matchOutcomes(*batch, sendBatch(*batch));
        lock.lock();
        for (const auto &[callId, event] : events) {
            const auto pending = pendingActions_.find(callId);
            if (pending != pendingActions_.end()) {
                pending->second->outcome_.emplace(event);
                pendingActions_.erase(pending);
            }
        }
        stateChanged_.notify_all();
    }
}

auto ClaimStore::sendBatch(const claims::Batch &batch) -> std::vector<claims::Event>
{
    const auto lease = currentLease();
    if (!lease) {
        recordReachability(false);
        // The claims were not sent, so the failure keeps run state NotRun.
        return failedOutcomes(
            batch, Failure {.step_ = "claim", .peer_ = lease.failure().peer_, .reason_ = lease.failure().reason_});
    }
    auto operations = std::vector<platform::Operation>();
    for (const auto &call : batch) {
        operations.push_back(operationFor(call.action_, *lease));
    }
    const auto outcome
        = keyValueClient_->transaction(platform::Transaction {.conditions_ = {}, .onSuccess_ = std::move(operations)});
    recordReachability(bool(outcome));
    if (!outcome) {
        return failedOutcomes(batch, outcome.failure());
    }
    auto events = std::vector<claims::Event>();
    for (auto index = std::size_t(0); index < batch.size(); ++index) {
        events.push_back(eventFor(batch[index].action_, outcome->operations_.at(index), outcome->revision_));
    }
    return events;
}

auto ClaimStore::failedOutcomes(const claims::Batch &batch, const Failure &failure) const -> std::vector<claims::Event>
{
    auto events = std::vector<claims::Event>();
    for (auto index = std::size_t(0); index < batch.size(); ++index) {
        if (failure.runState_ == RunState::NotRun) {
            events.emplace_back(claims::StoreUnavailable {.failure_ = failure});
        } else {
            events.emplace_back(claims::StoreOutcomeUnknown {.failure_ = failure});
        }
    }
    return events;
}

auto ClaimStore::currentLease() -> Result<platform::LeaseId>
{
    const auto now = Clock::now();
    {
        const auto lock = std::lock_guard(mutex_);
        if (lease_ && now - leaseGrantedAt_ < claimLeaseRenewalInterval) {
            return *lease_;
        }
    }
    const auto granted = keyValueClient_->grantLease(std::chrono::duration_cast<std::chrono::seconds>(claimLeaseTtl));
    if (granted) {
        const auto lock = std::lock_guard(mutex_);
        lease_ = granted->id_;
        leaseGrantedAt_ = now;
    }
    return granted ? granted->id_ : Result<platform::LeaseId>(granted.failure());
}

auto ClaimStore::finishInBackground(claims::ClaimStateMachine machine, claims::Action action) -> void
{
    if (std::holds_alternative<claims::Done>(action)) {
        return;
    }
    {
        const auto lock = std::lock_guard(mutex_);
        if (stopping_ || backgroundThreads_ >= maximumBackgroundClaimWrites) {
            return;
        }
        ++backgroundThreads_;
    }
    std::thread([this, machine = std::move(machine), first = std::move(action)]() mutable -> void {
        auto next = std::make_unique<claims::Action>(first);
        while (!std::holds_alternative<claims::Done>(*next) && !std::holds_alternative<claims::AwaitEvent>(*next)) {
            next = std::make_unique<claims::Action>(machine.step(perform(*next), Clock::now()));
        }
        const auto lock = std::lock_guard(mutex_);
        --backgroundThreads_;
        stateChanged_.notify_all();
    }).detach();
}

auto ClaimStore::sleepUnlessStopping(Milliseconds delay) -> void
{
    if (delay > Milliseconds(0)) {
        auto lock = std::unique_lock(mutex_);
        stateChanged_.wait_for(lock, delay, [this]() -> bool {
            return stopping_;
        });
    }
}

} // namespace jasminewood::router
