#include "jasminewood/relay/source_selector.h"

#include <set>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::relay;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const std::vector<std::string> routers = {"r1", "r2", "r3", "r4", "r5"};

auto peersOf(const std::string &router) -> RouterNames
{
    auto peers = routers;
    std::erase(peers, router);
    return {.sameDataCentre_ = peers};
}

const RouterNames onlyR1 = {.sameDataCentre_ = {"r1"}};
const RouterNames onlyR2 = {.sameDataCentre_ = {"r2"}};

// Returns the router that reads the store, as all routers see it; empty if they disagree.
auto reader(const std::set<std::string> &failed, TimePoint now) -> std::string
{
    auto readers = std::set<std::string>();
    for (const auto &router : routers) {
        auto selector = SourceSelector(router);
        for (const auto &name : failed) {
            selector.recordFailure(name, now);
        }
        if (!failed.contains(router)) {
            readers.insert(selector.choose(peersOf(router), now).value_or(router));
        }
    }
    return readers.size() == 1 ? *readers.begin() : "";
}

const testkit::TestSuite suite = {"routers of one data centre",
    {
        section("that see each other",
            {
                // Guards against calls to the store that grow with the number of routers.
                test("agree on the one that reads the store, also after it failed",
                    [] {
                        const auto first = reader({}, TimePoint(100s));
                        const auto second = reader({first}, TimePoint(100s));
                        check(!first.empty() && !second.empty() && first != second);
                    }),
            }),
        section("whose sources fail again and again",
            {
                // Guards against a router that asks a dead source more often than the store.
                test("avoid them for longer each time, and trust them again after a success",
                    [] {
                        auto selector = SourceSelector("r1");
                        auto now = TimePoint(100s);
                        const auto avoided = [&selector](TimePoint time) {
                            return !selector.choose(onlyR2, time);
                        };
                        const auto ranksHigher = selector.choose(onlyR2, now).has_value();
                        auto other = SourceSelector("r2");
                        check(ranksHigher != other.choose(onlyR1, now).has_value());
                        selector.recordFailure("r2", now);
                        check(avoided(now + minimumAvoidTime - 1ms));
                        check(avoided(now + minimumAvoidTime) != ranksHigher);
                        for (auto failure = 0; failure < 8; ++failure) {
                            selector.recordFailure("r2", now);
                        }
                        check(avoided(now + maximumAvoidTime - 1ms));
                        check(avoided(now + maximumAvoidTime) != ranksHigher);
                        selector.recordSuccess("r2");
                        check(avoided(now) != ranksHigher);
                    }),
                // Guards against a router without any source.
                test("read the store if nobody else is left",
                    [] {
                        auto selector = SourceSelector("r1");
                        selector.recordFailure("r1", TimePoint(100s));
                        check(selector.choose(onlyR2, TimePoint(100s)) == std::optional<std::string>("r2"));
                        selector.recordFailure("r2", TimePoint(100s));
                        check(!selector.choose(onlyR2, TimePoint(100s)));
                    }),
                // Guards against a data centre whose routers refuse their callers because the store turns all of them
                // away, while other data centres are up to date.
                test("follow a router of another data centre only if nobody else is left",
                    [] {
                        const auto now = TimePoint(100s);
                        const auto peers = RouterNames {.sameDataCentre_ = {"r2"}, .elsewhere_ = {"r3"}};
                        auto selector = SourceSelector("r1");
                        check(selector.choose(peers, now) != std::optional<std::string>("r3"));
                        selector.recordFailure("r2", now);
                        check(!selector.choose(peers, now));
                        selector.recordFailure("r1", now);
                        check(selector.choose(peers, now) == std::optional<std::string>("r3"));
                    }),
            }),
    }};

} // namespace
