#include "scheduler_fixture.h"

#include <set>

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::scheduling;
using namespace jasminewood::scheduling::fixture;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

namespace
{

const auto quote = Kind {};
const auto chat = Kind {.class_ = "chat", .tier_ = 2};
const auto batch = Kind {.class_ = "batch", .tier_ = 3};

auto evicts(const EnqueueResult &admission, int number) -> bool
{
    return admission == EnqueueResult(QueuedAfterEviction {attempt(number)});
}

auto anyKind() -> Kind
{
    static const auto kinds = std::vector<Kind> {quote, chat, batch};
    auto kind = kinds.at(*rc::gen::inRange<std::size_t>(0, kinds.size()));
    kind.account_ = *rc::gen::element<std::string>("a", "b", "c");
    kind.suspect_ = *rc::gen::inRange(0, 5) == 0;
    kind.long_ = *rc::gen::inRange(0, 4) == 0;
    kind.maximumWait_ = Milliseconds(*rc::gen::element(0, 20, 200));
    return kind;
}

// Enqueues random entries into a small queue and passes each admission with the tiers queued before it to inspect.
template <typename Inspect>
auto overfill(Inspect inspect) -> void
{
    auto queue = AttemptScheduler(policy(1, 6, *rc::gen::element(0.0, 0.2)), orderUnderTest);
    auto tiers = std::map<AttemptId, Tier>();
    for (auto number = 0; number < 40; ++number) {
        const auto kind = anyKind();
        const auto admission = queue.enqueue(entry(number, kind), start);
        inspect(kind, admission, tiers, queue);
        if (const auto *eviction = std::get_if<QueuedAfterEviction>(&admission)) {
            tiers.erase(eviction->evicted_);
        }
        if (!std::holds_alternative<Refused>(admission)) {
            tiers.emplace(attempt(number), kind.tier_);
        }
    }
}

// Random operations on a queue; checks the limits of slots, lanes and suspects after each.
auto holdsLimits(const QueueDiscipline &order, bool lanes) -> void
{
    const auto concurrency = *rc::gen::inRange<std::uint32_t>(1, 6);
    auto queue = AttemptScheduler(policy(concurrency, 20, 0.1), order);
    auto running = std::map<AttemptId, QueueEntry>();
    auto now = start;
    for (auto number = 0; number < 150; ++number) {
        now += Milliseconds(*rc::gen::inRange(0, 10));
        queue.enqueue(entry(number, anyKind(), now), now);
        queue.removeExpired(now);
        const auto longBefore = queue.runningLongCount();
        if (const auto next = queue.startNext(now)) {
            RC_ASSERT(!lanes || !next->expectedLong_ || longBefore < policy(concurrency, 20).longLaneSlots_);
            RC_ASSERT(running.emplace(next->attempt_, *next).second);
        }
        if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
            const auto some = running.begin()->first;
            queue.onProgress(some, 2000);
            queue.onFinished(some, 2000);
            running.erase(some);
        }
        const auto suspects = std::count_if(running.begin(), running.end(), [](const auto &item) {
            return item.second.crashSuspect_;
        });
        RC_ASSERT(suspects <= 1);
        RC_ASSERT(queue.runningCount() == running.size() && queue.runningCount() <= concurrency);
        RC_ASSERT(queue.queuedCount() <= 20);
    }
}

