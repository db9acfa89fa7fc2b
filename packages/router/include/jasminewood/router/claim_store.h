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

// Service "claims" of the router: performs the key-value store actions of claim state machines, several in one
// transaction.
//
//     const auto event = claims->perform(action);
//     claims->finishInBackground(std::move(machine), action);

namespace jasminewood::router
{

// Claims are kept for at least 24 h. All claims of one hour share a lease, so that the number of lease calls does not
// grow with the number of bookings.
constexpr std::chrono::hours claimLeaseTtl = std::chrono::hours(25);
constexpr std::chrono::hours claimLeaseRenewalInterval = std::chrono::hours(1);
// Maximum transactions in flight. A slow transaction does not block later claims.
constexpr std::size_t claimTransactionThreads = 4;
// Maximum backoff between calls while the key-value service is unavailable. Callers get a retry time of a second or
// more, so bookings resume soon after the service recovers.
constexpr Milliseconds maximumClaimBackoff = Milliseconds(2'000);
// Maximum claims whose final state is written in the background. Further ones stay in state claimed, and a retry of the
// request gets the result from the agent.
constexpr std::size_t maximumBackgroundClaimWrites = 256;

// Thread-safe.
class ClaimStore
{
public:
    ClaimStore(std::shared_ptr<platform::KeyValueClient> keyValueClient, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Performs a store action of a claim state machine and returns its outcome. While the key-value service is
    // unreachable, calls fail immediately, except for one call in each backoff interval that tests the service.
    auto perform(const claims::Action &action) -> claims::Event;

    // Performs the remaining store actions of a claim state machine after its caller got the response.
    auto finishInBackground(claims::ClaimStateMachine machine, claims::Action action) -> void;

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
    claims::ClaimBatcher batcher_;
    std::map<claims::CallId, std::shared_ptr<PendingAction>> pendingActions_;
    membership::Backoff backoff_;
    // Calls fail without a transaction until this time; empty while the service is reachable.
    std::optional<TimePoint> failFastUntil_;
    std::optional<platform::LeaseId> lease_;
    TimePoint leaseGrantedAt_;
    bool stopping_ = false;
    std::size_t backgroundThreads_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace jasminewood::router
