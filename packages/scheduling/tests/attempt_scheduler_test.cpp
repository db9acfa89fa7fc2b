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

const auto quote = RequestKind {};
const auto chat = RequestKind {.requestClass_ = "chat", .tier_ = 2};
const auto batch = RequestKind {.requestClass_ = "batch", .tier_ = 3};

auto evicts(const EnqueueResult &result, int number) -> bool
{
    return result == EnqueueResult(QueuedAfterEviction {attempt(number)});
}

auto arbitraryKind() -> RequestKind
{
    static const auto kinds = std::vector<RequestKind> {quote, chat, batch};
    auto kind = kinds.at(*rc::gen::inRange<std::size_t>(0, kinds.size()));
    kind.account_ = *rc::gen::element<std::string>("a", "b", "c");
    kind.crashSuspect_ = *rc::gen::inRange(0, 5) == 0;
    kind.expectedLong_ = *rc::gen::inRange(0, 4) == 0;
    kind.maximumWait_ = Milliseconds(*rc::gen::element(0, 20, 200));
    return kind;
}

// Enqueues random entries into a small queue. After each one calls inspect with its kind, the result of enqueue(), the
// tiers of the entries queued before it, and the scheduler.
template <typename Inspect>
auto overfillScheduler(Inspect inspect) -> void
{
    auto scheduler = AttemptScheduler(policy(1, 6, *rc::gen::element(0.0, 0.2)), disciplineUnderTest);
    auto tiers = std::map<AttemptId, Tier>();
    for (auto number = 0; number < 40; ++number) {
        const auto kind = arbitraryKind();
        const auto result = scheduler.enqueue(entry(number, kind), start);
        inspect(kind, result, tiers, scheduler);
        if (const auto *eviction = std::get_if<QueuedAfterEviction>(&result)) {
            tiers.erase(eviction->evicted_);
        }
        if (!std::holds_alternative<Rejected>(result)) {
            tiers.emplace(attempt(number), kind.tier_);
        }
    }
}

// Performs random operations on a scheduler and checks the limits of slots, long lane and crash suspects after each.
auto checkLimits(const QueueDiscipline &discipline, bool hasLongLane) -> void
{
    const auto concurrency = *rc::gen::inRange<std::uint32_t>(1, 6);
    auto scheduler = AttemptScheduler(policy(concurrency, 20, 0.1), discipline);
    auto running = std::map<AttemptId, QueueEntry>();
    auto now = start;
    for (auto number = 0; number < 150; ++number) {
        now += Milliseconds(*rc::gen::inRange(0, 10));
        scheduler.enqueue(entry(number, arbitraryKind(), now), now);
        scheduler.removeExpired(now);
        const auto longBefore = scheduler.runningLongCount();
        if (const auto next = scheduler.startNext(now)) {
            RC_ASSERT(!hasLongLane || !next->expectedLong_ || longBefore < policy(concurrency, 20).longLaneSlots_);
            RC_ASSERT(running.emplace(next->attempt_, *next).second);
        }
        if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
            const auto finished = running.begin()->first;
            scheduler.onProgress(finished, 2000);
            scheduler.onFinished(finished, 2000);
            running.erase(finished);
        }
        const auto suspects = std::count_if(running.begin(), running.end(), [](const auto &item) {
            return item.second.crashSuspect_;
        });
        RC_ASSERT(suspects <= 1);
        RC_ASSERT(scheduler.runningCount() == running.size() && scheduler.runningCount() <= concurrency);
        RC_ASSERT(scheduler.queuedCount() <= 20);
    }
}

