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

// Queues the attempts for one agent's upstream and assigns its slots: decides which attempts are queued, rejected or
// evicted, which one starts next and which running one is preempted.
//
//     const auto result = scheduler.enqueue(entry, now);
//     while (const auto next = scheduler.startNext(now)) {
//         start(*next);
//     }
//     waitUntil(scheduler.nextExpiryTime());
//     for (const auto &attempt : scheduler.removeExpired(now)) {
//         reportNotRun(attempt);
//     }

namespace jasminewood::scheduling
{

// Scheduling parameters of one request class, from the manifest.
struct ClassPolicy
{
    const std::string name_;
    const Tier tier_ = lowestTier;
    // Guaranteed fraction of the started work, 0 to 1. A class below its share is served before classes of higher
    // tiers. The same fraction of the queue is reserved for the class, so that higher tiers cannot evict or crowd out
    // the work that the share is meant for.
    const double minimumShare_ = 0;
    // Maximum time in the queue for entries without a limit of their own; zero means no limit.
    const Milliseconds maximumWait_ = Milliseconds(0);

    auto operator<=>(const ClassPolicy &) const = default;
};

// Scheduling parameters of one agent.
struct SchedulerPolicy
{
    const std::vector<ClassPolicy> classes_;
    // Maximum number of running attempts.
    const std::uint32_t concurrency_ = 1;
    // Number of the concurrency_ slots that attempts expected to be long may occupy.
    const std::uint32_t longLaneSlots_ = 1;
    // A running attempt with more output tokens than this counts as long.
    const std::uint32_t longAttemptTokens_ = 1024;
    // Maximum number of queued entries. Resuming entries are queued beyond it.
    const std::uint32_t queueLimit_ = 64;

    auto operator<=>(const SchedulerPolicy &) const = default;
};

// An attempt to be queued.
struct QueueEntry
{
    const AttemptId attempt_;
    const std::string account_;
    // Weight of the account relative to the other accounts of its class; above 0.
    const double accountWeight_ = 1;
    const std::string requestClass_;
    const Tier tier_ = lowestTier;
    // Estimated work in output tokens.
    const std::uint32_t costEstimate_ = 0;
    // True if the request is suspected of crashing the engines that run it.
    const bool crashSuspect_ = false;
    // True if the attempt is expected to be long and therefore occupies a slot of the long lane from its start.
    const bool expectedLong_ = false;
    // True if the attempt may be preempted for a higher tier and resumed later without losing its output.
    const bool preemptible_ = false;
    // True if the attempt was preempted and is queued to be resumed. It is never rejected, evicted or expired, because
    // its caller already has part of the response.
    const bool resuming_ = false;
    // Maximum time in the queue; zero means the class's limit.
    const Milliseconds maximumWait_ = Milliseconds(0);
    const TimePoint enqueuedAt_;

    auto operator<=>(const QueueEntry &) const = default;
};

// The entry was queued.
struct Queued
{
    auto operator<=>(const Queued &) const = default;
};

// The entry was queued and another one was evicted for it. The evicted attempt never ran and never will.
struct QueuedAfterEviction
{
    const AttemptId evicted_;

    auto operator<=>(const QueuedAfterEviction &) const = default;
};

// The entry was not queued.
struct Rejected
{
    const Failure failure_;

    auto operator<=>(const Rejected &) const = default;
};

using EnqueueResult = std::variant<Queued, QueuedAfterEviction, Rejected>;

// Baseline for comparison: arrival order, without eviction, preemption or a long lane.
struct FirstInFirstOut
{
    auto operator<=>(const FirstInFirstOut &) const = default;
};

// Classes below their minimum share first, then by tier, then by fair queueing between accounts; with a long lane,
// eviction and preemption.
struct TierAndShare
{
    auto operator<=>(const TierAndShare &) const = default;
};

using QueueDiscipline = std::variant<FirstInFirstOut, TierAndShare>;

// Time after which an attempt that was rejected because the queue is full may be sent again.
constexpr Milliseconds queueFullRetryAfter = Milliseconds(1000);

// Time in the queue after which an entry may preempt a running attempt. A slot often becomes free before that.
constexpr Milliseconds preemptionDelay = Milliseconds(10);

// Scheduler of one agent's attempts. Not thread-safe; the owning service guards it by its mutex. Memory is bounded by
// the queue limit, the concurrency and maximumTrackedAccounts.
class AttemptScheduler
{
public:
    explicit AttemptScheduler(SchedulerPolicy policy, QueueDiscipline discipline = TierAndShare {});

    // Queues the entry. Rejects an attempt that is already queued or running, one whose maximum wait has passed, and
    // any attempt if neither a place is free nor an entry of a strictly lower tier can be evicted. Evicts the newest
    // entry of the lowest tier among the classes that occupy more than their reserved places. Precondition: now never
    // decreases between calls.
    auto enqueue(QueueEntry entry, TimePoint now) -> EnqueueResult;

    // Moves the next entry that may start now from the queue into a slot and returns it; empty if there is none.
    // Entries past their maximum wait are not started. At most one crash suspect runs at a time.
    auto startNext(TimePoint now) -> std::optional<QueueEntry>;

    // Removes and returns the entries whose maximum wait has passed.
    auto removeExpired(TimePoint now) -> std::vector<AttemptId>;

