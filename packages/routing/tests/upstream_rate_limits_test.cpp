#include "jasminewood/routing/upstream_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

namespace
{

const auto start = TimePoint(Milliseconds(1'000'000'000));
const auto upstream = NodeId {.name_ = "u", .incarnation_ = 7};
const auto alone = RouterFleet {.self_ = "r0"};
constexpr auto stepTime = 10ms;
// The operators' bound holds in each such window, from the reaction time on, for routers that were told so long before.
constexpr auto window = 4'000ms;
constexpr auto reactionTime = 3'000ms;
constexpr auto toldTime = 500ms;

// Returns limits that the upstream has named at the given time.
auto named(double perSecond, TimePoint now) -> UpstreamRateLimits
{
    auto limits = UpstreamRateLimits();
    limits.recordStatement(upstream, RateLimit {.perSecond_ = perSecond}, now - 50ms, now);
    return limits;
}

auto isAllowed(const UpstreamRateLimits &limits, TimePoint now) -> bool
{
    return limits.timeUntilAllowed(upstream, alone, now) == 0ms;
}

// Simulates routers that send as many requests as they may to one upstream, which names limits that change. Responses
// overtake each other, reports are lost and late, and routers restart. Checks the operators' bound in each window.
class RandomFleet
{
public:
    RandomFleet(std::uint32_t seed, std::size_t routers)
        : random_(seed)
        , routers_(routers)
        , toldAt_(routers)
    {
    }

    // Names this limit for some time, and then none. Returns whether the bound was kept.
    auto keepsLimit(double perSecond) -> bool
    {
        limit_ = perSecond;
        const auto namedAt = now_;
        for (auto step = 0; step < 1'500; ++step) {
            runStep(step);
        }
        const auto judgedFrom = namedAt + reactionTime;
        limit_ = -1;
        return mostInWindow(judgedFrom) <= std::size_t(1.5 * perSecond * 4 + 5);
    }

    // Runs without a limit. Returns whether requests are sent freely again by the end.
    auto recovers() -> bool
    {
        for (auto step = 0; step < 3'000; ++step) {
            runStep(step);
        }
        return std::all_of(routers_.begin(), routers_.end(), [](const auto &limits) {
            return !limits.limitOf(upstream);
        });
    }

private:
    struct Response
    {
        TimePoint dueAt_;
        std::size_t router_;
        TimePoint sentAt_;
        double limit_;
    };

    struct Report
    {
        TimePoint dueAt_;
        std::size_t router_;
        std::vector<RateLimitReport> reports_;
    };

    auto randomBelow(std::uint32_t limit) -> std::uint32_t
    {
        return std::uint32_t(random_() % limit);
    }

    auto fleetOf(std::size_t router) const -> RouterFleet
    {
        auto others = std::set<std::string>();
        for (auto other = std::size_t(0); other < routers_.size(); ++other) {
            if (other != router) {
                others.insert("r" + std::to_string(other));
            }
        }
        return {.self_ = "r" + std::to_string(router), .others_ = others};
    }

    auto runStep(int step) -> void
    {
        now_ += stepTime;
        deliver();
        for (auto router = std::size_t(0); router < routers_.size(); ++router) {
            const auto fleet = fleetOf(router);
            const auto isDue = randomBelow(std::uint32_t(routers_.size())) == 0;
            if (isDue && routers_[router].timeUntilAllowed(upstream, fleet, now_) == 0ms) {
                routers_[router].recordRequest(upstream, fleet, now_);
                // The bound counts the requests of routers that were told some time before.
                if (toldAt_[router] && now_ - *toldAt_[router] >= toldTime) {
                    arrivals_.push_back(now_);
                }
                responses_.push_back({now_ + Milliseconds(5 + randomBelow(200)), router, now_, limit_});
            }
            if (step % 100 == 0) {
                report(router);
            }
        }
        if (step % 700 == 699) {
            const auto restarted = randomBelow(std::uint32_t(routers_.size()));
            routers_[restarted] = UpstreamRateLimits();
            toldAt_[restarted].reset();
        }
    }

    auto report(std::size_t router) -> void
    {
        const auto reports = routers_[router].reports(now_);
        for (auto other = std::size_t(0); other < routers_.size() && !reports.empty(); ++other) {
            const auto isLost = randomBelow(4) == 0;
            if (other != router && !isLost) {
                reports_.push_back({now_ + Milliseconds(randomBelow(300)), other, reports});
            }
        }
    }

    auto deliver() -> void
    {
        std::erase_if(responses_, [this](const Response &response) {
            if (response.dueAt_ > now_) {
                return false;
            }
            const auto statement
                = response.limit_ < 0 ? RateLimitStatement(NoRateLimit {}) : RateLimit {.perSecond_ = response.limit_};
            if (response.limit_ >= 0 && !toldAt_[response.router_]) {
                toldAt_[response.router_] = now_;
            }
            if (routers_[response.router_].recordStatement(upstream, statement, response.sentAt_, now_)) {
                report(response.router_);
            }
            return true;
        });
        std::erase_if(reports_, [this](const Report &report) {
            if (report.dueAt_ > now_) {
                return false;
            }
            routers_[report.router_].merge(report.reports_, now_);
            return true;
        });
    }

    auto mostInWindow(TimePoint from) const -> std::size_t
    {
        auto most = std::size_t(0);
        for (auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from); first != arrivals_.end();
             ++first) {
            const auto end = std::upper_bound(first, arrivals_.end(), *first + window);
            most = std::max(most, std::size_t(end - first));
        }
        return most;
    }

    std::mt19937 random_;
    std::vector<UpstreamRateLimits> routers_;
    // When each router first got a response that named a limit, since its start.
    std::vector<std::optional<TimePoint>> toldAt_;
    TimePoint now_ = start;
    // Negative if the upstream names none.
    double limit_ = -1;
    std::vector<TimePoint> arrivals_;
    std::vector<Response> responses_;
    std::vector<Report> reports_;
};

const testkit::TestSuite suite = {"the rate limits of upstreams",
    {
        section("for one router",
            {
                // Guards against an upstream in need that gets requests at once when its limit is learned.
                test("let one request pass after its time, and then one after the other",
                    [] {
                        auto limits = named(2, start);
                        check(!isAllowed(limits, start + 499ms));
                        check(isAllowed(limits, start + 500ms));
                        limits.recordRequest(upstream, alone, start + 500ms);
                        check(limits.timeUntilAllowed(upstream, alone, start + 600ms) == 400ms);
                        check(isAllowed(limits, start + 1'000ms));
                    }),
                // Guards against a burst after a pause.
                test("save up no more than a moment's requests",
                    [] {
                        auto limits = named(2, start);
                        limits.recordRequest(upstream, alone, start + 60s);
                        check(!isAllowed(limits, start + 60s));
                    }),
                // Guards against a limit that outlives the process that named it.
                test("concern one incarnation of the upstream",
                    [] {
                        const auto limits = named(2, start);
                        const auto restarted = NodeId {.name_ = "u", .incarnation_ = 8};
                        check(limits.timeUntilAllowed(restarted, alone, start) == 0ms);
                    }),
                // Guards against an upstream that is never asked again, and so cannot end its limit.
                test("let a request pass now and then if the limit is 0",
                    [] {
                        const auto limits = named(0, start);
                        check(!isAllowed(limits, start + 9s));
                        check(isAllowed(limits, start + 10s));
                    }),
            }),
        section("that end",
            {
                // Guards against a limit that goes on for ever.
                test("do so with a response without one to a request that was sent after it was named",
                    [] {
                        auto limits = named(1, start);
                        check(limits.recordStatement(upstream, NoRateLimit {}, start + 10ms, start + 60ms));
                        check(isAllowed(limits, start + 60ms));
                    }),
                // Guards against a limit that ends with an older response, which was overtaken.
                test("do not do so with a response to an earlier request, or one that names something unreadable",
                    [] {
                        auto limits = named(1, start);
                        check(!limits.recordStatement(upstream, NoRateLimit {}, start - 10ms, start + 10ms));
                        check(!limits.recordStatement(upstream, UnreadableRateLimit {}, start + 10ms, start + 60ms));
                        check(!isAllowed(limits, start + 60ms));
                    }),
                // Guards against a router that does not hear of the end, and against an end that is forgotten because
                // an older word of another router comes later.
                test("do so at the other routers too, whichever report comes first",
                    [] {
                        auto first = named(1, start);
                        auto second = named(1, start - 1s);
                        first.recordStatement(upstream, NoRateLimit {}, start + 10ms, start + 60ms);
                        const auto older = second.reports(start + 70ms);
                        second.merge(first.reports(start + 60ms), start + 70ms);
                        check(!second.limitOf(upstream));
                        first.merge(older, start + 80ms);
                        check(!first.limitOf(upstream));
                    }),
            }),
        section("shared by several routers",
            {
                // Guards against a small limit of which each of many routers uses a first request.
                test("are divided among a few of them if the parts were too small",
                    [] {
                        auto senders = 0;
                        auto all = std::set<std::string>();
                        for (auto index = 0; index < 300; ++index) {
                            all.insert("r" + std::to_string(index));
                        }
                        const auto limits = named(3, start);
                        for (const auto &self : all) {
                            auto others = all;
                            others.erase(self);
                            const auto wait
                                = limits.timeUntilAllowed(upstream, {.self_ = self, .others_ = others}, start);
                            senders += wait ? 1 : 0;
                            check(!wait || wait == 2'000ms);
                        }
                        check(senders == 6);
                    }),
                // Guards against an upstream that gets more than it named, with reports lost and late, responses that
                // overtake each other and routers that restart, and against a limit that does not end everywhere.
                property("are kept in each window, and forgotten when the upstream names none",
                    [] {
                        const auto routers = std::size_t(*rc::gen::inRange(1, 8));
                        auto fleet = RandomFleet(*rc::gen::arbitrary<std::uint32_t>(), routers);
                        for (const auto limit : {1.0, 0.3, 8.0}) {
                            RC_ASSERT(fleet.keepsLimit(limit));
                            RC_ASSERT(fleet.recovers());
                        }
                    }),
            }),
    }};

} // namespace
