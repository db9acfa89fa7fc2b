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
#include "jasminewood/scheduling/fair_accounts.h"
#include "jasminewood/scheduling/share_window.h"

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
struct GatePolicy
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

    auto operator<=>(const GatePolicy &) const = default;
};

// A request that asks to run.
struct Entry
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
    const bool suspect_ = false;
    // True if the request takes a slot of the long lane from the start.
    const bool longExpected_ = false;
    // True if the attempt may be interrupted for a higher tier and continued later without losing its output.
    const bool preemptible_ = false;
    // True if the attempt was interrupted and waits to go on. It is neither refused nor evicted nor expired, because
    // its caller already has a part of the answer.
    const bool continues_ = false;
    // Longest time in the queue; zero means the class's limit.
    const Milliseconds maximumWait_ = Milliseconds(0);
    const TimePoint enqueuedAt_;

    auto operator<=>(const Entry &) const = default;
};

// The entry waits.
struct Queued
{
    auto operator<=>(const Queued &) const = default;
};

// The entry waits in the place of another one, which never ran and never will.
struct QueuedEvicting
{
    const AttemptId evicted_;

    auto operator<=>(const QueuedEvicting &) const = default;
};

// The entry does not wait.
struct Refused
{
    const Failure failure_;

    auto operator<=>(const Refused &) const = default;
};

using Admission = std::variant<Queued, QueuedEvicting, Refused>;

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

using QueueOrder = std::variant<FirstInFirstOut, TierAndShare>;

// When a refused request may be sent again.
constexpr Milliseconds refusedRetryAfter = Milliseconds(1000);

// A waiting entry may preempt after this time. A slot often frees by itself before.
constexpr Milliseconds preemptAfter = Milliseconds(10);

// Not thread-safe: one service owns it under its mutex. Memory is bounded by the queue limit, the concurrency and the
// remembered accounts.
class GateQueue
{
public:
    explicit GateQueue(GatePolicy policy, QueueOrder discipline = TierAndShare {});

    // Refuses an attempt that already waits or runs, one whose maximum wait has passed, and any attempt when neither a
    // place is free nor an entry of a strictly lower tier can be evicted. Eviction takes the newest entry of the lowest
    // tier among the classes that hold more than their reserved places. Precondition: now does not go backwards between
    // calls.
    auto enqueue(Entry entry, TimePoint now) -> Admission;

    // Moves the next entry that may start now into a slot and returns it; empty if there is none. Entries past their
    // maximum wait do not start. At most one suspect runs at a time.
    auto takeNext(TimePoint now) -> std::optional<Entry>;

    // Removes and returns the entries that have waited for their maximum wait.
    auto expire(TimePoint now) -> std::vector<AttemptId>;

    // Returns the earliest time at which expire() returns something; empty if no entry can expire.
    auto nextExpiry() const -> std::optional<TimePoint>;

    // Returns a running attempt that has to make room for a waiting entry of a higher tier, and marks it; empty if
    // there is none. The caller interrupts it and reports finished(). Takes the newest preemptible attempt of the
    // lowest tier, from no class at or below its minimum share, and at most one for each entry that has waited for
    // preemptAfter.
    auto preempt(TimePoint now) -> std::optional<AttemptId>;

    // Returns the earliest time at which preempt() may return something that it does not return now; empty if there is
    // nothing to wait for.
    auto nextPreemption(TimePoint now) const -> std::optional<TimePoint>;

    // Output tokens of a running attempt so far. Work above the estimate is charged at once, and the attempt moves into
    // the long lane after GatePolicy::longTokens_. An attempt that does not run is ignored.
    auto progress(const AttemptId &attempt, std::uint32_t outputTokens) -> void;

    // A running attempt ended in any way. Frees its slot and replaces the estimated work by the actual one. An attempt
    // that does not run is ignored.
    auto finished(const AttemptId &attempt, std::uint32_t outputTokens) -> void;

    // Returns true if the attempt was still queued; it never starts then. A running attempt is left as it is.
    auto remove(const AttemptId &attempt) -> bool;

    auto running() const -> std::uint32_t;

    // Running attempts that count as long.
    auto runningLong() const -> std::uint32_t;

    // Slots that a new attempt could take at once.
    auto freeSlots() const -> std::uint32_t;

    auto queued() const -> std::uint32_t;

    auto queuedByTier() const -> std::array<std::uint32_t, tierCount>;

    // Entries that wait or run are kept, also beyond the new limits.
    auto replacePolicy(GatePolicy policy) -> void;

private:
    // Position in arrival order.
    using ArrivalNumber = std::uint64_t;

    struct QueuedEntry
    {
        Entry entry_;
        std::optional<TimePoint> deadline_;
    };

    struct RunningAttempt
    {
        Entry entry_;
        bool countsAsLong_;
        double chargedWork_;
        // True if the work counts in the share window.
        bool countsTowardShare_;
        // Starts are numbered; the newest has the highest number.
        std::uint64_t startNumber_ = 0;
        bool beingPreempted_ = false;
    };

    using Queue = std::map<ArrivalNumber, QueuedEntry>;

    auto addToQueue(Entry entry) -> void;
    auto queueDeadline(const Entry &entry) const -> std::optional<TimePoint>;
    auto decideEnqueue(const Entry &entry, const FirstInFirstOut &discipline) -> Admission;
    auto decideEnqueue(const Entry &entry, const TierAndShare &discipline) -> Admission;
    auto selectNext(TimePoint now, const FirstInFirstOut &discipline) const -> Queue::const_iterator;
    auto selectNext(TimePoint now, const TierAndShare &discipline) const -> Queue::const_iterator;
    auto isStartable(const QueuedEntry &waiting, TimePoint now) const -> bool;
    auto fitsLongLane(const Entry &entry) const -> bool;
    auto findEvictable(Tier arrivingTier) const -> Queue::const_iterator;
    auto start(Queue::const_iterator position, TimePoint now) -> Entry;
    auto eraseFromQueue(Queue::const_iterator position) -> void;
    auto adjustChargedWork(RunningAttempt &running, double work) -> void;
    auto queuedInClass(const std::string &requestClass) const -> std::uint32_t;
    auto findClassPolicy(const std::string &requestClass) const -> const ClassPolicy *;
    auto reservedQueuePlaces(const std::string &requestClass) const -> std::uint32_t;
    auto hasFreePlace(const std::string &requestClass) const -> bool;
    auto shareDeficit(const std::string &requestClass) const -> double;
    auto isAboveMinimumShare(const std::string &requestClass) const -> bool;
    auto selectPreemptionVictim(Tier tier) -> RunningAttempt *;

    std::shared_ptr<const GatePolicy> policy_;
    QueueOrder discipline_;
    Queue queue_;
    ArrivalNumber nextArrivalNumber_ = 0;
    std::map<AttemptId, ArrivalNumber> arrivalByAttempt_;
    std::set<std::pair<TimePoint, ArrivalNumber>> deadlines_;
    std::map<AttemptId, RunningAttempt> running_;
    std::uint64_t lastStartNumber_ = 0;
    std::uint32_t beingPreemptedCount_ = 0;
    std::uint32_t runningLongCount_ = 0;
    std::uint32_t runningSuspectCount_ = 0;
    std::map<std::string, FairAccounts> fairQueueingByClass_;
    ShareWindow shareWindow_;
};

} // namespace jasminewood::scheduling
