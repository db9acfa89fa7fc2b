#include "jasminewood/router/claim_store.h"

#include <algorithm>
#include <utility>

#include "claim_codec.h"
#include "jasminewood/core/overloaded.h"

namespace jasminewood::router
{

namespace
{

auto delayOf(const claims::Action &action) -> Milliseconds
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

auto nested(const platform::Condition &condition, const platform::PutKey &write) -> platform::Operation
{
    return platform::NestedTransaction {std::make_shared<const platform::Transaction>(platform::Transaction {
        .conditions_ = {condition}, .onSuccess_ = {write}, .onFailure_ = {platform::ReadKey {.key_ = write.key_}}})};
}

auto operationOf(const claims::Action &action, platform::LeaseId lease) -> platform::Operation
{
    const auto put = [&](const auto &write) -> platform::PutKey {
        return platform::PutKey {.key_ = write.key_, .value_ = internal::encodeClaim(write.record_), .lease_ = lease};
    };
    return std::visit(Overloaded {[&](const claims::CreateClaim &create) -> platform::Operation {
                                      return nested(platform::KeyAbsent {.key_ = create.key_}, put(create));
                                  },
                          [&](const claims::ReadClaim &read) -> platform::Operation {
                              return platform::ReadKey {.key_ = read.key_};
                          },
                          [&](const auto &other) -> platform::Operation {
                              if constexpr (requires { other.expectedRevision_; }) {
                                  return nested(
                                      platform::ModRevisionIs {.key_ = other.key_,
                                          .revision_ = static_cast<platform::Revision>(other.expectedRevision_)},
                                      put(other));
                              } else {
                                  return platform::ReadKey {};
                              }
                          }},
        action);
}

auto foundEvent(const std::optional<platform::KeyValue> &found) -> claims::Event
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

auto eventOf(const claims::Action &action, const platform::OperationOutcome &outcome, platform::Revision revision)
    -> claims::Event
{
    if (!outcome.nested_) {
        return foundEvent(outcome.found_);
    }
    if (!outcome.nested_->succeeded_) {
        const auto &reads = outcome.nested_->operations_;
        return foundEvent(reads.empty() ? std::optional<platform::KeyValue>() : reads.front().found_);
    }
    if (std::holds_alternative<claims::CreateClaim>(action)) {
        return claims::ClaimCreated {.revision_ = static_cast<std::uint64_t>(revision)};
    }
    return claims::ClaimUpdated {.revision_ = static_cast<std::uint64_t>(revision)};
}

} // namespace

ClaimStore::ClaimStore(std::shared_ptr<platform::KeyValueClient> keyValues, std::uint64_t seed)
    : keyValues_(std::move(keyValues))
    , backoff_(seed, membership::baseBackoff, maximumClaimBackoff)
{
}

auto ClaimStore::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    for (auto task = std::size_t(0); task < claimTransactionThreads; ++task) {
        tasks_.emplace_back([this]() -> void {
            runBatches();
        });
    }
    return std::nullopt;
}

auto ClaimStore::stop() -> void
{
    {
        auto lock = std::unique_lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
        changed_.wait(lock, [this]() -> bool {
            return background_ == 0;
        });
    }
    for (auto &task : tasks_) {
        task.join();
    }
    tasks_.clear();
}

auto ClaimStore::perform(const claims::Action &action) -> claims::Event
{
    waitDelay(delayOf(action));
    if (const auto failure = unavailable()) {
        return claims::StoreUnavailable {.failure_ = *failure};
    }
    auto lock = std::unique_lock(mutex_);
    const auto ticket = batch_.add(action, Clock::now());
    if (!ticket) {
        return claims::StoreUnavailable {.failure_ = Failure {.step_ = "claim", .reason_ = "not a store action"}};
    }
    const auto waiter = std::make_shared<Waiter>();
    waiters_.emplace(*ticket, waiter);
    changed_.notify_all();
    changed_.wait(lock, [&]() -> bool {
        return waiter->event_.has_value();
    });
    return *waiter->event_;
}

