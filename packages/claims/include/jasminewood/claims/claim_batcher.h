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

// Groups the store calls of many claims, so that the number of calls to the key-value service does not grow with the
// number of bookings.
//
//     const auto ticket = batch.add(action, now);
//     if (const auto ready = batch.take(now)) {
//         const auto events = sendTransaction(*ready);
//         for (const auto &[owner, event] : claims::distribute(*ready, events)) { ... }
//     }

namespace jasminewood::claims
{

// The longest time that a claim waits for others.
constexpr Milliseconds maximumBatchWait = Milliseconds(2);
// The default limit of etcd is 128 operations in a transaction; each claim takes up to two of them.
constexpr std::size_t maximumBatchClaims = 64;

// Identifies one waiting call; unique within a ClaimBatch.
using CallId = std::uint64_t;

struct BatchedCall
{
    const CallId id_ = 0;
    const std::string key_;
    const Action action_;

    auto operator<=>(const BatchedCall &) const = default;
};

// The calls of one transaction, in the order in which they were added. No two have the same key.
using Batch = std::vector<BatchedCall>;

// Collects calls. Not thread-safe.
class ClaimBatcher
{
public:
    // Adds a store action; empty if the action is not one (CreateIfAbsent, ReadBack, TakeOver, Complete or Release).
    // delay_ must have passed already.
    auto add(const Action &action, TimePoint now) -> std::optional<CallId>;

    // Returns the next batch if the oldest call has waited for maximumBatchWait or maximumBatchClaims have gathered. A
    // second call for a key waits for the next batch, because a transaction may write a key only once.
    auto takeBatch(TimePoint now) -> std::optional<Batch>;

    // Returns when take() will have a batch at the latest; empty while nothing waits.
    auto nextBatchTime() const -> std::optional<TimePoint>;

private:
    struct Waiting
    {
        TimePoint since_;
        BatchedCall call_;
    };

    std::vector<Waiting> waiting_;
    CallId nextTicket_ = 1;
};

// Pairs the outcome of each call with its ticket. Precondition: one event for each call, in the batch's order; if the
// whole transaction failed, pass one StoreUnavailable or StoreAnswerLost for each call.
auto matchOutcomes(const Batch &batch, const std::vector<Event> &events) -> std::vector<std::pair<CallId, Event>>;

} // namespace jasminewood::claims
