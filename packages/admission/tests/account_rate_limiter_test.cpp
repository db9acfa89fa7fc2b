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

// Routers that send each other their usage every usageSendInterval, each with its own offset. Messages arrive after
// usageTransferAllowance.
struct Fleet
{
    struct UsageMessage
    {
        std::int64_t arrivalMillisecond_;
        std::size_t sender_;
        UsageTotals usage_;
    };

    std::vector<AccountRateLimiter> limiters_;
    std::deque<UsageMessage> messages_;

    explicit Fleet(std::uint32_t count)
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            limiters_.emplace_back(start);
            limiters_.back().configure(limits(), count, start);
        }
    }

    auto exchangeUsage(std::int64_t millisecond) -> void
    {
        const auto now = start + Milliseconds(millisecond);
        for (; !messages_.empty() && messages_.front().arrivalMillisecond_ <= millisecond; messages_.pop_front()) {
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

auto configuredLimiter(std::uint32_t routers) -> AccountRateLimiter
{
    auto limiter = AccountRateLimiter(start);
    limiter.configure(limits(), routers, start);
    return limiter;
}

const testkit::TestSuite accounts = {"a client account",
    {
        section("that sends more than its limit through all routers",
            {
                // Guards against a limit that is enforced for each router but not for all together.
                property("is limited to its rate, its burst and the stated overshoot",
                    [] {
                        const auto count = *rc::gen::inRange<std::uint32_t>(1, 7);
                        const auto shareOfBurst = static_cast<int>(burst) / static_cast<int>(count);
                        const auto costs = *rc::gen::container<std::vector<int>>(16, rc::gen::inRange(1, shareOfBurst));
                        const auto pauses = *rc::gen::container<std::vector<int>>(16, rc::gen::inRange(0, 400));
                        auto fleet = Fleet(count);
                        auto admitted = 0.0;
                        auto busyUntil = std::int64_t(0);
                        for (std::int64_t ms = 0; ms < 5'000; ++ms) {
                            fleet.exchangeUsage(ms);
                            // Alternates between requests to every router and pauses, in which the buckets refill.
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
                test("gets its whole limit if it uses only one of several routers",
                    [] {
                        auto fleet = Fleet(routerCount);
                        auto admitted = 0;
                        for (std::int64_t ms = 0; ms < 10'000; ++ms) {
                            fleet.exchangeUsage(ms);
                            admitted += fleet.limiters_[0].admit("busy", 10, start + 1ms * ms) ? 0 : 10;
                        }
                        check(admitted >= 10 * int(workRate));
                    }),
                // Guards against a wrong or missing retry time, with which callers retry too early or never.
                test("is rejected as not run with the time to retry after",
                    [] {
                        auto limiter = configuredLimiter(1);
                        check(!limiter.admit("busy", workRate, start));
                        const auto failure = limiter.admit("busy", 100, start);
                        check(failure && failure->runState_ == RunState::NotRun && failure->retryAfter_ == 100ms);
                        check(limiter.admit("busy", 100, start + 99ms) && !limiter.admit("busy", 100, start + 100ms));
                    }),
            }),
        section("within its limit while another account bursts",
            {
                // Guards against one account that crowds out the others.
                test("is never rejected",
                    [] {
                        auto fleet = Fleet(routerCount);
                        for (std::int64_t ms = 0; ms < 10'000; ++ms) {
                            fleet.exchangeUsage(ms);
                            for (auto &limiter : fleet.limiters_) {
                                limiter.admit("busy", 200, start + 1ms * ms);
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
                // Guards against accounts that are charged for tokens that were not generated, or not charged for
                // tokens that were.
                test("is charged for the actual length here and at the other routers",
                    [] {
                        auto limiter = configuredLimiter(1);
                        check(!limiter.admit("busy", workRate, start));
                        limiter.adjustWork("busy", workRate, workRate / 2);
                        check(!limiter.admit("busy", workRate / 2, start));
                        limiter.adjustWork("busy", workRate / 2, workRate);
                        check(limiter.collectUsage(start).at("busy").work_ == workRate + workRate / 2);
                        check(limiter.admit("busy", 1, start)->retryAfter_ == 501ms);
                    }),
                // Guards against a correction that is not sent because the account had no change for usageResendTime.
                test("is reported to the other routers even if the request was admitted long ago",
                    [] {
                        auto limiter = configuredLimiter(1);
                        limiter.admit("busy", 100, start);
                        limiter.collectUsage(start);
                        check(limiter.collectUsage(start + 2 * usageResendTime).empty());
                        limiter.adjustWork("busy", 100, 700);
                        check(limiter.collectUsage(start + 3 * usageResendTime).at("busy").work_ == 700);
                    }),
                // Guards against decreasing totals, which receivers would ignore because they keep the maximum.
                test("never reports a smaller total",
                    [] {
                        auto limiter = configuredLimiter(1);
                        limiter.admit("busy", 600, start);
                        limiter.adjustWork("busy", 600, 100);
                        limiter.admit("busy", 300, start);
                        check(limiter.collectUsage(start).at("busy") == AccountUsage {.requests_ = 2, .work_ = 600});
                    }),
            }),
    }};

const testkit::TestSuite exchanges = {"usage from another router",
    {
        section("that is lost, repeated or reordered",
            {
                // Guards against usage that is debited twice or credited back.
                test("is debited once, by its maximum",
                    [] {
                        auto limiter = configuredLimiter(2);
                        const auto now = start + 2s;
                        for (const auto total : {100, 400, 100, 400}) {
                            const auto work = static_cast<std::uint64_t>(total);
                            limiter.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = work}}}, now);
                        }
                        check(!limiter.admit("busy", 500, now));
                        check(limiter.admit("busy", 500, now)->retryAfter_ == 500ms);
                        check(!limiter.admit("busy", 500, now + 500ms));
                    }),
            }),
        section("that accumulated before this router started or during a network partition",
            {
                // Guards against accounts that are rejected for long after a router restarts or a partition ends.
                test("delays the account by seconds at most",
                    [] {
                        auto limiter = configuredLimiter(2);
                        limiter.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 1'000'000}}}, start);
                        check(!limiter.admit("busy", 500, start));
                        limiter.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 9'000'000}}}, start + 60s);
                        check(limiter.admit("busy", 1, start + 60s)->retryAfter_ < 3s);
                    }),
            }),
        section("that has not changed for a long time",
            {
                // Guards against memory that grows with every restart of another router.
                test("is discarded",
                    [] {
                        auto limiter = configuredLimiter(2);
                        limiter.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 1}}}, start);
                        check(limiter.remoteEntryCount() == 1);
                        limiter.mergeUsage(router(2), {}, start + 2 * remoteUsageTtl);
                        check(limiter.remoteEntryCount() == 0);
                        limiter.mergeUsage(router(1), {{"busy", AccountUsage {.work_ = 1}}}, start);
                        limiter.configure({}, 2, start);
                        check(limiter.remoteEntryCount() == 0 && !limiter.admit("busy", 1, start));
                    }),
            }),
    }};

} // namespace
