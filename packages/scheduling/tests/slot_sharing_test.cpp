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

const auto quote = RequestKind {};
const auto batch = RequestKind {.requestClass_ = "batch", .tier_ = 3};

// Time within which every class must complete work (design, section 4).
constexpr Milliseconds progressWindow = Milliseconds(5000);

// Started work of one class, and its longest time between two starts.
struct ClassProgress
{
    double startedWork_ = 0;
    TimePoint lastStart_;
    Milliseconds longestGap_ = Milliseconds(0);

    auto recordStart(const QueueEntry &entry, TimePoint now) -> void
    {
        startedWork_ += entry.costEstimate_;
        updateLongestGap(now);
        lastStart_ = now;
    }

    auto updateLongestGap(TimePoint now) -> void
    {
        longestGap_ = std::max(longestGap_, std::chrono::duration_cast<Milliseconds>(now - lastStart_));
    }
};

// Keeps the queue full of quote requests, with batch requests queued, for this time. Returns the progress of each
// class.
auto saturate(SimulatedUpstream &upstream, Milliseconds duration, std::uint32_t quoteCost, std::uint32_t batchCost)
    -> std::map<std::string, ClassProgress>
{
    auto progressByClass = std::map<std::string, ClassProgress>();
    progressByClass["quote"].lastStart_ = progressByClass["batch"].lastStart_ = upstream.now();
    static auto number = 1'000'000;
    auto quoteKind = quote;
    quoteKind.costEstimate_ = quoteCost;
    auto batchKind = batch;
    batchKind.costEstimate_ = batchCost;
    for (auto elapsed = Milliseconds(0); elapsed < duration; elapsed += Milliseconds(1)) {
        for (auto enqueued = 0; enqueued < 25 && upstream.enqueue(++number, quoteKind, quoteCost); ++enqueued) {}
        upstream.enqueue(++number, batchKind, batchCost);
        upstream.advanceOneMillisecond([&](const QueueEntry &entry) {
            progressByClass[entry.requestClass_].recordStart(entry, upstream.now());
        });
    }
    for (auto &[name, progress] : progressByClass) {
        progress.updateLongestGap(upstream.now());
    }
    return progressByClass;
}

// Returns the 99th percentile of the queueing time in milliseconds of short requests in a mix with long ones.
auto p99ShortWait(const QueueDiscipline &discipline) -> std::int64_t
{
    constexpr auto requests = 2000;
    auto schedulerPolicy = policy(8, 4000);
    auto upstream = SimulatedUpstream(schedulerPolicy, discipline);
    auto waits = std::vector<std::int64_t>();
    auto longRequest
        = RequestKind {.requestClass_ = "quote", .account_ = "scans", .costEstimate_ = 5000, .expectedLong_ = true};
    for (auto number = 0; number < requests; ++number) {
        // Long requests arrive in bursts of 10 and use half of the upstream's capacity on average.
        const auto isLong = number % 200 < 10;
        upstream.enqueue(number, isLong ? longRequest : quote, isLong ? 5000 : 100);
        for (auto millisecond = 0; millisecond < 70; ++millisecond) {
            upstream.advanceOneMillisecond([&](const QueueEntry &entry) {
                if (!entry.expectedLong_) {
                    waits.push_back((upstream.now() - entry.enqueuedAt_) / Milliseconds(1));
                }
            });
        }
    }
    check(upstream.scheduler().queuedCount() == 0, "entries are still queued at the end");
    std::sort(waits.begin(), waits.end());
    return waits.at(waits.size() * 99 / 100);
}

