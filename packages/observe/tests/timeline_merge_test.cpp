#include "jasminewood/observe/timeline_merge.h"
#include "jasminewood/testkit/property.h"

#include <algorithm>
#include <iterator>

using namespace jasminewood;
using jasminewood::observe::TimelineEvent;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto event(std::int64_t micros, const std::string &process, std::uint64_t sequence, std::uint32_t attempt,
    const std::string &step) -> TimelineEvent
{
    return TimelineEvent {.wallMicros_ = micros,
        .process_ = process,
        .sequence_ = sequence,
        .request_ = "r",
        .attempt_ = attempt,
        .step_ = step,
        .peer_ = "",
        .detail_ = ""};
}

// Returns the events of one router's attempts at two agents whose clocks are wrong by these skews in microseconds.
auto history(std::int64_t skewA, std::int64_t skewB, const std::vector<std::uint8_t> &gaps)
    -> std::vector<TimelineEvent>
{
    auto events = std::vector<TimelineEvent>();
    auto time = std::int64_t(1'000'000);
    auto attempt = std::uint32_t(0);
    for (const auto gap : gaps) {
        ++attempt;
        const auto toA = gap % 2 == 0;
        const auto *agent = toA ? "agent-a" : "agent-b";
        const auto skew = toA ? skewA : skewB;
        events.push_back(event(time, "router", 2 * attempt - 1, attempt, observe::dispatchStep));
        events.push_back(event(time + gap + skew, agent, 2 * attempt, attempt, observe::receiveStep));
        events.push_back(event(time + 2 * gap + skew, agent, 2 * attempt + 1, attempt, observe::finishStep));
        events.push_back(event(time + 3 * gap, "router", 2 * attempt, attempt, observe::answerStep));
        time += 3 * gap + 1;
    }
    return events;
}

auto stepsOf(const std::vector<observe::MergedEvent> &merged) -> std::vector<std::string>
{
    auto steps = std::vector<std::string>();
    for (const auto &each : merged) {
        steps.push_back(each.event_.step_);
    }
    return steps;
}

const testkit::TestSuite suite = {"events of several processes",
    {
        section("whose clocks agree",
            {
                // Guards against clock offsets for processes whose clocks agree.
                test("keep their times",
                    [] {
                        const auto offsets = observe::clockOffsets(history(0, 0, {10, 11, 12}));
                        check(offsets.size() == 3);
                        check(std::all_of(offsets.begin(), offsets.end(), [](const auto &offset) -> bool {
                            return offset.second == 0;
                        }));
                    }),
            }),
        section("whose clocks disagree",
            {
                // Guards against an attempt that appears to be received before its dispatch.
                test("are shifted to the middle of the possible range",
                    [] {
                        const auto events = history(-5'000'000, 0, {100});
                        check(observe::clockOffsets(events).at("agent-a") == 5'000'000);
                        check(stepsOf(observe::merge(events))
                            == std::vector<std::string> {"dispatch", "receive", "finish", "answer"});
                    }),
                // Guards against lost events and against an order that contradicts causality or sequence numbers.
                property("keep the order of each process and causal order",
                    [](std::int32_t skewA, std::int32_t skewB, const std::vector<std::uint8_t> &gaps) {
                        auto events = history(skewA, skewB, gaps);
                        const auto merged = observe::merge(events);
                        RC_ASSERT(merged.size() == events.size());
                        RC_ASSERT(
                            std::is_sorted(merged.begin(), merged.end(), [](const auto &a, const auto &b) -> bool {
                                return a.alignedMicros_ < b.alignedMicros_;
                            }));
                        auto positions = std::map<std::pair<std::uint32_t, std::string>, std::size_t>();
                        auto sequences = std::map<std::string, std::uint64_t>();
                        for (auto index = std::size_t(0); index < merged.size(); ++index) {
                            const auto &each = merged[index].event_;
                            positions[{each.attempt_, each.step_}] = index;
                            RC_ASSERT(sequences[each.process_] < each.sequence_);
                            sequences[each.process_] = each.sequence_;
                        }
                        for (auto attempt = std::uint32_t(1); attempt <= gaps.size(); ++attempt) {
                            RC_ASSERT((positions[{attempt, "dispatch"}]) < (positions[{attempt, "receive"}]));
                            RC_ASSERT((positions[{attempt, "finish"}]) < (positions[{attempt, "answer"}]));
                        }
                    }),
            }),
        section("that were fetched twice or contradict each other",
            {
                // Guards against duplicate events and against a merge that never ends.
                test("appear once each",
                    [] {
                        auto events = history(0, 0, {4});
                        const auto more = history(0, 0, {4});
                        std::copy(more.begin(), more.end(), std::back_inserter(events));
                        check(observe::merge(events).size() == 4);
                        const auto circular = std::vector<TimelineEvent> {event(1, "a", 1, 1, "answer"),
                            event(2, "a", 2, 1, "dispatch"), event(1, "b", 1, 1, "receive"),
                            event(2, "b", 2, 1, "finish")};
                        check(observe::merge(circular).size() == 4);
                    }),
            }),
    }};

} // namespace
