#include "jasminewood/delivery/answer_tracker.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "jasminewood/delivery/output_buffer.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::delivery;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto first = AttemptId {.request_ = "r", .number_ = 1};
const auto second = AttemptId {.request_ = "r", .number_ = 2};
const auto confirmedNotRun = Failure {.step_ = "queue", .reason_ = "the queue is full"};
const auto broken = Failure {.step_ = "stream", .reason_ = "the upstream crashed", .runState_ = RunState::MayHaveRun};

auto begun() -> AnswerTracker
{
    auto tracker = AnswerTracker();
    tracker.begin(first);
    return tracker;
}

auto endOf(const std::string &output) -> OutputEnd
{
    auto buffer = OutputBuffer();
    check(!buffer.append(output));
    return buffer.end();
}

const testkit::Story answers = {"an answer",
    {
        section("whose frames repeat, overlap and leave gaps",
            {
                // Guards against repeated, missing and reordered bytes after a new connection.
                property("reaches the caller once, in order and whole",
                    [](const std::string &output, const std::vector<std::pair<std::uint8_t, std::uint8_t>> &cuts) {
                        auto buffer = OutputBuffer();
                        RC_ASSERT(!buffer.append(output));
                        auto tracker = begun();
                        auto received = std::string();
                        for (const auto &[offset, length] : cuts) {
                            const auto data = buffer.from(offset).substr(0, length);
                            received += tracker.frame(first, offset, data).value_or("");
                            RC_ASSERT(received == output.substr(0, received.size()));
                        }
                        auto end = tracker.finished(first, buffer.end().length_, buffer.end().digest_);
                        if (const auto *attach = std::get_if<Attach>(&end)) {
                            RC_ASSERT(attach->offset_ == received.size());
                            received
                                += tracker.frame(first, attach->offset_, buffer.from(attach->offset_)).value_or("");
                        }
                        RC_ASSERT(received == output && tracker.delivered() == output);
                        const auto last = tracker.finished(first, buffer.end().length_, buffer.end().digest_);
                        RC_ASSERT(std::holds_alternative<Complete>(last));
                    }),
            }),
        section("with a gap or a lost connection",
            {
                // Guards against a stream that waits for ever for bytes that were lost.
                test("is attached to again from the next byte",
                    [] {
                        auto tracker = begun();
                        check(tracker.frame(first, 0, "one ") == "one ");
                        check(!tracker.attach() && !tracker.frame(first, 8, "three"));
                        check(tracker.attach() == Attach {.attempt_ = first, .offset_ = 4});
                        check(tracker.frame(first, 4, "two ") == "two " && !tracker.attach());
                        tracker.connectionLost(first);
                        check(tracker.attach()->offset_ == 8 && tracker.nextOffset(first) == 8);
                    }),
            }),
        section("whose bytes were damaged",
            {
                // Guards against a wrong answer that is passed off as whole.
                test("fails the check of its digest or length",
                    [] {
                        auto damaged = begun();
                        damaged.frame(first, 0, "nothing");
                        const auto end = damaged.finished(first, 7, endOf("no thing").digest_);
                        check(std::get<Failure>(end).runState_ == RunState::Ran);
                        auto longer = begun();
                        longer.frame(first, 0, "something");
                        check(std::holds_alternative<Failure>(longer.finished(first, 4, endOf("some").digest_)));
                    }),
            }),
        section("resumed at another upstream",
            {
                // Guards against text of the first attempt that arrives late, and against a digest over both attempts.
                test("continues after what was delivered and drops the earlier attempt",
                    [] {
                        auto tracker = begun();
                        tracker.frame(first, 0, "one ");
                        tracker.failed(first, broken);
                        check(!tracker.current());
                        tracker.begin(second);
                        check(!tracker.frame(first, 4, "two "));
                        check(tracker.frame(second, 0, "two") == "two" && tracker.current() == second);
                        check(tracker.delivered() == "one two" && tracker.nextOffset(second) == 3);
                        check(std::holds_alternative<Dropped>(tracker.finished(first, 4, 0)));
                        check(std::holds_alternative<Complete>(tracker.finished(second, 3, endOf("two").digest_)));
                    }),
            }),
        section("hedged",
            {
                // Guards against an answer mixed from two attempts.
                test("comes from the attempt that sent output first",
                    [] {
                        auto tracker = begun();
                        tracker.beginHedge(second);
                        check(!tracker.current());
                        check(tracker.frame(second, 0, "b") == "b" && tracker.current() == second);
                        check(!tracker.frame(first, 0, "aa") && tracker.delivered() == "b");
                    }),
                test("keeps the first attempt if that has sent output before the hedge",
                    [] {
                        auto tracker = begun();
                        check(tracker.frame(first, 0, "a") == "a");
                        tracker.beginHedge(second);
                        check(!tracker.frame(second, 0, "b") && tracker.current() == first);
                    }),
                test("continues with the other attempt if one fails before any output",
                    [] {
                        auto tracker = begun();
                        tracker.beginHedge(second);
                        tracker.failed(first, broken);
                        check(tracker.current() == second && tracker.frame(second, 0, "b") == "b");
                    }),
            }),
        section("that never came",
            {
                // Guards against "not run" for a request of which one attempt may have run.
                property("is not run only if every attempt was confirmed as not run",
                    [](const std::vector<std::tuple<bool, bool>> &attempts) {
                        auto tracker = AnswerTracker();
                        auto allConfirmed = true;
                        auto number = std::uint32_t(0);
                        for (const auto &[confirmed, sentOutput] : attempts) {
                            const auto attempt = AttemptId {.request_ = "r", .number_ = ++number};
                            tracker.begin(attempt);
                            if (sentOutput) {
                                tracker.frame(attempt, 0, "x");
                            }
                            tracker.failed(attempt, confirmed ? confirmedNotRun : broken);
                            allConfirmed = allConfirmed && confirmed && !sentOutput;
                        }
                        RC_ASSERT((tracker.runState() == RunState::NotRun) == allConfirmed);
                    }),
                test("may have run while an attempt is outstanding",
                    [] {
                        check(AnswerTracker().runState() == RunState::NotRun);
                        auto tracker = begun();
                        tracker.failed(first, confirmedNotRun);
                        tracker.begin(second);
                        check(tracker.runState() == RunState::MayHaveRun);
                        tracker.finished(second, 5, 0);
                        check(tracker.runState() == RunState::Ran);
                    }),
            }),
    }};

const testkit::Story buffers = {"an output buffer",
    {
        section("that is full",
            {
                // Guards against an agent that runs out of memory.
                test("refuses more and keeps what it has",
                    [] {
                        auto buffer = OutputBuffer(4);
                        check(!buffer.append("1234") && buffer.append("5").has_value());
                        check(buffer.from(0) == "1234" && buffer.from(3) == "4" && buffer.from(9).empty());
                        check(buffer.end() == endOf("1234"));
                    }),
            }),
    }};

const testkit::Story digests = {"a digest",
    {
        section("updated in pieces",
            {
                // Guards against digests that depend on how the network divides the output.
                property("is that of the whole",
                    [](const std::vector<std::string> &pieces) {
                        auto inPieces = Digest();
                        auto whole = std::string();
                        for (const auto &piece : pieces) {
                            inPieces.update(piece);
                            whole += piece;
                        }
                        auto atOnce = Digest();
                        atOnce.update(whole);
                        RC_ASSERT(inPieces.value() == atOnce.value());
                    }),
                // Published value of XXH3-64 for empty input and seed 0.
                test("has the published value for no input",
                    [] {
                        check(Digest().value() == 0x2d06800538d394c2U);
                    }),
            }),
    }};

} // namespace
