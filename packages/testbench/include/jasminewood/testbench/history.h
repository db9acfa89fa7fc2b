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

// The history of a concurrent run: events recorded by its callers, by the fake services and in the time lines of the
// processes. history_checker.h checks it against the system's guarantees.
//
//     history.push_back({.time_ = now, .event_ = testbench::RequestSent {.callId_ = "c-1", .requestClass_ = "chat"}});

namespace jasminewood::testbench
{

// A caller sent a request.
struct RequestSent
{
    // Identifies one call of one caller. Unique within the history; each retry of an operation has an id of its own.
    const std::string callId_;
    const std::string requestClass_;
    // The only correct complete response to this request.
    const std::string expectedResponse_;

    auto operator<=>(const RequestSent &) const = default;
};

// A caller received a response that ended without an error.
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
    // The part of the response that was received before the error.
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

// A process, "NAME@INCARNATION", started to serve requests.
struct ProcessStarted
{
    const std::string process_;

    auto operator<=>(const ProcessStarted &) const = default;
};

// A process was asked to stop, was killed or was suspended.
struct ProcessEnded
{
    const std::string process_;

    auto operator<=>(const ProcessEnded &) const = default;
};

// An operator received the confirmation that a manifest was accepted.
struct ManifestAccepted
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const ManifestAccepted &) const = default;
};

// A manifest became active in a process, or was observed to be active there.
struct ManifestActive
{
    const std::string process_;
    const std::uint64_t revision_ = 0;

    auto operator<=>(const ManifestActive &) const = default;
};

// An attempt was added to the queue of an agent.
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

// An agent rejected or evicted an attempt because its queue was full.
struct AttemptShed
{
    const std::string agent_;
    const std::string attempt_;
    const Tier tier_ = highestTier;

    auto operator<=>(const AttemptShed &) const = default;
};

struct HistoryEvent
{
    // Time since an origin that is common to all events of the history.
    const Microseconds time_ = Microseconds(0);
    const std::variant<RequestSent, ResponseReceived, ErrorReceived, RunRecorded, ProcessStarted, ProcessEnded,
        ManifestAccepted, ManifestActive, AttemptQueued, AttemptStarted, AttemptShed>
        event_;

    auto operator<=>(const HistoryEvent &) const = default;
};

// Events need not be sorted by time. Events with equal times are checked in the order in which they are stored.
using History = std::vector<HistoryEvent>;

} // namespace jasminewood::testbench
