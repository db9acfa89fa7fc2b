#include "scheduler_fixture.h"

#include <algorithm>
#include <vector>

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
const auto batch = Kind {.class_ = "batch", .tier_ = 3};

// The window in which every class has to complete work (design, section 4).
constexpr Milliseconds progressWindow = Milliseconds(5000);

// Work started and longest time without a start of one class.
struct Service
{
    double work_ = 0;
    TimePoint last_;
    Milliseconds longestGap_ = Milliseconds(0);

    auto started(const QueueEntry &entry, TimePoint now) -> void
    {
        work_ += entry.costEstimate_;
        idleUntil(now);
        last_ = now;
    }

    auto idleUntil(TimePoint now) -> void
    {
        longestGap_ = std::max(longestGap_, std::chrono::duration_cast<Milliseconds>(now - last_));
    }
};

// Keeps the queue full of quotes, and batch requests waiting, for the given time.
auto saturate(Upstream &upstream, Milliseconds time, std::uint32_t quoteCost, std::uint32_t batchCost)
    -> std::map<std::string, Service>
{
    auto services = std::map<std::string, Service>();
    services["quote"].last_ = services["batch"].last_ = upstream.now();
    static auto number = 1'000'000;
    auto costly = quote;
    costly.cost_ = quoteCost;
    auto cheap = batch;
    cheap.cost_ = batchCost;
    for (auto elapsed = Milliseconds(0); elapsed < time; elapsed += Milliseconds(1)) {
        for (auto offered = 0; offered < 25 && upstream.offer(++number, costly, quoteCost); ++offered) {}
        upstream.offer(++number, cheap, batchCost);
        upstream.tick([&](const QueueEntry &entry) {
            services[entry.requestClass_].started(entry, upstream.now());
        });
    }
    for (auto &[name, service] : services) {
        service.idleUntil(upstream.now());
    }
    return services;
}

// The 99th percentile of the time in milliseconds that short requests wait behind a mix with long ones.
auto shortWait(const QueueDiscipline &order) -> std::int64_t
{
    constexpr auto requests = 2000;
    auto limits = policy(8, 4000);
    auto upstream = Upstream(limits, order);
    auto waits = std::vector<std::int64_t>();
    auto longRequest = Kind {.class_ = "quote", .account_ = "scans", .cost_ = 5000, .long_ = true};
    for (auto number = 0; number < requests; ++number) {
        // Long requests come in bursts of 10 and take half of the upstream on average.
        const auto isLong = number % 200 < 10;
        upstream.offer(number, isLong ? longRequest : quote, isLong ? 5000 : 100);
        for (auto step = 0; step < 70; ++step) {
            upstream.tick([&](const QueueEntry &entry) {
                if (!entry.expectedLong_) {
                    waits.push_back((upstream.now() - entry.enqueuedAt_) / Milliseconds(1));
                }
            });
        }
    }
    check(upstream.queue().queuedCount() == 0, "long requests are left behind");
    std::sort(waits.begin(), waits.end());
    return waits.at(waits.size() * 99 / 100);
}

