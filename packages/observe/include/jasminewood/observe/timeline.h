#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/ids.h"
#include "jasminewood/core/result.h"

// Records the events of a process. timeline_merge.h merges the events of several processes.
//
//     auto timeline = observe::Timeline(node);
//     timeline.record({.request_ = "r-7", .attempt_ = 1, .step_ = observe::dispatchStep, .peer_ = "agent-2"});
//     const auto events = timeline.select("r-7");

namespace jasminewood::observe
{

// Steps that the merge orders across processes: a router's dispatch of an attempt precedes its receipt at the agent,
// and the end of the attempt at the agent precedes the router's receipt of that end.
constexpr auto dispatchStep = "dispatch";
constexpr auto receiveStep = "receive";
constexpr auto finishStep = "finish";
constexpr auto answerStep = "answer";

// An event as its recorder describes it; Timeline adds the time, the process and the sequence number.
struct TimelineEntry
{
    // Empty if the event belongs to no request.
    const std::string request_;
    // 0 if the event belongs to no attempt.
    const std::uint32_t attempt_ = 0;
    const std::string step_;
    const std::string peer_;
    const std::string detail_;

    auto operator<=>(const TimelineEntry &) const = default;
};

struct TimelineEvent
{
    // Microseconds since the epoch on the process's own clock.
    const std::int64_t wallMicros_ = 0;
    // "NAME@INCARNATION"
    const std::string process_;
    // Position among the events of this process, counted from 1.
    const std::uint64_t sequence_ = 0;
    const std::string request_;
    const std::uint32_t attempt_ = 0;
    const std::string step_;
    const std::string peer_;
    const std::string detail_;

    auto operator<=>(const TimelineEvent &) const = default;
};

// Number of events that a process retains; the oldest are dropped first.
constexpr std::size_t timelineCapacity = 8192;

// Thread-safe.
class Timeline
{
public:
    explicit Timeline(const NodeId &node);

    auto record(const TimelineEntry &entry) -> void;

    // Returns the retained events of a request in the order of recording.
    auto select(std::string_view request) const -> std::vector<TimelineEvent>;

    // Returns the retained events with fromMicros <= time < toMicros in the order of recording.
    auto selectSpan(std::int64_t fromMicros, std::int64_t toMicros) const -> std::vector<TimelineEvent>;

private:
    const std::string process_;
    mutable std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::deque<TimelineEvent> events_;
};

// Returns a JSON array of events.
auto toJson(const std::vector<TimelineEvent> &events) -> std::string;

// Parses the output of toJson(). Fails with step "read timeline" if the text is not such an array.
auto eventsFromJson(std::string_view text) -> Result<std::vector<TimelineEvent>>;

} // namespace jasminewood::observe
