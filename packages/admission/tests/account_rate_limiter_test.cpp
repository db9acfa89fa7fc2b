#include "jasminewood/admission/account_rate_limiter.h"

#include <deque>
#include <vector>

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::admission;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::uint32_t workRate = 1'000;
constexpr std::uint32_t routerCount = 4;
constexpr double burst = workRate;
const auto start = TimePoint() + 1h;

auto router(std::size_t index) -> NodeId
{
    return NodeId {.name_ = std::to_string(index), .incarnation_ = 1};
}

auto limits() -> AccountLimits
{
    return {{"busy", AccountLimit {.workPerSecond_ = workRate}}, {"calm", AccountLimit {.workPerSecond_ = workRate}}};
}

// Routers that tell each other their usage every usageInterval, each at its own phase; messages take usageTransfer.
struct Fleet
{
    struct Message
    {
        std::int64_t due_;
        std::size_t sender_;
        UsageTotals usage_;
    };

    std::vector<AccountRateLimiter> limiters_;
    std::deque<Message> messages_;

    explicit Fleet(std::uint32_t count)
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            limiters_.emplace_back(start);
            limiters_.back().configure(limits(), count, start);
        }
    }

    auto exchange(std::int64_t millisecond) -> void
    {
        const auto now = start + Milliseconds(millisecond);
        for (; !messages_.empty() && messages_.front().due_ <= millisecond; messages_.pop_front()) {
            const auto &message = messages_.front();
            for (std::size_t other = 0; other < limiters_.size(); ++other) {
                if (other != message.sender_) {
                    limiters_[other].mergeUsage(router(message.sender_), message.usage_, now);
                }
            }
        }
        for (std::size_t index = 0; index < limiters_.size(); ++index) {
            if (millisecond % usageSendInterval.count() == static_cast<std::int64_t>(index) * 37) {
                messages_.push_back(
                    {millisecond + usageTransferAllowance.count(), index, limiters_[index].collectUsage(now)});
            }
        }
    }
};

auto limiter(std::uint32_t routers) -> AccountRateLimiter
{
    auto one = AccountRateLimiter(start);
    one.configure(limits(), routers, start);
    return one;
}

