#include "jasminewood/election/fencing_token.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::election;
using testkit::check;
using testkit::section;
using testkit::test;

constexpr auto wallClock = Milliseconds(1'767'225'600'000);
constexpr auto ofWallClock = std::uint64_t(1'767'225'600'000'000);

const testkit::TestSuite suite = {"fencing tokens of a duty",
    {
        section("that are generated from the wall clock and from earlier tokens",
            {
                // Guards against tokens that go back with the store.
                test("follow the wall clock where it is ahead",
                    [] {
                        const auto token = nextFencingToken({.highestSeen_ = 12, .wallClock_ = wallClock}, "r1");
                        check(token >= ofWallClock && token < ofWallClock + tokensPerMillisecond);
                    }),
                // Guards against a router whose clock is behind that of the holder before.
                test("exceed each token that was seen",
                    [] {
                        const auto seen = ofWallClock + 999'999;
                        check(nextFencingToken({.highestSeen_ = seen, .wallClock_ = wallClock}, "r1") > seen);
                    }),
                // Guards against a router that the platform refuses for ever.
                test("exceed a refused token by the step",
                    [] {
                        const auto token
                            = nextFencingToken({.highestRefused_ = ofWallClock, .wallClock_ = wallClock}, "r1");
                        check(token >= ofWallClock + stepAfterRefusal);
                    }),
                // Guards against two candidates that know different eras of the store and choose one token.
                test("differ between routers",
                    [] {
                        const auto basis = TokenBasis {.wallClock_ = wallClock};
                        check(nextFencingToken(basis, "r1") != nextFencingToken(basis, "r2"));
                    }),
            }),
    }};

} // namespace
