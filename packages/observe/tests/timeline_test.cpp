#include "jasminewood/observe/timeline.h"
#include "jasminewood/testkit/property.h"

#include <limits>
#include <thread>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto maximumMicros = std::numeric_limits<std::int64_t>::max();

const testkit::TestSuite suite = {"a timeline",
    {
        section("that several threads record to",
            {
                // Guards against missing or duplicate sequence numbers, on which the merge relies.
                test("keeps the newest events in sequence",
                    [] {
                        constexpr int threadCount = 3;
                        auto timeline = observe::Timeline(NodeId {.name_ = "a", .incarnation_ = 1});
                        auto threads = std::vector<std::thread>();
                        for (auto index = 0; index < threadCount; ++index) {
                            threads.emplace_back([&timeline] {
                                for (auto count = std::size_t(0); count < observe::timelineCapacity; ++count) {
                                    timeline.record({.request_ = "r", .step_ = "s"});
                                }
                            });
                        }
                        for (auto &thread : threads) {
                            thread.join();
                        }
                        const auto events = timeline.selectSpan(0, maximumMicros);
                        check(events.size() == observe::timelineCapacity);
                        check(events.back().sequence_ == threadCount * observe::timelineCapacity);
                        for (auto index = std::size_t(1); index < events.size(); ++index) {
                            check(events[index].sequence_ == events[index - 1].sequence_ + 1);
                        }
                    }),
            }),
        section("that is queried",
            {
                // Guards against events of other requests and against a span whose end is off by one.
                test("selects by request or by time",
                    [] {
                        auto timeline = observe::Timeline(NodeId {.name_ = "a", .incarnation_ = 1});
                        timeline.record(
                            {.request_ = "r1", .attempt_ = 1, .step_ = observe::dispatchStep, .peer_ = "b"});
                        timeline.record({.request_ = "r2", .step_ = "shed"});
                        const auto events = timeline.select("r1");
                        check(events.size() == 1 && events[0].process_ == "a@1" && events[0].peer_ == "b");
                        const auto time = events[0].wallMicros_;
                        check(timeline.selectSpan(0, time).empty());
                        check(!timeline.selectSpan(time, time + 1).empty());
                    }),
            }),
        section("sent as JSON",
            {
                // Guards against events that change in serialisation.
                property("is parsed back unchanged",
                    [](std::int64_t wall, std::uint64_t sequence, std::uint32_t attempt) {
                        const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
                        const auto events = std::vector<observe::TimelineEvent> {{.wallMicros_ = wall,
                            .process_ = text,
                            .sequence_ = sequence,
                            .request_ = "r",
                            .attempt_ = attempt,
                            .step_ = "s",
                            .peer_ = text,
                            .detail_ = "d"}};
                        const auto read = observe::eventsFromJson(observe::toJson(events));
                        RC_ASSERT(bool(read));
                        RC_ASSERT(*read == events);
                    }),
                // Guards against an exception on a peer's malformed response.
                test("returns a failure on malformed text",
                    [] {
                        for (const auto *text : {"", "{}", "[{}]", "[1]", "[{\"wall_micros\":\"x\"}]"}) {
                            check(!observe::eventsFromJson(text));
                        }
                    }),
            }),
    }};

} // namespace