const testkit::TestSuite accounts = {"a client account",
    {
        section("that sends more than its limit through all routers",
            {
                // Guards against a limit that holds for each router but not for all together, and against one that
                // takes away what the account is entitled to.
                property("gets its limit, its burst and at most the stated overshoot",
                    [] {
                        const auto count = *rc::gen::inRange<std::uint32_t>(1, 7);
                        const auto shareOfBurst = static_cast<int>(burst) / static_cast<int>(count);
                        const auto costs = *rc::gen::container<std::vector<int>>(16, rc::gen::inRange(1, shareOfBurst));
                        const auto pauses = *rc::gen::container<std::vector<int>>(16, rc::gen::inRange(0, 400));
                        auto fleet = Fleet(count);
                        auto admitted = 0.0;
                        auto busyUntil = std::int64_t(0);
                        for (std::int64_t ms = 0; ms < 5'000; ++ms) {
                            fleet.exchange(ms);
                            // Alternates between demand on every router and pauses, in which buckets fill again.
                            const auto pause = pauses[static_cast<std::size_t>(ms / 700) % pauses.size()];
                            busyUntil = ms % 700 == 0 ? ms + 700 - pause : busyUntil;
                            for (std::size_t index = 0; ms < busyUntil && index < count; ++index) {
                                const auto cost = costs[(static_cast<std::size_t>(ms) + index) % costs.size()];
                                const auto refused = fleet.limiters_[index].admit("busy", cost, start + 1ms * ms);
                                admitted += refused ? 0 : cost;
                            }
                            const auto allowed
                                = workRate * double(ms) / 1'000 + burst + overshootBound(workRate, count);
                            RC_ASSERT(admitted <= allowed + 1e-3);
                        }
                    }),
                // Guards against a limit that is divided by the number of routers.
                test("gets its whole limit through one router of several",
                    [] {
                        auto fleet = Fleet(routerCount);
                        auto admitted = 0;
                        for (std::int64_t ms = 0; ms < 10'000; ++ms) {
                            fleet.exchange(ms);
                            admitted += fleet.limiters_[0].admit("busy", 10, start + 1ms * ms) ? 0 : 10;
                        }
                        check(admitted >= 10 * int(workRate));
                    }),
                // Guards against callers that retry too early or never.
                test("is refused as not run with the time to wait",
                    [] {
                        auto one = limiter(1);
                        check(!one.admit("busy", workRate, start));
                        const auto failure = one.admit("busy", 100, start);
                        check(failure && failure->runState_ == RunState::NotRun && failure->retryAfter_ == 100ms);
                        check(one.admit("busy", 100, start + 99ms) && !one.admit("busy", 100, start + 100ms));
                    }),
            }),
        section("within its limit while another account bursts",
            {
                // Guards against one account that crowds out the others.
                test("is never refused",
                    [] {
                        auto fleet = Fleet(routerCount);
                        for (std::int64_t ms = 0; ms < 10'000; ++ms) {
                            fleet.exchange(ms);
                            for (auto &one : fleet.limiters_) {
                                one.admit("busy", 200, start + 1ms * ms);
                            }
                            if (ms % 100 == 0) {
                                auto &entry = fleet.limiters_[static_cast<std::size_t>(ms / 100) % routerCount];
                                check(!entry.admit("calm", workRate / 10, start + 1ms * ms));
                            }
                        }
                    }),
            }),
        section("whose output length was estimated wrongly",
            {
                // Guards against accounts that pay for tokens they did not get, or get tokens they did not pay for.
                test("pays for the actual length here and at the other routers",
                    [] {
                        auto one = limiter(1);
                        check(!one.admit("busy", workRate, start));
                        one.adjustWork("busy", workRate, workRate / 2);
                        check(!one.admit("busy", workRate / 2, start));
                        one.adjustWork("busy", workRate / 2, workRate);
                        check(one.collectUsage(start).at("busy").work_ == workRate + workRate / 2);
                        check(one.admit("busy", 1, start)->retryAfter_ == 501ms);
                    }),
                // Guards against the cost of a long answer that the other routers never hear of.
                test("is told to the others even if the request was admitted long ago",
                    [] {
                        auto one = limiter(1);
                        one.admit("busy", 100, start);
                        one.collectUsage(start);
                        check(one.collectUsage(start + 2 * usageResendTime).empty());
                        one.adjustWork("busy", 100, 700);
                        check(one.collectUsage(start + 3 * usageResendTime).at("busy").work_ == 700);
                    }),
                // Guards against totals that a merge by maximum would ignore.
                test("never publishes a smaller total",
                    [] {
                        auto one = limiter(1);
                        one.admit("busy", 600, start);
                        one.adjustWork("busy", 600, 100);
                        one.admit("busy", 300, start);
                        check(one.collectUsage(start).at("busy") == AccountUsage {.requests_ = 2, .work_ = 600});
                    }),
            }),
    }};

const testkit::TestSuite exchanges = {"usage from another router",
    {
        section("that is lost, repeated or reordered",
            {
                // Guards against usage that is counted twice or taken back.
                test("counts once, by its maximum",
                    [] {
                        auto one = limiter(2);
                        const auto later = start + 2s;
                        for (const auto total : {100, 400, 100, 400}) {
                            const auto work = static_cast<std::uint64_t>(total);
                            one.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = work}}}, later);
                        }
                        check(!one.admit("busy", 500, later));
                        check(one.admit("busy", 500, later)->retryAfter_ == 500ms);
                        check(!one.admit("busy", 500, later + 500ms));
                    }),
            }),
        section("that gathered before this router started or lost contact",
            {
                // Guards against accounts that are refused for long after a router restarts or a partition ends.
                test("delays the account by seconds at most",
                    [] {
                        auto one = limiter(2);
                        one.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 1'000'000}}}, start);
                        check(!one.admit("busy", 500, start));
                        one.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 9'000'000}}}, start + 60s);
                        check(one.admit("busy", 1, start + 60s)->retryAfter_ < 3s);
                    }),
            }),
        section("that stopped long ago",
            {
                // Guards against memory that grows with every restart of another router.
                test("is forgotten",
                    [] {
                        auto one = limiter(2);
                        one.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 1}}}, start);
                        check(one.remoteEntryCount() == 1);
                        one.mergeUsage(router(2), {}, start + 2 * remoteUsageTtl);
                        check(one.remoteEntryCount() == 0);
                        one.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 1}}}, start);
                        one.configure({}, 2, start);
                        check(one.remoteEntryCount() == 0 && !one.admit("busy", 1, start));
                    }),
            }),
    }};

} // namespace