const testkit::TestSuite suite = {"an attempt scheduler shares its slots",
    {
        section("between classes while a higher tier saturates it",
            {
                // Guards against starvation of a class with a minimum share.
                property("so that a class with a minimum share starts work in every window",
                    [] {
                        const auto share = *rc::gen::element(0.05, 0.1, 0.2);
                        const auto quoteCost = *rc::gen::inRange<std::uint32_t>(50, 500);
                        const auto batchCost = *rc::gen::inRange<std::uint32_t>(50, 500);
                        auto upstream = SimulatedUpstream(policy(4, 20, share));
                        auto progressByClass = saturate(upstream, Milliseconds(20000), quoteCost, batchCost);
                        // A request that starts at the end of the gap completes after its own duration.
                        RC_ASSERT(progressByClass["batch"].longestGap_ + Milliseconds(batchCost) <= progressWindow);
                    }),
                // Guards against a class that gets more than its minimum share and one request per window.
                test("so that the higher tier gets all work beyond the minimum share",
                    [] {
                        auto upstream = SimulatedUpstream(policy(4, 20, 0.1));
                        auto progressByClass = saturate(upstream, Milliseconds(60000), 100, 100);
                        const auto total
                            = progressByClass["quote"].startedWork_ + progressByClass["batch"].startedWork_;
                        check(progressByClass["batch"].startedWork_ >= 0.1 * total
                            && progressByClass["batch"].startedWork_ <= 0.12 * total);
                    }),
                // Guards against starvation of a class because of work that it started while no other class was queued.
                test("even if the class was alone on the upstream just before",
                    [] {
                        auto upstream = SimulatedUpstream(policy(4, 20, 0.1));
                        auto number = 0;
                        for (auto step = 0; step < 10000; ++step) {
                            upstream.enqueue(++number, batch, 100);
                            upstream.advanceOneMillisecond([](const QueueEntry &) {});
                        }
                        auto progressByClass = saturate(upstream, Milliseconds(20000), 100, 100);
                        check(progressByClass["batch"].longestGap_ + Milliseconds(100) <= progressWindow);
                    }),
            }),
        section("between accounts of one class",
            {
                // Guards against an account whose many or expensive requests crowd out the others.
                property("so that accounts of equal weight get equal work within the cost of one request",
                    [] {
                        const auto accounts = std::vector<std::string> {"a", "b", "c"};
                        constexpr auto largest = std::uint32_t(400);
                        auto scheduler = AttemptScheduler(policy(1, 1000), disciplineUnderTest);
                        auto work = std::map<std::string, double> {{"a", 0}, {"b", 0}, {"c", 0}};
                        for (auto number = 0; number < 180; ++number) {
                            auto kind = quote;
                            // The first account enqueues most requests, before the others; each account has at least
                            // 30.
                            kind.account_ = number < 120 ? "a" : accounts.at(1 + number % 2);
                            kind.costEstimate_ = *rc::gen::inRange<std::uint32_t>(1, largest);
                            scheduler.enqueue(entry(number, kind), start);
                        }
                        for (auto remaining = std::map<std::string, int> {{"a", 120}, {"b", 30}, {"c", 30}};
                             remaining["a"] > 0 && remaining["b"] > 0 && remaining["c"] > 0;) {
                            const auto next = scheduler.startNext(start);
                            const auto actual = *rc::gen::inRange<std::uint32_t>(1, largest);
                            scheduler.onFinished(next->attempt_, actual);
                            --remaining[next->account_];
                            work[next->account_] += actual;
                            const auto [leastWork, mostWork] = std::minmax({work["a"], work["b"], work["c"]});
                            RC_ASSERT(mostWork - leastWork <= largest);
                        }
                    }),
                // Guards against account weights that have no effect.
                test("in proportion to their weights",
                    [] {
                        auto scheduler = AttemptScheduler(policy(1, 1000), disciplineUnderTest);
                        auto started = std::map<std::string, int>();
                        for (auto number = 0; number < 400; ++number) {
                            auto kind = quote;
                            kind.account_ = number < 200 ? "heavy" : "light";
                            kind.accountWeight_ = number < 200 ? 3 : 1;
                            scheduler.enqueue(entry(number, kind), start);
                        }
                        for (auto number = 0; number < 200; ++number) {
                            const auto next = scheduler.startNext(start);
                            scheduler.onFinished(next->attempt_, next->costEstimate_);
                            ++started[next->account_];
                        }
                        check(started["heavy"] >= 149 && started["heavy"] <= 151);
                    }),
            }),
        section("between long and short requests",
            {
                // Guards against long requests that occupy every slot.
                test("so that a short one starts while long ones occupy the whole long lane",
                    [] {
                        auto scheduler = AttemptScheduler(policy(4, 20), disciplineUnderTest);
                        auto scan = quote;
                        scan.expectedLong_ = true;
                        for (auto number = 1; number <= 6; ++number) {
                            scheduler.enqueue(entry(number, scan), start);
                        }
                        scheduler.enqueue(entry(7, quote), start);
                        check(scheduler.startNext(start)->expectedLong_ && scheduler.startNext(start)->expectedLong_);
                        check(scheduler.startNext(start)->attempt_ == attempt(7));
                        check(!scheduler.startNext(start) && scheduler.freeSlotCount() == 1);
                    }),
                // Guards against an unexpectedly long attempt that is not counted as long.
                test("so that an attempt that exceeds the token limit occupies a slot of the long lane",
                    [] {
                        auto scheduler = AttemptScheduler(policy(2, 20), disciplineUnderTest);
                        auto scan = quote;
                        scan.expectedLong_ = true;
                        scheduler.enqueue(entry(1, quote), start);
                        scheduler.enqueue(entry(2, scan), start);
                        scheduler.startNext(start);
                        scheduler.onProgress(attempt(1), 1000);
                        check(scheduler.runningLongCount() == 0);
                        scheduler.onProgress(attempt(1), 1001);
                        check(scheduler.runningLongCount() == 1 && !scheduler.startNext(start));
                        scheduler.onFinished(attempt(1), 1500);
                        check(scheduler.runningLongCount() == 0 && scheduler.startNext(start)->attempt_ == attempt(2));
                    }),
                // Guards against head-of-line blocking beyond the target: a fifth of the p99 queueing time in arrival
                // order.
                test("so that the p99 queueing time of short ones is at most a fifth of that in arrival order",
                    [] {
                        const auto baseline = p99ShortWait(FirstInFirstOut {});
                        const auto tierAndShare = p99ShortWait(disciplineUnderTest);
                        check(baseline > 0 && 5 * tierAndShare <= baseline,
                            "p99 queueing time " + std::to_string(tierAndShare) + " ms against "
                                + std::to_string(baseline) + " ms");
                    }),
            }),
    }};

} // namespace
