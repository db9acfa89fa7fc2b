#pragma once

#include <map>
#include <string>
#include <utility>

#include "jasminewood/scheduling/attempt_scheduler.h"

// Entries, policies and a simulated upstream for the stories of the gate queue.

namespace jasminewood::scheduling::fixture
{

// The order that the stories check. The baseline FirstInFirstOut fails those on eviction, shares, fairness and lanes.
inline const auto orderUnderTest = QueueDiscipline {TierAndShare {}};

inline const auto start = TimePoint(Milliseconds(1'000'000));

inline auto policy(std::uint32_t concurrency, std::uint32_t queueLimit, double lowShare = 0) -> SchedulerPolicy
{
    return SchedulerPolicy {.classes_ = {ClassPolicy {.name_ = "quote", .tier_ = 0},
                                ClassPolicy {.name_ = "chat", .tier_ = 2, .minimumShare_ = lowShare},
                                ClassPolicy {.name_ = "batch", .tier_ = 3, .minimumShare_ = lowShare}},
        .concurrency_ = concurrency,
        .longLaneSlots_ = std::max(1U, concurrency / 2),
        .longTokens_ = 1000,
        .queueLimit_ = queueLimit};
}

inline auto attempt(int number) -> AttemptId
{
    return AttemptId {.requestId_ = "r-" + std::to_string(number), .number_ = 1};
}

struct Kind
{
    std::string class_ = "quote";
    Tier tier_ = 0;
    std::string account_ = "shop";
    std::uint32_t cost_ = 100;
    bool suspect_ = false;
    bool long_ = false;
    Milliseconds maximumWait_ = Milliseconds(0);
    double weight_ = 1;
};

inline auto entry(int number, const Kind &kind, TimePoint now = start) -> QueueEntry
{
    return QueueEntry {.attempt_ = attempt(number),
        .account_ = kind.account_,
        .accountWeight_ = kind.weight_,
        .requestClass_ = kind.class_,
        .tier_ = kind.tier_,
        .costEstimate_ = kind.cost_,
        .crashSuspect_ = kind.suspect_,
        .expectedLong_ = kind.long_,
        .maximumWait_ = kind.maximumWait_,
        .enqueuedAt_ = now};
}

// An upstream that produces one output token per millisecond and attempt.
class Upstream
{
public:
    explicit Upstream(SchedulerPolicy policy, QueueDiscipline order = orderUnderTest)
        : queue_(std::move(policy), order)
    {
    }

    // Offers a request whose true output length is given; returns false if it is refused.
    auto offer(int number, const Kind &kind, std::uint32_t tokens) -> bool
    {
        lengths_[attempt(number)] = tokens;
        return !std::holds_alternative<Refused>(queue_.enqueue(entry(number, kind, now_), now_));
    }

    // Advances the time by one millisecond; onStart receives each entry that starts.
    template <typename OnStart>
    auto tick(OnStart onStart) -> void
    {
        now_ += Milliseconds(1);
        while (!ends_.empty() && ends_.begin()->first <= now_) {
            const auto ended = ends_.begin()->second;
            queue_.onFinished(ended, lengths_.at(ended));
            lengths_.erase(ended);
            ends_.erase(ends_.begin());
        }
        while (const auto next = queue_.startNext(now_)) {
            ends_.emplace(now_ + Milliseconds(lengths_.at(next->attempt_)), next->attempt_);
            onStart(*next);
        }
    }

    auto now() const -> TimePoint
    {
        return now_;
    }

    auto queue() -> AttemptScheduler &
    {
        return queue_;
    }

private:
    AttemptScheduler queue_;
    TimePoint now_ = start;
    std::map<AttemptId, std::uint32_t> lengths_;
    std::multimap<TimePoint, AttemptId> ends_;
};

} // namespace jasminewood::scheduling::fixture
