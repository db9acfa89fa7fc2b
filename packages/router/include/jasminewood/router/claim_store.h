#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "jasminewood/claims/claim_batch.h"
#include "jasminewood/claims/claim_machine.h"
#include "jasminewood/kernel/registry.h"
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
constexpr std::chrono::hours claimLeaseTime = std::chrono::hours(25);
constexpr std::chrono::hours claimLeaseRenewal = std::chrono::hours(1);
// Transactions in flight. One slow transaction does not hold up later claims.
constexpr std::size_t claimTasks = 4;
// Longest time between trials while the service is out. Callers are told to retry after a second or more, so bookings
// resume soon after the service does.
constexpr Milliseconds longestClaimBackoff = Milliseconds(2'000);
// Claims whose end is still to be written; further ones are left claimed, and a retry asks the agent.
constexpr std::size_t maximumBackgroundClaims = 256;

// Thread-safe.
class ClaimStore
{
public:
    ClaimStore(std::shared_ptr<platform::KeyValueClient> keyValueClient, std::uint64_t seed);

    auto start(const kernel::Registry &services) -> Status;
    auto stop() -> void;

    // Performs one of the machine's store actions and returns its outcome. While the service is unreachable the call
    // fails at once, except for one trial per backoff interval.
    auto perform(const claims::Action &action) -> claims::Event;

    // Performs the remaining store actions of a machine whose caller has its answer.
    auto finishInBackground(claims::ClaimMachine machine, claims::Action action) -> void;

private:
    struct PendingAction
    {
        std::optional<claims::Event> outcome_;
    };

    auto sendBatches() -> void;
    auto sendBatch(const claims::Batch &batch) -> std::vector<claims::Event>;
    auto currentLease() -> Result<platform::LeaseId>;
    auto failedOutcomes(const claims::Batch &batch, const Failure &failure) const -> std::vector<claims::Event>;
    auto recordReachability(bool reachable) -> void;
    auto rejectWhileUnavailable() -> std::optional<Failure>;
    auto sleepUnlessStopping(Milliseconds delay) -> void;

    const std::shared_ptr<platform::KeyValueClient> keyValueClient_;
    std::shared_ptr<node::Environment> environment_;

    std::mutex mutex_;
    std::condition_variable stateChanged_;
    claims::ClaimBatch batch_;
    std::map<claims::Ticket, std::shared_ptr<PendingAction>> pendingActions_;
    membership::Backoff backoff_;
    // Until then calls fail without a try; empty while the service answers.
    std::optional<TimePoint> failFastUntil_;
    std::optional<platform::LeaseId> lease_;
    TimePoint leaseGrantedAt_;
    bool stopping_ = false;
    std::size_t backgroundThreads_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace jasminewood::router
