#include "jasminewood/delivery/response_tracker.h"

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

const auto first = AttemptId {.requestId_ = "r", .number_ = 1};
const auto second = AttemptId {.requestId_ = "r", .number_ = 2};
const auto confirmedNotRun = Failure {.step_ = "queue", .reason_ = "the queue is full"};
const auto broken = Failure {.step_ = "stream", .reason_ = "the upstream crashed", .runState_ = RunState::MayHaveRun};

auto begun() -> ResponseTracker
{
    auto tracker = ResponseTracker();
    tracker.beginAttempt(first);
    return tracker;
}

auto endOf(const std::string &output) -> OutputTrailer
{
    auto buffer = OutputBuffer();
    check(!buffer.append(output));
    return buffer.trailer();
}

const testkit::TestSuite answers = {"an answer",
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
                            const auto data = buffer.outputFrom(offset).substr(0, length);
                            received += tracker.onFrame(first, offset, data).value_or("");
                            RC_ASSERT(received == output.substr(0, received.size()));
                        }
                        auto end = tracker.onFinished(first, buffer.trailer().length_, buffer.trailer().digest_);
                        if (const auto *attach = std::get_if<AttachRequest>(&end)) {
                            RC_ASSERT(attach->offset_ == received.size());
                            received += tracker.onFrame(first, attach->offset_, buffer.outputFrom(attach->offset_))
                                            .value_or("");
                        }
                        RC_ASSERT(received == output && tracker.deliveredOutput() == output);
                        const auto last = tracker.onFinished(first, buffer.trailer().length_, buffer.trailer().digest_);
                        RC_ASSERT(std::holds_alternative<Complete>(last));
                    }),
            }),
        section("with a gap or a lost connection",
            {
                // Guards against a stream that waits for ever for bytes that were lost.
                test("is attached to again from the next byte",
                    [] {
                        auto tracker = begun();
                        check(tracker.onFrame(first, 0, "one ") == "one ");
                        check(!tracker.pendingAttach() && !tracker.onFrame(first, 8, "three"));
                        check(tracker.pendingAttach() == AttachRequest {.attempt_ = first, .offset_ = 4});
                        check(tracker.onFrame(first, 4, "two ") == "two " && !tracker.pendingAttach());
                        tracker.onConnectionLost(first);
                        check(tracker.pendingAttach()->offset_ == 8 && tracker.nextOffset(first) == 8);
                    }),
            }),
        section("whose bytes were damaged",
            {
                // Guards against a wrong answer that is passed off as whole.
                test("fails the check of its digest or length",
                    [] {
                        auto damaged = begun();
                        damaged.onFrame(first, 0, "nothing");
                        const auto end = damaged.onFinished(first, 7, endOf("no thing").digest_);
                        check(std::get<Failure>(end).runState_ == RunState::Ran);
                        auto longer = begun();
                        longer.onFrame(first, 0, "something");
                        check(std::holds_alternative<Failure>(longer.onFinished(first, 4, endOf("some").digest_)));
                    }),
            }),
        section("resumed at another upstream",
            {
                // Guards against text of the first attempt that arrives late, and against a digest over both attempts.
                test("continues after what was delivered and drops the earlier attempt",
                    [] {
                        auto tracker = begun();
                        tracker.onFrame(first, 0, "one ");
                        tracker.onFailed(first, broken);
                        check(!tracker.currentAttempt());
                        tracker.beginAttempt(second);
                        check(!tracker.onFrame(first, 4, "two "));
                        check(tracker.onFrame(second, 0, "two") == "two" && tracker.currentAttempt() == second);
                        check(tracker.deliveredOutput() == "one two" && tracker.nextOffset(second) == 3);
                        check(std::holds_alternative<Ignored>(tracker.onFinished(first, 4, 0)));
                        check(std::holds_alternative<Complete>(tracker.onFinished(second, 3, endOf("two").digest_)));
                    }),
            }),
        section("hedged",
            {
                // Guards against an answer mixed from two attempts.
                test("comes from the attempt that sent output first",
                    [] {
                        auto tracker = begun();
                        tracker.beginHedge(second);
                        check(!tracker.currentAttempt());
                        check(tracker.onFrame(second, 0, "b") == "b" && tracker.currentAttempt() == second);
                        check(!tracker.onFrame(first, 0, "aa") && tracker.deliveredOutput() == "b");
                    }),
                test("keeps the first attempt if that has sent output before the hedge",
                    [] {
                        auto tracker = begun();
                        check(tracker.onFrame(first, 0, "a") == "a");
                        tracker.beginHedge(second);
                        check(!tracker.onFrame(second, 0, "b") && tracker.currentAttempt() == first);
                    }),
                test("continues with the other attempt if one fails before any output",
                    [] {
                        auto tracker = begun();
                        tracker.beginHedge(second);
                        tracker.onFailed(first, broken);
                        check(tracker.currentAttempt() == second && tracker.onFrame(second, 0, "b") == "b");
                    }),
            }),
        section("that never came",
            {
                // Guards against "not run" for a request of which one attempt may have run.
                property("is not run only if every attempt was confirmed as not run",
                    [](const std::vector<std::tuple<bool, bool>> &attempts) {
                        auto tracker = ResponseTracker();
                        auto allConfirmed = true;
                        auto number = std::uint32_t(0);
                        for (const auto &[confirmed, sentOutput] : attempts) {
                            const auto attempt = AttemptId {.requestId_ = "r", .number_ = ++number};
                            tracker.beginAttempt(attempt);
                            if (sentOutput) {
                                tracker.onFrame(attempt, 0, "x");
                            }
                            tracker.onFailed(attempt, confirmed ? confirmedNotRun : broken);
                            allConfirmed = allConfirmed && confirmed && !sentOutput;
                        }
                        RC_ASSERT((tracker.runState() == RunState::NotRun) == allConfirmed);
                    }),
                test("may have run while an attempt is outstanding",
                    [] {
                        check(ResponseTracker().runState() == RunState::NotRun);
                        auto tracker = begun();
                        tracker.onFailed(first, confirmedNotRun);
                        tracker.beginAttempt(second);
                        check(tracker.runState() == RunState::MayHaveRun);
                        tracker.onFinished(second, 5, 0);
                        check(tracker.runState() == RunState::Ran);
                    }),
            }),
    }};

const testkit::TestSuite buffers = {"an output buffer",
    {
        section("that is full",
            {
                // Guards against an agent that runs out of memory.
                test("refuses more and keeps what it has",
                    [] {
                        auto buffer = OutputBuffer(4);
                        check(!buffer.append("1234") && buffer.append("5").has_value());
                        check(buffer.outputFrom(0) == "1234" && buffer.outputFrom(3) == "4"
                            && buffer.outputFrom(9).empty());
                        check(buffer.trailer() == endOf("1234"));
                    }),
            }),
    }};

const testkit::TestSuite digests = {"a digest",
    {
        section("updated in pieces",
            {
                // Guards against digests that depend on how the network divides the output.
                property("is that of the whole",
                    [](const std::vector<std::string> &pieces) {
                        auto inPieces = OutputDigest();
                        auto whole = std::string();
                        for (const auto &piece : pieces) {
                            inPieces.update(piece);
                            whole += piece;
                        }
                        auto atOnce = OutputDigest();
                        atOnce.update(whole);
                        RC_ASSERT(inPieces.value() == atOnce.value());
                    }),
                // Published value of XXH3-64 for empty input and seed 0.
                test("has the published value for no input",
                    [] {
                        check(OutputDigest().value() == 0x2d06800538d394c2U);
                    }),
            }),
    }};

} // namespace
