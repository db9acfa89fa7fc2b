#pragma once

#include <map>
#include <string>
#include <utility>

#include "jasminewood/scheduling/attempt_scheduler.h"

// Queue entries, policies and a simulated upstream for the tests of AttemptScheduler.

namespace jasminewood::scheduling::fixture
{

// The queue discipline under test. With the baseline FirstInFirstOut the tests of eviction, shares, fairness and lanes
// fail.
inline const auto disciplineUnderTest = QueueDiscipline {TierAndShare {}};

inline const auto start = TimePoint(Milliseconds(1'000'000));

inline auto policy(std::uint32_t concurrency, std::uint32_t queueLimit, double minimumShare = 0) -> SchedulerPolicy
{
    return SchedulerPolicy {.classes_ = {ClassPolicy {.name_ = "quote", .tier_ = 0},
                                ClassPolicy {.name_ = "chat", .tier_ = 2, .minimumShare_ = minimumShare},
                                ClassPolicy {.name_ = "batch", .tier_ = 3, .minimumShare_ = minimumShare}},
        .concurrency_ = concurrency,
        .longLaneSlots_ = std::max(1U, concurrency / 2),
        .longAttemptTokens_ = 1000,
        .queueLimit_ = queueLimit};
}

inline auto attempt(int number) -> AttemptId
{
    return AttemptId {.requestId_ = "r-" + std::to_string(number), .number_ = 1};
}

struct RequestKind
{
    std::string requestClass_ = "quote";
    Tier tier_ = 0;
    std::string account_ = "shop";
    std::uint32_t costEstimate_ = 100;
    bool crashSuspect_ = false;
    bool expectedLong_ = false;
    Milliseconds maximumWait_ = Milliseconds(0);
    double accountWeight_ = 1;
};

inline auto entry(int number, const RequestKind &kind, TimePoint now = start) -> QueueEntry
{
    return QueueEntry {.attempt_ = attempt(number),
        .account_ = kind.account_,
        .accountWeight_ = kind.accountWeight_,
        .requestClass_ = kind.requestClass_,
        .tier_ = kind.tier_,
        .costEstimate_ = kind.costEstimate_,
        .crashSuspect_ = kind.crashSuspect_,
        .expectedLong_ = kind.expectedLong_,
        .maximumWait_ = kind.maximumWait_,
        .enqueuedAt_ = now};
}

// Simulates an upstream that generates one output token per millisecond for each running attempt.
class SimulatedUpstream
{
public:
    explicit SimulatedUpstream(SchedulerPolicy policy, QueueDiscipline discipline = disciplineUnderTest)
        : scheduler_(std::move(policy), discipline)
    {
    }

    // Enqueues an attempt that will generate this many output tokens. Returns false if it is rejected.
    auto enqueue(int number, const RequestKind &kind, std::uint32_t outputTokens) -> bool
    {
        outputTokens_[attempt(number)] = outputTokens;
        return !std::holds_alternative<Rejected>(scheduler_.enqueue(entry(number, kind, now_), now_));
    }

    // Advances the time by one millisecond and calls onStart with each entry that starts.
    template <typename OnStart>
    auto advanceOneMillisecond(OnStart onStart) -> void
    {
        now_ += Milliseconds(1);
        while (!endTimes_.empty() && endTimes_.begin()->first <= now_) {
            const auto finished = endTimes_.begin()->second;
            scheduler_.onFinished(finished, outputTokens_.at(finished));
            outputTokens_.erase(finished);
            endTimes_.erase(endTimes_.begin());
        }
        while (const auto next = scheduler_.startNext(now_)) {
            endTimes_.emplace(now_ + Milliseconds(outputTokens_.at(next->attempt_)), next->attempt_);
            onStart(*next);
        }
    }

    auto now() const -> TimePoint
    {
        return now_;
    }

    auto scheduler() -> AttemptScheduler &
    {
        return scheduler_;
    }

private:
    AttemptScheduler scheduler_;
    TimePoint now_ = start;
    std::map<AttemptId, std::uint32_t> outputTokens_;
    std::multimap<TimePoint, AttemptId> endTimes_;
};

} // namespace jasminewood::scheduling::fixture
