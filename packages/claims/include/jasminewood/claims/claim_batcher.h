#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminewood/claims/claim_state_machine.h"
#include "jasminewood/core/clock.h"

// Groups the store calls of many claims into transactions, so that the number of calls to the key-value service does
// not grow with the number of non-idempotent requests.
//
//     const auto id = batcher.add(action, now);
//     if (const auto batch = batcher.takeBatch(now)) {
//         const auto events = sendTransaction(*batch);
//         for (const auto &[callId, event] : claims::matchOutcomes(*batch, events)) { ... }
//     }

namespace jasminewood::claims
{

// Maximum time that a call waits for further calls.
constexpr Milliseconds maximumBatchWait = Milliseconds(2);
// etcd accepts at most 128 operations in a transaction by default, and each claim needs up to two.
constexpr std::size_t maximumBatchClaims = 64;

// Identifies one call; unique within a ClaimBatcher.
using CallId = std::uint64_t;

struct BatchedCall
{
    const CallId id_ = 0;
    const std::string key_;
    const Action action_;

    auto operator<=>(const BatchedCall &) const = default;
};

// The calls of one transaction, in the order in which they were added. No two calls have the same key.
using Batch = std::vector<BatchedCall>;

// Collects store calls and divides them into batches. Not thread-safe.
class ClaimBatcher
{
public:
    // Adds a store action (CreateClaim, ReadClaim, TakeOverClaim, CompleteClaim or ReleaseClaim) and returns the id of
    // its call; empty for any other action. Precondition: the action's delay_ has passed.
    auto add(const Action &action, TimePoint now) -> std::optional<CallId>;

    // Removes and returns the next batch if the oldest call has waited for maximumBatchWait or if there are at least
    // maximumBatchClaims calls; otherwise empty. A second call for the same key stays for a later batch, because a
    // transaction may write a key only once.
    auto takeBatch(TimePoint now) -> std::optional<Batch>;

    // Returns the latest time at which takeBatch() will return a batch; empty if no call is pending.
    auto nextBatchTime() const -> std::optional<TimePoint>;

private:
    struct PendingCall
    {
        TimePoint addedAt_;
        BatchedCall call_;
    };

    std::vector<PendingCall> pendingCalls_;
    CallId nextCallId_ = 1;
};

// Returns the id of each call with its outcome. Precondition: events has one event for each call, in the order of the
// batch. If the whole transaction failed, pass one StoreUnavailable or StoreOutcomeUnknown for each call.
auto matchOutcomes(const Batch &batch, const std::vector<Event> &events) -> std::vector<std::pair<CallId, Event>>;

} // namespace jasminewood::claims
