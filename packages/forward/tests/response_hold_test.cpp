#include "jasminewood/forward/response_hold.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::size_t maximum = 2'000'000;

const testkit::TestSuite suite = {"the memory of one response",
    {
        section("that is refused more",
            {
                // Guards against responses that are all cut off at once, since none makes room before the next one
                // asks.
                test("makes room for the next one at once",
                    [] {
                        const auto memory = std::make_shared<SharedResponseMemory>(maximum);
                        auto first = ResponseHold(memory, "a");
                        auto second = ResponseHold(memory, "a");
                        check(first.tryResize(500'000) && second.tryResize(500'000));
                        check(!first.tryResize(900'000));
                        check(second.tryResize(900'000));
                    }),
            }),
        section("that ends",
            {
                test("is free again",
                    [] {
                        const auto memory = std::make_shared<SharedResponseMemory>(maximum);
                        {
                            auto ended = ResponseHold(memory, "a");
                            check(ended.tryResize(1'000'000));
                        }
                        auto next = ResponseHold(memory, "a");
                        check(next.tryResize(1'000'000) && next.tryResize(0) && next.tryResize(1'000'000));
                    }),
                // Guards against a lock and a refusal for usual responses.
                test("does not count if it is small",
                    [] {
                        const auto memory = std::make_shared<SharedResponseMemory>(maximum);
                        auto large = ResponseHold(memory, "a");
                        auto small = ResponseHold(memory, "a");
                        check(large.tryResize(1'000'000));
                        check(small.tryResize(uncountedResponseBytes) && !small.tryResize(uncountedResponseBytes + 1));
                    }),
            }),
    }};

} // namespace
