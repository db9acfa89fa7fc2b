#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "jasminewood/claims/claim_batcher.h"
#include "jasminewood/claims/claim_state_machine.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"

// Service "claims" of the router: performs the store actions of claim machines in grouped transactions.
//
//     const auto event = claims->perform(action);
//     claims->finishInBackground(std::move(machine), action);

namespace jasminewood::router
{

// Claims are kept for 24 h. A lease serves all claims of one hour, so that calls do not grow with bookings.
constexpr std::chrono::hours claimLeaseTtl = std::chrono::hours(25);
constexpr std::chrono::hours claimLeaseRenewalInterval = std::chrono::hours(1);
// Transactions in flight. One slow transaction does not hold up later claims.
constexpr std::size_t claimTransactionThreads = 4;
// Longest time between trials while the service is out. Callers are told to retry after a second or more, so bookings
// resume soon after the service does.
constexpr Milliseconds maximumClaimBackoff = Milliseconds(2'000);
// Claims whose end is still to be written; further ones are left claimed, and a retry asks the agent.
constexpr std::size_t maximumBackgroundClaimWrites = 256;

// Thread-safe.
class ClaimStore
{
public:
    ClaimStore(std::shared_ptr<platform::KeyValueClient> keyValues, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Performs one of the machine's store actions and returns its outcome. While the service is unreachable the call
    // fails at once, except for one trial per backoff interval.
    auto perform(const claims::Action &action) -> claims::Event;

    // Performs the remaining store actions of a machine whose caller has its answer.
    auto finishInBackground(claims::ClaimStateMachine machine, claims::Action action) -> void;

private:
    struct Waiter
    {
        std::optional<claims::Event> event_;
    };

    auto runBatches() -> void;
    auto send(const claims::Batch &batch) -> std::vector<claims::Event>;
    auto currentLease() -> Result<platform::LeaseId>;
    auto failAll(const claims::Batch &batch, const Failure &failure) const -> std::vector<claims::Event>;
    auto noteResult(bool reachable) -> void;
    auto unavailable() -> std::optional<Failure>;
    auto waitDelay(Milliseconds delay) -> void;

    const std::shared_ptr<platform::KeyValueClient> keyValues_;
    std::shared_ptr<node::Environment> environment_;

    std::mutex mutex_;
    std::condition_variable changed_;
    claims::ClaimBatcher batch_;
    std::map<claims::CallId, std::shared_ptr<Waiter>> waiters_;
    membership::Backoff backoff_;
    // Until then calls fail without a try; empty while the service answers.
    std::optional<TimePoint> closedUntil_;
    std::optional<platform::LeaseId> lease_;
    TimePoint leaseGrantedAt_;
    bool stopping_ = false;
    std::size_t background_ = 0;
    std::vector<std::thread> tasks_;
};

} // namespace jasminewood::router