const testkit::TestSuite story = {"a gate queue",
    {
        section("that is full",
            {
                // Guards against shedding the wrong request: an older one, or one of a middle tier.
                test("evicts the newest entry of the lowest tier",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 4), orderUnderTest);
                        queue.enqueue(entry(1, batch), start);
                        queue.enqueue(entry(2, batch), start);
                        queue.enqueue(entry(3, chat), start);
                        queue.enqueue(entry(4, quote), start);
                        check(evicts(queue.enqueue(entry(5, quote), start), 2));
                        check(evicts(queue.enqueue(entry(6, chat), start), 1));
                        check(evicts(queue.enqueue(entry(7, quote), start), 6));
                        check(!queue.removeQueued(attempt(2)) && queue.queuedCount() == 4);
                    }),
                // Guards against shedding work of a tier that the arriving request does not outrank.
                test("refuses as not run when nothing of a lower tier waits",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 2), orderUnderTest);
                        queue.enqueue(entry(1, quote), start);
                        queue.enqueue(entry(2, chat), start);
                        const auto admission = queue.enqueue(entry(3, chat), start);
                        check(std::holds_alternative<Refused>(admission));
                        const auto &failure = std::get<Refused>(admission).failure_;
                        check(failure.runState_ == RunState::NotRun && failure.retryAfter_ == queueFullRetryAfter);
                    }),
                // Guards against a flood of a higher tier that leaves a class no place to wait in.
                test("keeps the places of a class with a minimum share",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 10, 0.2), orderUnderTest);
                        for (auto number = 0; number < 20; ++number) {
                            queue.enqueue(entry(number, quote), start);
                        }
                        check(queue.queuedCountByTier()[0] == 6);
                        check(queue.enqueue(entry(21, batch), start) == EnqueueResult(Queued {}));
                        check(queue.enqueue(entry(22, batch), start) == EnqueueResult(Queued {}));
                        check(std::holds_alternative<Refused>(queue.enqueue(entry(23, batch), start)));
                        check(std::holds_alternative<Refused>(queue.enqueue(entry(24, quote), start)));
                    }),
                // Guards against eviction of an equal or higher tier, and of another entry than one of the lowest tier.
                property("never evicts a tier equal to or higher than the arriving one",
                    [] {
                        overfill([](const Kind &kind, const EnqueueResult &admission, const auto &tiers, const auto &) {
                            if (const auto *eviction = std::get_if<QueuedAfterEviction>(&admission)) {
                                RC_ASSERT(tiers.at(eviction->evicted_) > kind.tier_);
                            }
                        });
                    }),
                // Guards against refusing a top-tier request while lower tiers hold places beyond their reserved ones.
                property("refuses only when lower tiers hold no more than their reserved places",
                    [] {
                        overfill([](const Kind &kind, const EnqueueResult &admission, const auto &, const auto &queue) {
                            if (std::holds_alternative<Refused>(admission) && kind.tier_ == 0) {
                                const auto waiting = queue.queuedCountByTier();
                                RC_ASSERT(waiting[2] <= 1 && waiting[3] <= 1);
                            }
                        });
                    }),
            }),
        section("with work of all kinds",
            {
                // Guards against slots, lanes or suspects beyond their limits after any sequence of calls.
                property("never exceeds its slots, its long lane or one suspect",
                    [] {
                        holdsLimits(orderUnderTest, true);
                    }),
                // Guards against a baseline that is measured with more slots, or that crashes upstreams more often.
                property("keeps the same slots and one suspect in arrival order",
                    [] {
                        holdsLimits(FirstInFirstOut {}, false);
                    }),
                // Guards against the same attempt running twice after a repeated dispatch.
                test("refuses an attempt that already waits or runs",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 4), orderUnderTest);
                        queue.enqueue(entry(1, quote), start);
                        check(std::holds_alternative<Refused>(queue.enqueue(entry(1, quote), start)));
                        check(queue.startNext(start).has_value());
                        const auto again = queue.enqueue(entry(1, quote), start);
                        check(std::get<Refused>(again).failure_.runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("whose entries wait too long",
            {
                // Guards against a caller that is told "not run" while its request starts late.
                test("expires them in time and never starts them",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 4), orderUnderTest);
                        auto hurried = quote;
                        hurried.maximumWait_ = Milliseconds(50);
                        check(!queue.nextExpiryTime());
                        queue.enqueue(entry(1, quote), start);
                        queue.enqueue(entry(2, hurried), start);
                        check(queue.nextExpiryTime() == start + Milliseconds(50));
                        check(queue.removeExpired(start + Milliseconds(49)).empty());
                        check(queue.startNext(start + Milliseconds(50))->attempt_ == attempt(1));
                        queue.onFinished(attempt(1), 10);
                        check(!queue.startNext(start + Milliseconds(50)));
                        check(queue.removeExpired(start + Milliseconds(50)) == std::vector {attempt(2)});
                        check(!queue.nextExpiryTime() && queue.queuedCount() == 0);
                    }),
                // Guards against a cancel that claims "not run" of a running attempt.
                test("removes only those that have not started",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 4), orderUnderTest);
                        queue.enqueue(entry(1, quote), start);
                        queue.enqueue(entry(2, quote), start);
                        queue.startNext(start);
                        check(!queue.removeQueued(attempt(1)) && queue.removeQueued(attempt(2))
                            && !queue.removeQueued(attempt(2)));
                        check(queue.runningCount() == 1);
                    }),
            }),
        section("whose policy shrinks",
            {
                // Guards against a manifest change that drops running or queued work.
                test("keeps what it holds and starts nothing above the new limit",
                    [] {
                        auto queue = AttemptScheduler(policy(2, 4), orderUnderTest);
                        for (auto number = 1; number <= 4; ++number) {
                            queue.enqueue(entry(number, quote), start);
                        }
                        queue.startNext(start);
                        queue.startNext(start);
                        queue.replacePolicy(policy(1, 1));
                        check(queue.freeSlotCount() == 0 && queue.runningCount() == 2 && queue.queuedCount() == 2);
                        queue.onFinished(attempt(1), 10);
                        check(!queue.startNext(start));
                        queue.onFinished(attempt(2), 10);
                        check(queue.startNext(start).has_value());
                    }),
            }),
    }};

} // namespace