    // Returns the earliest time at which removeExpired() will return an entry; empty if no entry can expire.
    auto nextExpiryTime() const -> std::optional<TimePoint>;

    // Selects a running attempt to preempt for a queued entry of a higher tier, marks it as being preempted and returns
    // it; empty if there is none. The caller must stop the attempt and then call onFinished(). Selects the newest
    // preemptible attempt of the lowest tier, never one of a class at or below its minimum share, and at most one for
    // each entry that has been queued for preemptionDelay.
    auto choosePreemption(TimePoint now) -> std::optional<AttemptId>;

    // Returns the earliest time after now at which a further entry will have been queued for preemptionDelay, so that
    // choosePreemption() may return an attempt; empty if there is no such entry.
    auto nextPreemptionTime(TimePoint now) const -> std::optional<TimePoint>;

    // Records the output tokens of a running attempt so far. Work above the estimate is charged at once, and the
    // attempt occupies a slot of the long lane when it exceeds SchedulerPolicy::longAttemptTokens_. Does nothing if the
    // attempt is not running.
    auto onProgress(const AttemptId &attempt, std::uint32_t outputTokens) -> void;

    // Records that a running attempt ended, with whatever result. Frees its slot and replaces the estimated work by the
    // actual work. Does nothing if the attempt is not running.
    auto onFinished(const AttemptId &attempt, std::uint32_t outputTokens) -> void;

    // Removes the attempt from the queue, so that it never starts. Returns false if it is not queued; a running attempt
    // is not changed.
    auto removeQueued(const AttemptId &attempt) -> bool;

    auto runningCount() const -> std::uint32_t;

    // Returns the number of running attempts that count as long.
    auto runningLongCount() const -> std::uint32_t;

    // Returns the number of slots that are not occupied.
    auto freeSlotCount() const -> std::uint32_t;

    auto queuedCount() const -> std::uint32_t;

    auto queuedCountByTier() const -> std::array<std::uint32_t, tierCount>;

    // Replaces the policy. Queued and running attempts are kept even if they exceed the new limits.
    auto replacePolicy(SchedulerPolicy policy) -> void;

private:
    // Position in arrival order; lower numbers arrived earlier.
    using ArrivalNumber = std::uint64_t;

    struct WaitingEntry
    {
        QueueEntry entry_;
        std::optional<TimePoint> deadline_;
    };

    struct RunningAttempt
    {
        QueueEntry entry_;
        bool countsAsLong_;
        double chargedWork_;
        // True if the work was added to the share window.
        bool countsTowardShare_;
        // Position in start order; the attempt started last has the highest number.
        std::uint64_t startNumber_ = 0;
        bool beingPreempted_ = false;
    };

    using Queue = std::map<ArrivalNumber, WaitingEntry>;

    auto addToQueue(QueueEntry entry) -> void;
    auto queueDeadline(const QueueEntry &entry) const -> std::optional<TimePoint>;
    auto decideEnqueue(const QueueEntry &entry, const FirstInFirstOut &discipline) -> EnqueueResult;
    auto decideEnqueue(const QueueEntry &entry, const TierAndShare &discipline) -> EnqueueResult;
    auto selectNext(TimePoint now, const FirstInFirstOut &discipline) const -> Queue::const_iterator;
    auto selectNext(TimePoint now, const TierAndShare &discipline) const -> Queue::const_iterator;
    auto isStartable(const WaitingEntry &waiting, TimePoint now) const -> bool;
    auto fitsLongLane(const QueueEntry &entry) const -> bool;
    auto findEvictable(Tier arrivingTier) const -> Queue::const_iterator;
    auto start(Queue::const_iterator position, TimePoint now) -> QueueEntry;
    auto eraseFromQueue(Queue::const_iterator position) -> void;
    auto adjustChargedWork(RunningAttempt &running, double work) -> void;
    auto queuedInClass(const std::string &requestClass) const -> std::uint32_t;
    auto findClassPolicy(const std::string &requestClass) const -> const ClassPolicy *;
    auto reservedQueuePlaces(const std::string &requestClass) const -> std::uint32_t;
    auto hasFreePlace(const std::string &requestClass) const -> bool;
    auto shareDeficit(const std::string &requestClass) const -> double;
    auto isAboveMinimumShare(const std::string &requestClass) const -> bool;
    auto selectPreemptionVictim(Tier tier) -> RunningAttempt *;

    std::shared_ptr<const SchedulerPolicy> policy_;
    QueueDiscipline discipline_;
    Queue queue_;
    ArrivalNumber nextArrivalNumber_ = 0;
    std::map<AttemptId, ArrivalNumber> arrivalByAttempt_;
    std::set<std::pair<TimePoint, ArrivalNumber>> deadlines_;
    std::map<AttemptId, RunningAttempt> running_;
    std::uint64_t lastStartNumber_ = 0;
    std::uint32_t beingPreemptedCount_ = 0;
    std::uint32_t runningLongCount_ = 0;
    std::uint32_t runningSuspectCount_ = 0;
    std::map<std::string, AccountFairQueueing> fairQueueingByClass_;
    WorkShareWindow shareWindow_;
};

} // namespace jasminewood::scheduling
