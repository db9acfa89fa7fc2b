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

// Tracks the response of one request over all its attempts: determines which bytes to deliver to the caller, and the
// run state of the request.
//
//     auto tracker = delivery::ResponseTracker();
//     tracker.beginAttempt(attempt);
//     if (const auto text = tracker.onFrame(attempt, offset, data)) {
//         writeToCaller(*text);
//     } else if (const auto attach = tracker.pendingAttach()) {
//         send(wire::Attach{.attempt_ = attach->attempt_, .offset_ = attach->offset_});
//     }

namespace jasminewood::delivery
{

// The router must attach to the attempt again, to receive its output starting at this offset.
struct AttachRequest
{
    const AttemptId attempt_;
    const std::uint64_t offset_ = 0;

    auto operator<=>(const AttachRequest &) const = default;
};

// The response is complete: its length and digest match those sent by the agent.
struct Complete
{
    auto operator<=>(const Complete &) const = default;
};

// The end was ignored because it belongs to an attempt that is not current.
struct Ignored
{
    auto operator<=>(const Ignored &) const = default;
};

// Result of handling the end of an attempt.
using EndResult = std::variant<Complete, AttachRequest, Ignored, Failure>;

// Tracks one request. Not thread-safe.
//
// Only the output of the current attempt is delivered. beginAttempt() replaces the current attempt, so that frames of
// an earlier attempt that are still in flight are ignored. beginHedge() adds a second attempt in parallel: the first of
// the two that sends output becomes the current attempt, and the other one is ignored from then on.
class ResponseTracker
{
public:
    // Makes an attempt that is about to be dispatched the current one. Its output, starting at its own offset 0,
    // continues the output delivered so far.
    auto beginAttempt(const AttemptId &attempt) -> void;

    // Adds a hedge that is about to be dispatched in parallel with the current attempt. Precondition: no output of the
    // current attempt was delivered yet; otherwise all frames of the hedge are ignored.
    auto beginHedge(const AttemptId &attempt) -> void;

    // Handles a frame and returns the bytes to deliver now. Empty for duplicates, for attempts that are not current,
    // and for frames after a gap; in the last case pendingAttach() is set.
    auto onFrame(const AttemptId &attempt, std::uint64_t offset, std::string_view data) -> std::optional<std::string>;

    // Handles the end of an attempt. Returns Complete if length and digest match, AttachRequest if bytes are missing,
    // Ignored if the attempt is not current, or a Failure with step "check answer" and run state Ran if the received
    // bytes do not match the length or the digest.
    auto onFinished(const AttemptId &attempt, std::uint64_t length, std::uint64_t digest) -> EndResult;

    // Handles an attempt that ended without a response. A failure with NotRun is the agent's confirmation that the
    // attempt never started and never will; this run state is ignored if the attempt has sent output.
    auto onFailed(const AttemptId &attempt, const Failure &failure) -> void;

    // Handles the loss of the attempt's connection; the attempt itself may continue to run. pendingAttach() then
    // returns the offset to attach at.
    auto onConnectionLost(const AttemptId &attempt) -> void;

    // Returns the attempt and the offset to attach at if the current attempt has a gap or lost its connection;
    // otherwise empty. Cleared by the next frame in order.
    auto pendingAttach() const -> std::optional<AttachRequest>;

    // Returns the current attempt; empty if no attempt was begun, if the attempt failed, or if neither of two hedged
    // attempts has sent output yet.
    auto currentAttempt() const -> std::optional<AttemptId>;

    // Returns the offset of the next byte expected from the attempt.
    auto nextOffset(const AttemptId &attempt) const -> std::uint64_t;

    // Returns all output delivered so far, over all attempts.
    auto deliveredOutput() const -> const std::string &;

    // Returns the run state of the request over all attempts: NotRun only if no attempt was dispatched or every
    // dispatched attempt is confirmed as not run; Ran if an attempt sent its end or failed after it ran; otherwise
    // MayHaveRun.
    auto runState() const -> RunState;

private:
    struct AttemptState
    {
        std::uint64_t nextOffset_ = 0;
        RunState runState_ = RunState::MayHaveRun;
        // False once the response continues with another attempt.
        bool eligible_ = true;
        bool sentOutput_ = false;
        OutputDigest digest_;
    };

    // Returns the attempt, unless it is unknown or its output is ignored.
    auto findEligible(const AttemptId &attempt) -> AttemptState *;
    auto ignoreAllExcept(const AttemptId &attempt) -> void;
    auto requestAttach(const AttemptId &attempt, const AttemptState &state) -> void;

    std::map<AttemptId, AttemptState> attempts_;
    std::string delivered_;
    std::optional<AttachRequest> pendingAttach_;
};

} // namespace jasminewood::delivery
