#include "jasminewood/duties/duty_rank.h"

#include <algorithm>

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::duties;
using testkit::check;
using testkit::section;
using testkit::test;

auto routerNames(int count) -> std::set<std::string>
{
    auto names = std::set<std::string>();
    for (auto index = 0; index < count; ++index) {
        names.insert("front-" + std::to_string(index));
    }
    return names;
}

const testkit::TestSuite suite = {"the rank of routers for a duty",
    {
        section("of many routers",
            {
                // Guards against a change of all successors when one router ends.
                test("stays in order when one of them ends",
                    [] {
                        auto names = routerNames(20);
                        auto expected = rankRouters("usage_reporting", names);
                        const auto ended = expected[3];
                        expected.erase(expected.begin() + 3);
                        names.erase(ended);
                        check(rankRouters("usage_reporting", names) == expected);
                    }),
                // Guards against a duty without holder for long, and against many candidates at a time.
                test("gives each a delay of at most three seconds",
                    [] {
                        const auto names = routerNames(20);
                        const auto ranked = rankRouters("usage_reporting", names);
                        check(candidacyDelay("usage_reporting", names, ranked[0]) == Milliseconds(0));
                        check(candidacyDelay("usage_reporting", names, ranked[2]) == Milliseconds(600));
                        check(candidacyDelay("usage_reporting", names, ranked[19]) == maximumCandidacyDelay);
                    }),
            }),
    }};

} // namespace