const testkit::TestSuite story = {"a gate queue shares its slots",
    {
        section("between classes, saturated by a higher tier",
            {
                // Guards against starvation of a class with a minimum share.
                property("so that a class with a minimum share starts work in every window",
                    [] {
                        const auto share = *rc::gen::element(0.05, 0.1, 0.2);
                        const auto quoteCost = *rc::gen::inRange<std::uint32_t>(50, 500);
                        const auto batchCost = *rc::gen::inRange<std::uint32_t>(50, 500);
                        auto upstream = Upstream(policy(4, 20, share));
                        auto services = saturate(upstream, Milliseconds(20000), quoteCost, batchCost);
                        // A request started here still has to run for its own length.
                        RC_ASSERT(services["batch"].longestGap_ + Milliseconds(batchCost) <= progressWindow);
                    }),
                // Guards against a minimum share that takes more than itself and one request per window.
                test("which keeps the rest of the work",
                    [] {
                        auto upstream = Upstream(policy(4, 20, 0.1));
                        auto services = saturate(upstream, Milliseconds(60000), 100, 100);
                        const auto total = services["quote"].work_ + services["batch"].work_;
                        check(services["batch"].work_ >= 0.1 * total && services["batch"].work_ <= 0.12 * total);
                    }),
                // Guards against starvation as the price of capacity that was used while nobody else wanted it.
                test("even if the class has just had the upstream to itself",
                    [] {
                        auto upstream = Upstream(policy(4, 20, 0.1));
                        auto number = 0;
                        for (auto step = 0; step < 10000; ++step) {
                            upstream.offer(++number, batch, 100);
                            upstream.tick([](const QueueEntry &) {});
                        }
                        auto services = saturate(upstream, Milliseconds(20000), 100, 100);
                        check(services["batch"].longestGap_ + Milliseconds(100) <= progressWindow);
                    }),
            }),
        section("between accounts of one class",
            {
                // Guards against an account with many or costly requests that crowds out the others.
                property("so that equal accounts get equal work within one request's cost",
                    [] {
                        const auto accounts = std::vector<std::string> {"a", "b", "c"};
                        constexpr auto largest = std::uint32_t(400);
                        auto queue = AttemptScheduler(policy(1, 1000), orderUnderTest);
                        auto work = std::map<std::string, double> {{"a", 0}, {"b", 0}, {"c", 0}};
                        for (auto number = 0; number < 180; ++number) {
                            auto kind = quote;
                            // The first account sends most requests ahead of the others; each keeps at least 30.
                            kind.account_ = number < 120 ? "a" : accounts.at(1 + number % 2);
                            kind.cost_ = *rc::gen::inRange<std::uint32_t>(1, largest);
                            queue.enqueue(entry(number, kind), start);
                        }
                        for (auto left = std::map<std::string, int> {{"a", 120}, {"b", 30}, {"c", 30}};
                             left["a"] > 0 && left["b"] > 0 && left["c"] > 0;) {
                            const auto next = queue.startNext(start);
                            const auto actual = *rc::gen::inRange<std::uint32_t>(1, largest);
                            queue.onFinished(next->attempt_, actual);
                            --left[next->account_];
                            work[next->account_] += actual;
                            const auto [least, most] = std::minmax({work["a"], work["b"], work["c"]});
                            RC_ASSERT(most - least <= largest);
                        }
                    }),
                // Guards against weights that have no effect.
                test("in proportion to their weights",
                    [] {
                        auto queue = AttemptScheduler(policy(1, 1000), orderUnderTest);
                        auto started = std::map<std::string, int>();
                        for (auto number = 0; number < 400; ++number) {
                            auto kind = quote;
                            kind.account_ = number < 200 ? "heavy" : "light";
                            kind.weight_ = number < 200 ? 3 : 1;
                            queue.enqueue(entry(number, kind), start);
                        }
                        for (auto number = 0; number < 200; ++number) {
                            const auto next = queue.startNext(start);
                            queue.onFinished(next->attempt_, next->costEstimate_);
                            ++started[next->account_];
                        }
                        check(started["heavy"] >= 149 && started["heavy"] <= 151);
                    }),
            }),
        section("between long and short requests",
            {
                // Guards against long requests that hold every slot.
                test("so that a short one starts while long ones hold the whole long lane",
                    [] {
                        auto queue = AttemptScheduler(policy(4, 20), orderUnderTest);
                        auto scan = quote;
                        scan.long_ = true;
                        for (auto number = 1; number <= 6; ++number) {
                            queue.enqueue(entry(number, scan), start);
                        }
                        queue.enqueue(entry(7, quote), start);
                        check(queue.startNext(start)->expectedLong_ && queue.startNext(start)->expectedLong_);
                        check(queue.startNext(start)->attempt_ == attempt(7));
                        check(!queue.startNext(start) && queue.freeSlotCount() == 1);
                    }),
                // Guards against an unexpectedly long request that is not counted as long.
                test("so that an attempt that outgrows the limit takes a slot of the long lane",
                    [] {
                        auto queue = AttemptScheduler(policy(2, 20), orderUnderTest);
                        auto scan = quote;
                        scan.long_ = true;
                        queue.enqueue(entry(1, quote), start);
                        queue.enqueue(entry(2, scan), start);
                        queue.startNext(start);
                        queue.onProgress(attempt(1), 1000);
                        check(queue.runningLongCount() == 0);
                        queue.onProgress(attempt(1), 1001);
                        check(queue.runningLongCount() == 1 && !queue.startNext(start));
                        queue.onFinished(attempt(1), 1500);
                        check(queue.runningLongCount() == 0 && queue.startNext(start)->attempt_ == attempt(2));
                    }),
                // Guards against head-of-line blocking beyond the target of a fifth of arrival order's wait.
                test("so that short ones wait at most a fifth of their wait in arrival order",
                    [] {
                        const auto baseline = shortWait(FirstInFirstOut {});
                        const auto lanes = shortWait(orderUnderTest);
                        check(baseline > 0 && 5 * lanes <= baseline,
                            "p99 wait " + std::to_string(lanes) + " ms against " + std::to_string(baseline) + " ms");
                    }),
            }),
    }};

} // namespace
