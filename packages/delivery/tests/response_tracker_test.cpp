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

const auto firstAttempt = AttemptId {.requestId_ = "r", .number_ = 1};
const auto secondAttempt = AttemptId {.requestId_ = "r", .number_ = 2};
const auto notRunFailure = Failure {.step_ = "queue", .reason_ = "the queue is full"};
const auto mayHaveRunFailure
    = Failure {.step_ = "stream", .reason_ = "the upstream crashed", .runState_ = RunState::MayHaveRun};

auto startedTracker() -> ResponseTracker
{
    auto tracker = ResponseTracker();
    tracker.beginAttempt(firstAttempt);
    return tracker;
}

auto trailerOf(const std::string &output) -> OutputTrailer
{
    auto buffer = OutputBuffer();
    check(!buffer.append(output));
    return buffer.trailer();
}

const testkit::TestSuite responses = {"a response",
    {
        section("whose frames repeat, overlap and leave gaps",
            {
                // Guards against duplicated, missing and reordered bytes after a reconnection.
                property("is delivered to the caller once, in order and completely",
                    [](const std::string &output, const std::vector<std::pair<std::uint8_t, std::uint8_t>> &slices) {
                        auto buffer = OutputBuffer();
                        RC_ASSERT(!buffer.append(output));
                        auto tracker = startedTracker();
                        auto received = std::string();
                        for (const auto &[offset, length] : slices) {
                            const auto data = buffer.outputFrom(offset).substr(0, length);
                            received += tracker.onFrame(firstAttempt, offset, data).value_or("");
                            RC_ASSERT(received == output.substr(0, received.size()));
                        }
                        auto end = tracker.onFinished(firstAttempt, buffer.trailer().length_, buffer.trailer().digest_);
                        if (const auto *attach = std::get_if<AttachRequest>(&end)) {
                            RC_ASSERT(attach->offset_ == received.size());
                            received
                                += tracker.onFrame(firstAttempt, attach->offset_, buffer.outputFrom(attach->offset_))
                                       .value_or("");
                        }
                        RC_ASSERT(received == output && tracker.deliveredOutput() == output);
                        const auto finalResult
                            = tracker.onFinished(firstAttempt, buffer.trailer().length_, buffer.trailer().digest_);
                        RC_ASSERT(std::holds_alternative<Complete>(finalResult));
                    }),
            }),
        section("with a gap or a lost connection",
            {
                // Guards against a stream that waits for ever for lost bytes.
                test("makes the router attach again at the next missing byte",
                    [] {
                        auto tracker = startedTracker();
                        check(tracker.onFrame(firstAttempt, 0, "one ") == "one ");
                        check(!tracker.pendingAttach() && !tracker.onFrame(firstAttempt, 8, "three"));
                        check(tracker.pendingAttach() == AttachRequest {.attempt_ = firstAttempt, .offset_ = 4});
                        check(tracker.onFrame(firstAttempt, 4, "two ") == "two " && !tracker.pendingAttach());
                        tracker.onConnectionLost(firstAttempt);
                        check(tracker.pendingAttach()->offset_ == 8 && tracker.nextOffset(firstAttempt) == 8);
                    }),
            }),
        section("whose bytes were corrupted",
            {
                // Guards against an incorrect response that is accepted as complete.
                test("is rejected because its digest or length does not match",
                    [] {
                        auto corrupted = startedTracker();
                        corrupted.onFrame(firstAttempt, 0, "nothing");
                        const auto end = corrupted.onFinished(firstAttempt, 7, trailerOf("no thing").digest_);
                        check(std::get<Failure>(end).runState_ == RunState::Ran);
                        auto tooLong = startedTracker();
                        tooLong.onFrame(firstAttempt, 0, "something");
                        check(std::holds_alternative<Failure>(
                            tooLong.onFinished(firstAttempt, 4, trailerOf("some").digest_)));
                    }),
            }),
        section("resumed at another upstream",
            {
                // Guards against delivery of late frames of the first attempt, and against a digest over both attempts.
                test("continues after the delivered output and ignores the earlier attempt",
                    [] {
                        auto tracker = startedTracker();
                        tracker.onFrame(firstAttempt, 0, "one ");
                        tracker.onFailed(firstAttempt, mayHaveRunFailure);
                        check(!tracker.currentAttempt());
                        tracker.beginAttempt(secondAttempt);
                        check(!tracker.onFrame(firstAttempt, 4, "two "));
                        check(tracker.onFrame(secondAttempt, 0, "two") == "two"
                            && tracker.currentAttempt() == secondAttempt);
                        check(tracker.deliveredOutput() == "one two" && tracker.nextOffset(secondAttempt) == 3);
                        check(std::holds_alternative<Ignored>(tracker.onFinished(firstAttempt, 4, 0)));
                        check(std::holds_alternative<Complete>(
                            tracker.onFinished(secondAttempt, 3, trailerOf("two").digest_)));
                    }),
            }),
        section("of a hedged request",
            {
                // Guards against a response that is mixed from two attempts.
                test("comes from the attempt that sent output first",
                    [] {
                        auto tracker = startedTracker();
                        tracker.beginHedge(secondAttempt);
                        check(!tracker.currentAttempt());
                        check(
                            tracker.onFrame(secondAttempt, 0, "b") == "b" && tracker.currentAttempt() == secondAttempt);
                        check(!tracker.onFrame(firstAttempt, 0, "aa") && tracker.deliveredOutput() == "b");
                    }),
                test("comes from the first attempt if that sent output before the hedge was added",
                    [] {
                        auto tracker = startedTracker();
                        check(tracker.onFrame(firstAttempt, 0, "a") == "a");
                        tracker.beginHedge(secondAttempt);
                        check(!tracker.onFrame(secondAttempt, 0, "b") && tracker.currentAttempt() == firstAttempt);
                    }),
                test("continues with the other attempt if one fails before any output",
                    [] {
                        auto tracker = startedTracker();
                        tracker.beginHedge(secondAttempt);
                        tracker.onFailed(firstAttempt, mayHaveRunFailure);
                        check(
                            tracker.currentAttempt() == secondAttempt && tracker.onFrame(secondAttempt, 0, "b") == "b");
                    }),
            }),
        section("of a request whose attempts failed",
            {
                // Guards against reporting a request as not run although it may have run.
                property("is reported as not run only if every attempt is confirmed as not run",
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
                            tracker.onFailed(attempt, confirmed ? notRunFailure : mayHaveRunFailure);
                            allConfirmed = allConfirmed && confirmed && !sentOutput;
                        }
                        RC_ASSERT((tracker.runState() == RunState::NotRun) == allConfirmed);
                    }),
                test("is reported as may have run while an attempt is outstanding",
                    [] {
                        check(ResponseTracker().runState() == RunState::NotRun);
                        auto tracker = startedTracker();
                        tracker.onFailed(firstAttempt, notRunFailure);
                        tracker.beginAttempt(secondAttempt);
                        check(tracker.runState() == RunState::MayHaveRun);
                        tracker.onFinished(secondAttempt, 5, 0);
                        check(tracker.runState() == RunState::Ran);
                    }),
            }),
    }};

const testkit::TestSuite buffers = {"an output buffer",
    {
        section("that is full",
            {
                // Guards against an agent that runs out of memory.
                test("rejects further output and keeps its content",
                    [] {
                        auto buffer = OutputBuffer(4);
                        check(!buffer.append("1234") && buffer.append("5").has_value());
                        check(buffer.outputFrom(0) == "1234" && buffer.outputFrom(3) == "4"
                            && buffer.outputFrom(9).empty());
                        check(buffer.trailer() == trailerOf("1234"));
                    }),
            }),
    }};

const testkit::TestSuite digests = {"a digest",
    {
        section("that is updated in pieces",
            {
                // Guards against digests that depend on how the output is divided into messages.
                property("equals the digest of the whole output",
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
                test("has the published value for empty input",
                    [] {
                        check(OutputDigest().value() == 0x2d06800538d394c2U);
                    }),
            }),
    }};

} // namespace
