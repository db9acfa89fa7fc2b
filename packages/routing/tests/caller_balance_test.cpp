#include "jasminewood/routing/caller_balance.h"

#include <algorithm>
#include <iterator>

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto interval = Milliseconds(1'000);
constexpr auto now = TimePoint(1'000s);
constexpr auto longReady = TimePoint(1s);
// The error of sums of fractions.
constexpr auto rounding = 1e-6;

auto routers(const std::vector<std::size_t> &connections, TimePoint readySince) -> std::vector<RouterCallers>
{
    auto result = std::vector<RouterCallers>();
    for (const auto count : connections) {
        result.push_back({.connections_ = count, .readySince_ = readySince});
    }
    return result;
}

auto released(std::size_t own, const std::vector<RouterCallers> &others, TimePoint time = now) -> std::size_t
{
    return releaseConnections({.connections_ = own, .readySince_ = longReady}, others, interval, time).connections_;
}

const testkit::TestSuite suite = {"a router with open connections of callers",
    {
        section("that has nearly all of them after the others returned",
            {
                // Guards against one router that keeps the callers of all after a loss of power, and is too short of
                // processor time to read their requests.
                test("releases its surplus within some seconds, but not at once",
                    [] {
                        auto own = std::size_t(120);
                        auto others = std::size_t(10);
                        for (auto second = 0; second < 6; ++second) {
                            const auto count = released(own, routers({others, others, others}, now - 2s));
                            check(count <= own / 2);
                            others += count / 3;
                            own -= count;
                        }
                        check(own < 70, std::to_string(own));
                    }),
                // Guards against connections that are closed although the load balancer chose this router among all.
                test("releases only connections from before their return",
                    [] {
                        auto others = routers({2, 3}, now - 3s);
                        others.push_back({.connections_ = 90, .readySince_ = now - 1s});
                        const auto release = releaseConnections({.connections_ = 120}, others, interval, now);
                        check(release.connections_ > 0 && release.openedBefore_ == now - 2s);
                    }),
                // Guards against callers that reconnect before the load balancer knows of the other routers.
                test("waits until the load balancer sends callers to them",
                    [] {
                        check(released(120, routers({0, 0, 0}, now - 500ms)) == 0);
                        auto others = routers({0, 0}, now - 2s);
                        others.push_back({.connections_ = 30, .readySince_ = now - 500ms});
                        check(released(120, others) == 0);
                        check(released(120, {{}, {}, {}}) == 0);
                    }),
            }),
        section("whose share is uneven for other reasons",
            {
                // Guards against callers that reconnect again and again where data centres have different loads.
                test("releases nothing while all are ready for long",
                    [] {
                        check(released(500, routers({1, 2, 3}, longReady)) == 0);
                    }),
                // Guards against a wave of new connections when one of many routers is restarted.
                test("releases no more than a restarted router lacks",
                    [] {
                        auto others = routers(std::vector<std::size_t>(338, 20), longReady);
                        others.push_back({.connections_ = 0, .readySince_ = now - 2s});
                        const auto count = released(60, others);
                        check(count > 0 && count <= 20, std::to_string(count));
                    }),
                // Guards against one close by each of many routers in each interval, although the others lack little.
                test("releases together with many others no more than the returned ones lack",
                    [] {
                        auto others = routers(std::vector<std::size_t>(59, 60), longReady);
                        const auto small = routers(std::vector<std::size_t>(140, 12), longReady);
                        std::copy(small.begin(), small.end(), std::back_inserter(others));
                        others.push_back({.connections_ = 20, .readySince_ = now - 2s});
                        const auto mean = (60 * 60 + 140 * 12 + 20) / 201.0;
                        check(60.0 * double(released(60, others)) <= mean - 20);
                    }),
                // Guards against closes for a moderate difference, or of the last few connections.
                test("keeps a moderate surplus and few connections",
                    [] {
                        check(released(33, routers({33, 17, 17}, now - 2s)) == 0);
                        check(released(7, routers({0, 0, 0}, now - 2s)) == 0);
                    }),
            }),
        section("beside any others",
            {
                // Guards against routers that release more than the returned ones lack, and so push callers around.
                property("releases together with them at most what the returned ones lack",
                    [](const std::vector<std::uint8_t> &counts, std::uint8_t returned) {
                        auto all = std::vector<RouterCallers>();
                        auto total = std::size_t(0);
                        for (const auto count : counts) {
                            const auto readySince = all.size() < returned ? now - 2s : longReady;
                            all.push_back({.connections_ = count, .readySince_ = readySince});
                            total += count;
                        }
                        auto releasedByAll = 0.0;
                        auto lack = 0.0;
                        for (auto own = std::size_t(0); own < all.size(); ++own) {
                            auto others = std::vector<RouterCallers>();
                            for (auto index = std::size_t(0); index < all.size(); ++index) {
                                if (index != own) {
                                    others.push_back(all[index]);
                                }
                            }
                            const auto count = released(all[own].connections_, others);
                            const auto mean = double(total) / double(all.size());
                            RC_ASSERT(count == 0 || double(all[own].connections_ - count) + 1 > mean);
                            releasedByAll += double(count);
                            lack += own < returned ? std::max(0.0, mean - double(all[own].connections_)) : 0;
                        }
                        RC_ASSERT(releasedByAll <= lack + rounding);
                    }),
            }),
        section("whose reports are lost",
            {
                // Guards against callers that are sent to a router that has failed.
                test("does not count a router that was not heard for three intervals",
                    [] {
                        auto reports = CallerReports();
                        reports.apply("r1", {.connections_ = 1, .readySince_ = now}, now);
                        reports.apply("r1", {.connections_ = 2, .readySince_ = now}, now);
                        reports.apply("r2", {}, now + 2s);
                        check(reports.current(interval, now + 3s).size() == 2);
                        check(reports.current(interval, now + 4s).size() == 1);
                    }),
                // Guards against callers that reconnect twice, since a late report made a router look ready later.
                test("takes the earliest of the times at which a router says to be ready since",
                    [] {
                        auto reports = CallerReports();
                        for (const auto readySince : {now, now + 700ms, now + 200ms}) {
                            reports.apply("r1", {.connections_ = 1, .readySince_ = readySince}, now + 2s);
                            check(reports.current(interval, now + 2s).front().readySince_ == now);
                        }
                        reports.apply("r1", {.readySince_ = now + 9s}, now + 9s);
                        check(reports.current(interval, now + 9s).front().readySince_ == now + 9s);
                    }),
            }),
    }};

} // namespace