const testkit::TestSuite suite = {"an attempt scheduler",
    {
        section("whose queue is full",
            {
                // Guards against eviction of the wrong entry: an older one, or one of a middle tier.
                test("evicts the newest entry of the lowest tier",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 4), disciplineUnderTest);
                        scheduler.enqueue(entry(1, batch), start);
                        scheduler.enqueue(entry(2, batch), start);
                        scheduler.enqueue(entry(3, chat), start);
                        scheduler.enqueue(entry(4, quote), start);
                        check(evicts(scheduler.enqueue(entry(5, quote), start), 2));
                        check(evicts(scheduler.enqueue(entry(6, chat), start), 1));
                        check(evicts(scheduler.enqueue(entry(7, quote), start), 6));
                        check(!scheduler.removeQueued(attempt(2)) && scheduler.queuedCount() == 4);
                    }),
                // Guards against eviction of an entry whose tier is not lower than that of the arriving one.
                test("rejects an attempt as not run if no entry of a lower tier is queued",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 2), disciplineUnderTest);
                        scheduler.enqueue(entry(1, quote), start);
                        scheduler.enqueue(entry(2, chat), start);
                        const auto result = scheduler.enqueue(entry(3, chat), start);
                        check(std::holds_alternative<Rejected>(result));
                        const auto &failure = std::get<Rejected>(result).failure_;
                        check(failure.runState_ == RunState::NotRun && failure.retryAfter_ == queueFullRetryAfter);
                    }),
                // Guards against a higher tier that fills the queue, so that a class with a minimum share cannot queue.
                test("reserves places for a class with a minimum share",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 10, 0.2), disciplineUnderTest);
                        for (auto number = 0; number < 20; ++number) {
                            scheduler.enqueue(entry(number, quote), start);
                        }
                        check(scheduler.queuedCountByTier()[0] == 6);
                        check(scheduler.enqueue(entry(21, batch), start) == EnqueueResult(Queued {}));
                        check(scheduler.enqueue(entry(22, batch), start) == EnqueueResult(Queued {}));
                        check(std::holds_alternative<Rejected>(scheduler.enqueue(entry(23, batch), start)));
                        check(std::holds_alternative<Rejected>(scheduler.enqueue(entry(24, quote), start)));
                    }),
                // Guards against eviction of an entry of an equal or higher tier.
                property("never evicts an entry of a tier equal to or higher than the arriving one",
                    [] {
                        overfillScheduler(
                            [](const RequestKind &kind, const EnqueueResult &result, const auto &tiers, const auto &) {
                                if (const auto *eviction = std::get_if<QueuedAfterEviction>(&result)) {
                                    RC_ASSERT(tiers.at(eviction->evicted_) > kind.tier_);
                                }
                            });
                    }),
                // Guards against rejection of a top-tier attempt while lower tiers occupy more than their reserved
                // places.
                property("rejects an attempt only if lower tiers occupy no more than their reserved places",
                    [] {
                        overfillScheduler([](const RequestKind &kind, const EnqueueResult &result, const auto &,
                                              const auto &scheduler) {
                            if (std::holds_alternative<Rejected>(result) && kind.tier_ == 0) {
                                const auto waiting = scheduler.queuedCountByTier();
                                RC_ASSERT(waiting[2] <= 1 && waiting[3] <= 1);
                            }
                        });
                    }),
            }),
        section("with attempts of all kinds",
            {
                // Guards against a sequence of calls after which slots, long lane or crash suspects exceed their
                // limits.
                property("never exceeds its slots, its long lane or one running crash suspect",
                    [] {
                        checkLimits(disciplineUnderTest, true);
                    }),
                // Guards against an unfair comparison with the baseline: more slots, or more crashes of upstreams.
                property("never exceeds its slots or one running crash suspect in arrival order",
                    [] {
                        checkLimits(FirstInFirstOut {}, false);
                    }),
                // Guards against an attempt that runs twice after a repeated dispatch.
                test("rejects an attempt that is already queued or running",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 4), disciplineUnderTest);
                        scheduler.enqueue(entry(1, quote), start);
                        check(std::holds_alternative<Rejected>(scheduler.enqueue(entry(1, quote), start)));
                        check(scheduler.startNext(start).has_value());
                        const auto repeated = scheduler.enqueue(entry(1, quote), start);
                        check(std::get<Rejected>(repeated).failure_.runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("whose entries reach their maximum wait",
            {
                // Guards against an attempt that is reported as not run and starts afterwards.
                test("removes them in time and never starts them",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 4), disciplineUnderTest);
                        auto shortWait = quote;
                        shortWait.maximumWait_ = Milliseconds(50);
                        check(!scheduler.nextExpiryTime());
                        scheduler.enqueue(entry(1, quote), start);
                        scheduler.enqueue(entry(2, shortWait), start);
                        check(scheduler.nextExpiryTime() == start + Milliseconds(50));
                        check(scheduler.removeExpired(start + Milliseconds(49)).empty());
                        check(scheduler.startNext(start + Milliseconds(50))->attempt_ == attempt(1));
                        scheduler.onFinished(attempt(1), 10);
                        check(!scheduler.startNext(start + Milliseconds(50)));
                        check(scheduler.removeExpired(start + Milliseconds(50)) == std::vector {attempt(2)});
                        check(!scheduler.nextExpiryTime() && scheduler.queuedCount() == 0);
                    }),
                // Guards against a cancellation that reports a running attempt as not run.
                test("removes only attempts that have not started",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 4), disciplineUnderTest);
                        scheduler.enqueue(entry(1, quote), start);
                        scheduler.enqueue(entry(2, quote), start);
                        scheduler.startNext(start);
                        check(!scheduler.removeQueued(attempt(1)) && scheduler.removeQueued(attempt(2))
                            && !scheduler.removeQueued(attempt(2)));
                        check(scheduler.runningCount() == 1);
                    }),
            }),
        section("whose limits are lowered",
            {
                // Guards against a manifest change that drops running or queued attempts.
                test("keeps its attempts and starts none above the new limit",
                    [] {
                        auto scheduler = AttemptScheduler(policy(2, 4), disciplineUnderTest);
                        for (auto number = 1; number <= 4; ++number) {
                            scheduler.enqueue(entry(number, quote), start);
                        }
                        scheduler.startNext(start);
                        scheduler.startNext(start);
                        scheduler.replacePolicy(policy(1, 1));
                        check(scheduler.freeSlotCount() == 0 && scheduler.runningCount() == 2
                            && scheduler.queuedCount() == 2);
                        scheduler.onFinished(attempt(1), 10);
                        check(!scheduler.startNext(start));
                        scheduler.onFinished(attempt(2), 10);
                        check(scheduler.startNext(start).has_value());
                    }),
            }),
    }};

} // namespace
