#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/delivery/digest.h"

// Follows one request over all its attempts: decides which bytes reach the caller and what is known of its run state.
//
//     auto tracker = delivery::AnswerTracker();
//     tracker.begin(attempt);
//     if (const auto text = tracker.frame(attempt, offset, data)) {
//         writeToCaller(*text);
//     } else if (const auto attach = tracker.attach()) {
//         send(wire::Attach{.attempt_ = attach->attempt_, .offset_ = attach->offset_});
//     }

namespace jasminewood::delivery
{

// The attempt's output is needed again from this offset on.
struct AttachRequest
{
    const AttemptId attempt_;
    const std::uint64_t offset_ = 0;

    auto operator<=>(const AttachRequest &) const = default;
};

// The answer is whole: its length and digest are those that the agent announced.
struct Complete
{
    auto operator<=>(const Complete &) const = default;
};

// The end belongs to an attempt that is not current.
struct Ignored
{
    auto operator<=>(const Ignored &) const = default;
};

// What follows from the end of an attempt.
using EndResult = std::variant<Complete, AttachRequest, Ignored, Failure>;

// Holds the state of one request. Not thread-safe.
//
// Only the current attempt's output is delivered. begin() replaces the current attempt, so that frames of an earlier
// one that are still on their way are dropped. beginHedge() adds a second attempt beside it; the first of the two that
// sends output becomes current and the other is dropped from then on.
class ResponseTracker
{
public:
    // The attempt is about to be dispatched and is the current one from now on. Its output continues after what was
    // delivered before, at its own offset 0.
    auto beginAttempt(const AttemptId &attempt) -> void;

    // The attempt is about to be dispatched beside the current one. Precondition: nothing of the current attempt was
    // delivered yet; otherwise the hedge is dispatched in vain and all its frames are dropped.
    auto beginHedge(const AttemptId &attempt) -> void;

    // Returns the bytes to deliver now. Empty for duplicates, for attempts that are not current, and for frames after a
    // gap; attach() tells the last case apart.
    auto onFrame(const AttemptId &attempt, std::uint64_t offset, std::string_view data) -> std::optional<std::string>;

    // The attempt announced its end. Complete if length and digest match; Attach if bytes are missing; Failure with
    // step "check answer" and run state Ran if the bytes received are not those that were announced.
    auto onFinished(const AttemptId &attempt, std::uint64_t length, std::uint64_t digest) -> EndResult;

    // The attempt ended without an answer. A failure with NotRun is the agent's confirmation that the attempt never
    // started and never will; it is disregarded if the attempt has sent output.
    auto onFailed(const AttemptId &attempt, const Failure &failure) -> void;

    // The attempt's connection was lost; the attempt itself may go on. attach() returns where to continue.
    auto onConnectionLost(const AttemptId &attempt) -> void;

    // Returns where to attach if the current attempt has a gap or lost its connection. Cleared by the next frame in
    // order.
    auto pendingAttach() const -> std::optional<AttachRequest>;

    // Returns the current attempt, or empty if there is none: none begun, ended by failed(), or an undecided hedge.
    auto currentAttempt() const -> std::optional<AttemptId>;

    // Returns the offset of the next byte expected of this attempt.
    auto nextOffset(const AttemptId &attempt) const -> std::uint64_t;

    // Returns all output delivered so far, over all attempts.
    auto deliveredOutput() const -> const std::string &;

    // Returns the run state of the whole request: NotRun only if nothing was dispatched or every dispatched attempt was
    // confirmed as not run, Ran if an attempt announced its end or failed after it ran.
    auto runState() const -> RunState;

private:
    // What is known of one attempt.
    struct Track
    {
        std::uint64_t next_ = 0;
        RunState runState_ = RunState::MayHaveRun;
        bool eligible_ = true;
        bool sentOutput_ = false;
        OutputDigest digest_;
    };

    auto eligible(const AttemptId &attempt) -> Track *;
    auto choose(const AttemptId &attempt) -> void;
    auto requestAttach(const AttemptId &attempt, const Track &track) -> void;

    std::map<AttemptId, Track> tracks_;
    std::string delivered_;
    std::optional<AttachRequest> attach_;
};

} // namespace jasminewood::delivery
