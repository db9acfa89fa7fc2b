#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/tier.h"

// The history of a concurrent run: what its callers, the fakes and the processes' time lines saw. history_checker.h
// tells whether it keeps the guarantees.
//
//     history.push_back({.time_ = now, .event_ = testbench::RequestSent {.callId_ = "c-1", .requestClass_ = "chat"}});

namespace jasminewood::testbench
{

// A caller sent a request.
struct RequestSent
{
    // One call of one caller; unique within the history, also among retries of one operation.
    const std::string callId_;
    const std::string requestClass_;
    // The only whole answer to this request.
    const std::string expectedResponse_;

    auto operator<=>(const RequestSent &) const = default;
};

// A caller received an answer that claims to be whole.
struct ResponseReceived
{
    const std::string callId_;
    const std::string text_;

    auto operator<=>(const ResponseReceived &) const = default;
};

// A caller received an error, or its connection broke.
struct ErrorReceived
{
    const std::string callId_;
    // The router's id of the request; empty if no error body arrived.
    const std::string requestId_;
    // Empty if no error body arrived.
    const std::optional<RunState> runState_;
    // What arrived of the answer before the error.
    const std::string partialResponse_;

    auto operator<=>(const ErrorReceived &) const = default;
};

// A fake upstream ran a request.
struct RunRecorded
{
    const std::string requestId_;
    // The key of a non-idempotent request, else empty.
    const std::string idempotencyKey_;

    auto operator<=>(const RunRecorded &) const = default;
};

// A process, "NAME@INCARNATION", serves from now on.
struct ProcessStarted
{
    const std::string process_;

    auto operator<=>(const ProcessStarted &) const = default;
};

// A process is told to stop, is killed or is frozen.
struct ProcessEnded
{
    const std::string process_;

    auto operator<=>(const ProcessEnded &) const = default;
};

// An operator was told that a manifest is accepted.
struct ManifestAccepted
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const ManifestAccepted &) const = default;
};

// A manifest came into force in a process, or was found in force there.
struct ManifestActive
{
    const std::string process_;
    const std::uint64_t revision_ = 0;

    auto operator<=>(const ManifestActive &) const = default;
};

// An attempt joined the queue of an agent.
struct AttemptQueued
{
    const std::string agent_;
    const std::string attempt_;
    const Tier tier_ = highestTier;

    auto operator<=>(const AttemptQueued &) const = default;
};

// An agent started an attempt at its upstream.
struct AttemptStarted
{
    const std::string agent_;
    const std::string attempt_;

    auto operator<=>(const AttemptStarted &) const = default;
};

// An agent refused or evicted an attempt because its queue was full.
struct AttemptShed
{
    const std::string agent_;
    const std::string attempt_;
    const Tier tier_ = highestTier;

    auto operator<=>(const AttemptShed &) const = default;
};

struct HistoryEvent
{
    // Time since an origin that the whole history shares.
    const Microseconds time_ = Microseconds(0);
    const std::variant<RequestSent, ResponseReceived, ErrorReceived, RunRecorded, ProcessStarted, ProcessEnded,
        ManifestAccepted, ManifestActive, AttemptQueued, AttemptStarted, AttemptShed>
        event_;

    auto operator<=>(const HistoryEvent &) const = default;
};

// Events in any order. Events of one time keep their order.
using History = std::vector<HistoryEvent>;

} // namespace jasminewood::testbench
