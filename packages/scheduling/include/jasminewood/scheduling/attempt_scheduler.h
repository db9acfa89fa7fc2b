#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/core/tier.h"
#include "jasminewood/scheduling/account_fair_queueing.h"
#include "jasminewood/scheduling/work_share_window.h"

// The queue and the slots of one agent's gate: which request waits, which starts next and which is shed.
//
//     const auto admission = queue.enqueue(entry, now);
//     while (const auto next = queue.takeNext(now)) {
//         start(*next);
//     }
//     waitUntil(queue.nextExpiry());
//     for (const auto &attempt : queue.expire(now)) {
//         answerNotRun(attempt);
//     }

namespace jasminewood::scheduling
{

// What the manifest says of one request class.
struct ClassPolicy
{
    const std::string name_;
    const Tier tier_ = lowestTier;
    // Fraction of started work that the class gets before tier order applies, 0 to 1. The same fraction of the queue is
    // kept for the class, so that a higher tier cannot push out all the work that the share is meant for.
    const double minimumShare_ = 0;
    // Longest time in the queue for entries that bring no limit of their own; zero means no limit.
    const Milliseconds maximumWait_ = Milliseconds(0);

    auto operator<=>(const ClassPolicy &) const = default;
};

// How one gate queues and starts work.
struct SchedulerPolicy
{
    const std::vector<ClassPolicy> classes_;
    // Attempts that run at the same time.
    const std::uint32_t concurrency_ = 1;
    // Slots out of concurrency_ that attempts expected to be long may take.
    const std::uint32_t longLaneSlots_ = 1;
    // Output tokens after which a running attempt counts as long.
    const std::uint32_t longTokens_ = 1024;
    // Entries that wait at the same time.
    const std::uint32_t queueLimit_ = 64;

    auto operator<=>(const SchedulerPolicy &) const = default;
};

// A request that asks to run.
struct QueueEntry
{
    const AttemptId attempt_;
    const std::string account_;
    // Work of the account relative to the other accounts of its class; above 0.
    const double accountWeight_ = 1;
    const std::string requestClass_;
    const Tier tier_ = lowestTier;
    // Estimated work in output tokens.
    const std::uint32_t costEstimate_ = 0;
    // True if the request is suspected of crashing upstreams.
    const bool crashSuspect_ = false;
    // True if the request takes a slot of the long lane from the start.
    const bool expectedLong_ = false;
    // True if the attempt may be interrupted for a higher tier and continued later without losing its output.
    const bool preemptible_ = false;
    // True if the attempt was interrupted and waits to go on. It is neither refused nor evicted nor expired, because
    // its caller already has a part of the answer.
    const bool resuming_ = false;
    // Longest time in the queue; zero means the class's limit.
    const Milliseconds maximumWait_ = Milliseconds(0);
    const TimePoint enqueuedAt_;

    auto operator<=>(const QueueEntry &) const = default;
};

// The entry waits.
struct Queued
{
    auto operator<=>(const Queued &) const = default;
};

// The entry waits in the place of another one, which never ran and never will.
struct QueuedAfterEviction
{
    const AttemptId evicted_;

    auto operator<=>(const QueuedAfterEviction &) const = default;
};

// The entry does not wait.
struct Refused
{
    const Failure failure_;

    auto operator<=>(const Refused &) const = default;
};

using EnqueueResult = std::variant<Queued, QueuedAfterEviction, Refused>;

// Baseline: arrival order, no eviction and no lanes.
struct FirstInFirstOut
{
    auto operator<=>(const FirstInFirstOut &) const = default;
};

// Classes below their minimum share, then tiers, then fairness between accounts; with lanes and eviction.
struct TierAndShare
{
    auto operator<=>(const TierAndShare &) const = default;
};

using QueueDiscipline = std::variant<FirstInFirstOut, TierAndShare>;

// When a refused request may be sent again.
constexpr Milliseconds queueFullRetryAfter = Milliseconds(1000);

// A waiting entry may preempt after this time. A slot often frees by itself before.
constexpr Milliseconds preemptionDelay = Milliseconds(10);

// Not thread-safe: one service owns it under its mutex. Memory is bounded by the queue limit, the concurrency and the
// remembered accounts.
class AttemptScheduler
{
public:
    explicit AttemptScheduler(SchedulerPolicy policy, QueueDiscipline order = TierAndShare {});

    // Refuses an attempt that already waits or runs, one whose maximum wait has passed, and any attempt when neither a
    // place is free nor an entry of a strictly lower tier can be evicted. Eviction takes the newest entry of the lowest
    // tier among the classes that hold more than their reserved places. Precondition: now does not go backwards between
    // calls.
    auto enqueue(QueueEntry entry, TimePoint now) -> EnqueueResult;

