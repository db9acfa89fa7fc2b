#include "jasminewood/testbench/history_checker.h"

#include "jasminewood/testbench/expected_output.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

template <typename Event>
auto at(int milliseconds, Event event) -> HistoryEvent
{
    return HistoryEvent {.time_ = Milliseconds(milliseconds), .event_ = std::move(event)};
}

auto expected(const std::string &message) -> std::string
{
    return expectedText(message, 0, expectedTokens(message, std::nullopt));
}

auto sent(int milliseconds, const std::string &call, const std::string &requestClass = "chat") -> HistoryEvent
{
    return at(milliseconds,
        RequestSent {.callId_ = call, .requestClass_ = requestClass, .expectedResponse_ = expected("m-" + call)});
}

auto answered(int milliseconds, const std::string &call) -> HistoryEvent
{
    return at(milliseconds, ResponseReceived {.callId_ = call, .text_ = expected("m-" + call)});
}

// Fails the test unless exactly these invariants are violated, each once.
auto expectViolations(
    const History &history, const std::vector<Invariant> &invariants, const HistoryLimits &limits = {}) -> void
{
    auto found = std::vector<Invariant>();
    auto text = std::string();
    for (const auto &violation : findViolations(history, limits)) {
        found.push_back(violation.invariant_);
        text += toString(violation) + "\n";
    }
    check(found == invariants, "violations found:\n" + text);
}

const testkit::TestSuite story = {"a history of a run",
    {
        section("without faults",
            {
                // Guards against a checker that fails clean runs.
                test("has no violation",
                    [] {
                        const auto history = History {at(0, ProcessStarted {"router-a@1"}), sent(0, "c-1"),
                            sent(1, "c-2"), at(5, RunRecorded {.requestId_ = "r-1", .idempotencyKey_ = "k-1"}),
                            at(6, RunRecorded {.requestId_ = "r-2"}), at(7, RunRecorded {.requestId_ = "r-2"}),
                            answered(20, "c-1"), at(30, ManifestAccepted {2}), at(31, ManifestActive {"router-a@1", 2}),
                            at(40,
                                ErrorReceived {.callId_ = "c-2",
                                    .requestId_ = "r-1",
                                    .runState_ = RunState::MayHaveRun,
                                    .partialResponse_ = expected("m-c-2").substr(0, 3)}),
                            at(50, AttemptQueued {"agent-1@1", "r-3#1", 3}),
                            at(51, AttemptQueued {"agent-1@1", "r-4#1", 2}),
                            at(52, AttemptQueued {"agent-1@1", "r-5#1", 3}),
                            at(53, AttemptShed {"agent-1@1", "r-5#1", 3}),
                            at(54, AttemptStarted {"agent-1@1", "r-4#1"}),
                            at(55, AttemptStarted {"agent-1@1", "r-3#1"})};
                        expectViolations(history, {});
                    }),
            }),
        section("with a wrong outcome for a caller",
            {
                // Guards against a second run that is not visible to any caller.
                test("reports a non-idempotent key that ran twice",
                    [] {
                        expectViolations({at(1, RunRecorded {.requestId_ = "r-1", .idempotencyKey_ = "k"}),
                                             at(2, RunRecorded {.requestId_ = "r-2", .idempotencyKey_ = "k"})},
                            {Invariant::RunsAtMostOnce});
                    }),
                // Guards against truncated responses, gaps and responses to other callers.
                test("reports a response that is incomplete, another caller's, without a request or wrong before an "
                     "error",
                    [] {
                        const auto cut
                            = at(9, ResponseReceived {.callId_ = "c-1", .text_ = expected("m-c-1").substr(1)});
                        expectViolations({sent(0, "c-1"), cut}, {Invariant::ResponseMatchesRequest});
                        const auto other = at(9, ResponseReceived {.callId_ = "c-1", .text_ = expected("m-c-2")});
                        expectViolations({sent(0, "c-1"), other}, {Invariant::ResponseMatchesRequest});
                        expectViolations({answered(0, "c-1")}, {Invariant::ResponseMatchesRequest});
                        const auto wrong = at(9, ErrorReceived {.callId_ = "c-1", .partialResponse_ = "wrong"});
                        expectViolations({sent(0, "c-1"), wrong}, {Invariant::ResponseMatchesRequest});
                    }),
                // Guards against a caller that waits forever.
                test("reports a request that does not terminate",
                    [] {
                        expectViolations({sent(0, "c-1")}, {Invariant::RequestTerminates});
                    }),
                // Guards against a wrong "not run", after which the caller would repeat work that was done.
                test("reports a wrong \"not run\", whether the run is before or after it",
                    [] {
                        const auto notRunError = [](int time) {
                            return at(time,
                                ErrorReceived {.callId_ = "c-1", .requestId_ = "r-1", .runState_ = RunState::NotRun});
                        };
                        const auto run = at(5, RunRecorded {.requestId_ = "r-1"});
                        expectViolations({sent(0, "c-1"), run, notRunError(6)}, {Invariant::NotRunNeverRuns});
                        expectViolations({sent(0, "c-1"), notRunError(4), run}, {Invariant::NotRunNeverRuns});
                    }),
            }),
        section("with a wrong manifest",
            {
                // Guards against the return of an old manifest.
                test("reports a process whose revision decreases",
                    [] {
                        expectViolations(
                            {at(1, ManifestActive {"agent-1@1", 7}), at(2, ManifestActive {"agent-2@1", 5}),
                                at(3, ManifestActive {"agent-1@1", 6})},
                            {Invariant::ManifestRevisionIsMonotonic});
                    }),
                // Guards against an accepted manifest that does not reach a process.
                test("reports a process that does not activate a revision in time, unless it ended",
                    [] {
                        const auto accepted = at(0, ManifestAccepted {7});
                        const auto started = at(0, ProcessStarted {"agent-1@1"});
                        expectViolations({started, accepted, at(1, ManifestActive {"agent-1@1", 6}),
                                             at(5'001, ManifestActive {"agent-1@1", 7})},
                            {Invariant::ManifestPropagates});
                        expectViolations({started, accepted, at(5'000, ManifestActive {"agent-1@1", 8})}, {});
                        expectViolations({started, accepted, at(4'000, ProcessEnded {"agent-1@1"})}, {});
                    }),
            }),
        section("with an unfair share",
            {
                // Guards against a class that starves while another one progresses.
                test("reports a class that completes nothing while it has requests in flight",
                    [] {
                        const auto starved = History {
                            sent(0, "c-1", "batch"), sent(1, "c-2"), answered(4'000, "c-2"), answered(5'001, "c-1")};
                        expectViolations(starved, {Invariant::NoClassStarves});
                        expectViolations(starved, {}, {.stalledClasses_ = {"batch"}});
                        expectViolations(
                            {sent(0, "c-1"), answered(4'000, "c-1"), sent(9'500, "c-2"), answered(9'600, "c-2")}, {});
                    }),
                // Guards against a queue that favours arrival order over tiers.
                test("reports an attempt that is shed while one of a lower tier stays in the same queue",
                    [] {
                        const auto shedBeside = [](const std::string &agent) {
                            return History {at(1, AttemptQueued {agent, "r-low#1", 3}),
                                at(2, AttemptQueued {"agent-1@1", "r-high#1", 0}),
                                at(3, AttemptShed {"agent-1@1", "r-high#1", 0}),
                                at(4, AttemptStarted {agent, "r-low#1"})};
                        };
                        expectViolations(shedBeside("agent-1@1"), {Invariant::LowerTiersAreShedFirst});
                        expectViolations(shedBeside("agent-2@1"), {});
                    }),
            }),
    }};

} // namespace
