#include "jasminewood/routing/response_memory.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::size_t maximum = 1'000;

const testkit::TestSuite suite = {"the memory of responses",
    {
        section("of one upstream",
            {
                test("is half of all at most",
                    [] {
                        auto memory = ResponseMemory(maximum);
                        check(memory.tryHold("a", 500) && !memory.tryHold("a", 1));
                        memory.release("a", 200);
                        check(memory.tryHold("a", 200) && memory.heldBytes() == 500);
                    }),
                test("is free again once it is released",
                    [] {
                        auto memory = ResponseMemory(maximum);
                        check(memory.tryHold("a", 400));
                        memory.release("a", 400);
                        memory.release("b", 400);
                        check(memory.heldBytes() == 0 && memory.tryHold("b", 500));
                    }),
            }),
        section("beside an upstream that sends without end",
            {
                // Guards against sound responses that fail because of another upstream's bytes.
                test("is still given to the others, and no more to that one",
                    [] {
                        auto memory = ResponseMemory(maximum);
                        check(memory.tryHold("faulty", 450));
                        check(memory.tryHold("sound", 300));
                        check(!memory.tryHold("faulty", 1));
                        check(memory.tryHold("sound", 100) && !memory.tryHold("sound", 100));
                        check(memory.tryHold("third", 1));
                    }),
            }),
        section("of any upstreams",
            {
                // Guards against a process that is killed for its memory.
                property("never exceeds the limit, and is all free again in the end",
                    [](const std::vector<std::tuple<std::uint8_t, std::uint16_t, bool>> &steps) {
                        auto memory = ResponseMemory(maximum);
                        auto held = std::map<std::string, std::size_t>();
                        for (const auto &[number, size, takes] : steps) {
                            const auto upstream = std::to_string(number % 4);
                            const auto bytes = takes ? size % 400U : std::min<std::size_t>(size, held[upstream]);
                            if (!takes) {
                                memory.release(upstream, bytes);
                                held[upstream] -= bytes;
                            } else if (memory.tryHold(upstream, bytes)) {
                                held[upstream] += bytes;
                            }
                            RC_ASSERT(memory.heldBytes() <= maximum);
                        }
                        for (const auto &[upstream, bytes] : held) {
                            memory.release(upstream, bytes);
                        }
                        RC_ASSERT(memory.heldBytes() == 0U);
                    }),
            }),
    }};

} // namespace