    // Moves the next entry that may start now into a slot and returns it; empty if there is none. Entries past their
    // maximum wait do not start. At most one suspect runs at a time.
    auto startNext(TimePoint now) -> std::optional<QueueEntry>;

    // Removes and returns the entries that have waited for their maximum wait.
    auto removeExpired(TimePoint now) -> std::vector<AttemptId>;

    // Returns the earliest time at which expire() returns something; empty if no entry can expire.
    auto nextExpiryTime() const -> std::optional<TimePoint>;

    // Returns a running attempt that has to make room for a waiting entry of a higher tier, and marks it; empty if
    // there is none. The caller interrupts it and reports finished(). Takes the newest preemptible attempt of the
    // lowest tier, from no class at or below its minimum share, and at most one for each entry that has waited for
    // preemptAfter.
    auto choosePreemption(TimePoint now) -> std::optional<AttemptId>;

    // Returns the earliest time at which preempt() may return something that it does not return now; empty if there is
    // nothing to wait for.
    auto nextPreemptionTime(TimePoint now) const -> std::optional<TimePoint>;

    // Output tokens of a running attempt so far. Work above the estimate is charged at once, and the attempt moves into
    // the long lane after GatePolicy::longTokens_. An attempt that does not run is ignored.
    auto onProgress(const AttemptId &attempt, std::uint32_t outputTokens) -> void;

    // A running attempt ended in any way. Frees its slot and replaces the estimated work by the actual one. An attempt
    // that does not run is ignored.
    auto onFinished(const AttemptId &attempt, std::uint32_t outputTokens) -> void;

    // Returns true if the attempt was still queued; it never starts then. A running attempt is left as it is.
    auto removeQueued(const AttemptId &attempt) -> bool;

    auto runningCount() const -> std::uint32_t;

    // Running attempts that count as long.
    auto runningLongCount() const -> std::uint32_t;

    // Slots that a new attempt could take at once.
    auto freeSlotCount() const -> std::uint32_t;

    auto queuedCount() const -> std::uint32_t;

    auto queuedCountByTier() const -> std::array<std::uint32_t, tierCount>;

    // Entries that wait or run are kept, also beyond the new limits.
    auto replacePolicy(SchedulerPolicy policy) -> void;

private:
    // Position in arrival order.
    using Arrival = std::uint64_t;

    struct Waiting
    {
        QueueEntry entry_;
        std::optional<TimePoint> deadline_;
    };

    struct Running
    {
        QueueEntry entry_;
        bool long_;
        double charged_;
        // True if the work counts in the share window.
        bool shared_;
        // Starts are numbered; the newest has the highest number.
        std::uint64_t started_ = 0;
        bool preempting_ = false;
    };

    using Queue = std::map<Arrival, Waiting>;

    auto admit(QueueEntry entry) -> void;
    auto deadline(const QueueEntry &entry) const -> std::optional<TimePoint>;
    auto place(const QueueEntry &entry, const FirstInFirstOut &order) -> EnqueueResult;
    auto place(const QueueEntry &entry, const TierAndShare &order) -> EnqueueResult;
    auto next(TimePoint now, const FirstInFirstOut &order) const -> Queue::const_iterator;
    auto next(TimePoint now, const TierAndShare &order) const -> Queue::const_iterator;
    auto mayStart(const Waiting &waiting, TimePoint now) const -> bool;
    auto laneFree(const QueueEntry &entry) const -> bool;
    auto evictable(Tier arriving) const -> Queue::const_iterator;
    auto start(Queue::const_iterator position, TimePoint now) -> QueueEntry;
    auto drop(Queue::const_iterator position) -> void;
    auto settle(Running &running, double work) -> void;
    auto waitingOf(const std::string &requestClass) const -> std::uint32_t;
    auto classPolicy(const std::string &requestClass) const -> const ClassPolicy *;
    auto reservedPlaces(const std::string &requestClass) const -> std::uint32_t;
    auto placeFree(const std::string &requestClass) const -> bool;
    auto shortfall(const std::string &requestClass) const -> double;
    auto aboveShare(const std::string &requestClass) const -> bool;
    auto victimFor(Tier tier) -> Running *;

    std::shared_ptr<const SchedulerPolicy> policy_;
    QueueDiscipline order_;
    Queue queue_;
    Arrival nextArrival_ = 0;
    std::map<AttemptId, Arrival> arrivals_;
    std::set<std::pair<TimePoint, Arrival>> deadlines_;
    std::map<AttemptId, Running> running_;
    std::uint64_t starts_ = 0;
    std::uint32_t preempting_ = 0;
    std::uint32_t runningLong_ = 0;
    std::uint32_t runningSuspects_ = 0;
    std::map<std::string, AccountFairQueueing> accounts_;
    WorkShareWindow shares_;
};

} // namespace jasminewood::scheduling
