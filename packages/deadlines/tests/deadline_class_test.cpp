#include "jasminewood/deadlines/deadline_class.h"

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::deadlines;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite suite = {"a request at a busy engine",
    {
        section("classified by its deadlines",
            {
                // Guards against a request that is taken for late although it can meet its target, and the reverse.
                test("is in time while its first token can come by the target",
                    [] {
                        const auto left = TimeLeft {.untilDue_ = 500ms, .untilTimeout_ = 5s};
                        const auto latest = 500ms - firstTokenMargin;
                        check(classify({.inTime_ = latest, .behindAll_ = 2s}, left) == DeadlineClass(InTime {}));
                        check(classify({.inTime_ = latest + 1ms, .behindAll_ = 2s}, left) == DeadlineClass(Late {}));
                    }),
                // Guards against requests of routes without a target that run behind others.
                test("is in time without a target",
                    [] {
                        check(classify({.inTime_ = 9s, .behindAll_ = 9s}, {.untilTimeout_ = 1s})
                            == DeadlineClass(InTime {}));
                    }),
                // Guards against capacity that is spent on responses after the timeout.
                test("is hopeless if its first token cannot come by the timeout",
                    [] {
                        const auto left = TimeLeft {.untilDue_ = -1s, .untilTimeout_ = 3s};
                        check(classify({.inTime_ = 1s, .behindAll_ = 3s}, left) == DeadlineClass(Late {}));
                        check(classify({.inTime_ = 1s, .behindAll_ = 3'001ms}, left) == DeadlineClass(Hopeless {}));
                    }),
            }),
        section("given an urgency",
            {
                // Guards against late requests that run before those in time of their own rank.
                test("has one level in time and the next one late, with up to five ranks",
                    [] {
                        for (auto rank = 0U; rank < 5; ++rank) {
                            check(engineUrgency(rank, 5, InTime {}) == 2 * rank);
                            check(engineUrgency(rank, 5, Late {}) == 2 * rank + 1);
                            check(engineUrgency(rank, 5, Hopeless {}) == 2 * rank + 1);
                        }
                    }),
                // Guards against an engine that preempts a late request for one of a lower rank.
                property("is never less urgent than a request of a lower rank",
                    [](std::uint8_t first, std::uint8_t second, std::uint8_t count) {
                        const auto ranks = count % urgencyLevels + 1;
                        const auto higher = std::min(first % ranks, second % ranks);
                        const auto lower = std::max(first % ranks, second % ranks);
                        RC_PRE(higher < lower);
                        RC_ASSERT(engineUrgency(higher, ranks, Late {}) < engineUrgency(lower, ranks, InTime {}));
                        RC_ASSERT(engineUrgency(lower, ranks, Late {}) < urgencyLevels);
                    }),
            }),
    }};

} // namespace