auto ClaimStore::unavailable() -> std::optional<Failure>
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    if (!stopping_ && (!closedUntil_ || now >= *closedUntil_)) {
        // One call is let through as a trial; the others wait for its result by the next interval.
        if (closedUntil_) {
            closedUntil_ = now + backoff_.ceiling();
        }
        return std::nullopt;
    }
    const auto wait = closedUntil_ ? std::chrono::ceil<Milliseconds>(*closedUntil_ - now) : Milliseconds(1000);
    return Failure {.step_ = "claim",
        .peer_ = "key-value service",
        .reason_ = "the service does not answer",
        .retryAfter_ = std::max(wait, Milliseconds(1000))};
}

auto ClaimStore::noteResult(bool reachable) -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (reachable) {
        closedUntil_.reset();
        backoff_.reset();
    } else {
        closedUntil_ = Clock::now() + backoff_.nextDelay();
    }
}

auto ClaimStore::runBatches() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (!stopping_ || batch_.nextBatchTime()) {
        const auto ready = batch_.takeBatch(Clock::now());
        if (!ready) {
            const auto due = batch_.nextBatchTime();
            due ? void(changed_.wait_until(lock, *due)) : changed_.wait(lock);
            continue;
        }
        lock.unlock();
        const auto events = claims::matchOutcomes(*ready, send(*ready));
        lock.lock();
        for (const auto &[ticket, event] : events) {
            const auto waiter = waiters_.find(ticket);
            if (waiter != waiters_.end()) {
                waiter->second->event_.emplace(event);
                waiters_.erase(waiter);
            }
        }
        changed_.notify_all();
    }
}

auto ClaimStore::send(const claims::Batch &batch) -> std::vector<claims::Event>
{
    const auto lease = currentLease();
    if (!lease) {
        noteResult(false);
        // The claims themselves were not sent.
        return failAll(
            batch, Failure {.step_ = "claim", .peer_ = lease.failure().peer_, .reason_ = lease.failure().reason_});
    }
    auto operations = std::vector<platform::Operation>();
    for (const auto &call : batch) {
        operations.push_back(operationOf(call.action_, *lease));
    }
    const auto outcome
        = keyValues_->transaction(platform::Transaction {.conditions_ = {}, .onSuccess_ = std::move(operations)});
    noteResult(bool(outcome));
    if (!outcome) {
        return failAll(batch, outcome.failure());
    }
    auto events = std::vector<claims::Event>();
    for (auto index = std::size_t(0); index < batch.size(); ++index) {
        events.push_back(eventOf(batch[index].action_, outcome->operations_.at(index), outcome->revision_));
    }
    return events;
}

auto ClaimStore::failAll(const claims::Batch &batch, const Failure &failure) const -> std::vector<claims::Event>
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
    const auto granted = keyValues_->grantLease(std::chrono::duration_cast<std::chrono::seconds>(claimLeaseTtl));
    if (granted) {
        const auto lock = std::lock_guard(mutex_);
        lease_ = *granted;
        leaseGrantedAt_ = now;
    }
    return granted;
}

auto ClaimStore::finishInBackground(claims::ClaimStateMachine machine, claims::Action action) -> void
{
    if (std::holds_alternative<claims::Done>(action)) {
        return;
    }
    {
        const auto lock = std::lock_guard(mutex_);
        if (stopping_ || background_ >= maximumBackgroundClaimWrites) {
            return;
        }
        ++background_;
    }
    std::thread([this, machine = std::move(machine), first = std::move(action)]() mutable -> void {
        auto next = std::make_unique<claims::Action>(first);
        while (!std::holds_alternative<claims::Done>(*next) && !std::holds_alternative<claims::AwaitEvent>(*next)) {
            next = std::make_unique<claims::Action>(machine.step(perform(*next), Clock::now()));
        }
        const auto lock = std::lock_guard(mutex_);
        --background_;
        changed_.notify_all();
    }).detach();
}

auto ClaimStore::waitDelay(Milliseconds delay) -> void
{
    if (delay > Milliseconds(0)) {
        auto lock = std::unique_lock(mutex_);
        changed_.wait_for(lock, delay, [this]() -> bool {
            return stopping_;
        });
    }
}

} // namespace jasminewood::router
