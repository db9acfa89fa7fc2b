#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/clock.h"
#include "jasminewood/routes/configuration.h"

// Decides whether a stream of server-sent events still makes progress, and when a replacement is sought for one that
// does not. Only complete events with an id or data count: single bytes, comments and an event without end do not.

namespace jasminewood::forward::internal
{

struct StreamLimits
{
    // Longest time between two events.
    const Milliseconds stallTimeout_ = Milliseconds(0);
    // Longest event, comments before it included.
    const std::size_t maximumEventBytes_ = 0;

    auto operator<=>(const StreamLimits &) const = default;
};

// A replacement is sought for a resumable stream without an event for this time, or for stallFactor times the longest
// pause that the route aims at, before its caller gives up.
constexpr Milliseconds minimumStallTimeout = Milliseconds(1'200);
constexpr int stallFactor = 3;

// The pause after a failed search for a replacement is the stall timeout; it doubles with each further failed search up
// to this factor.
constexpr int maximumSearchPauseFactor = 16;

// Returns the stall timeout of a resumable stream of the route.
auto resumeTimeout(const routes::Route &route) -> Milliseconds;

class StreamProgress
{
public:
    StreamProgress(const StreamLimits &limits, TimePoint startedAt);

    // Records received data.
    auto record(std::string_view data, TimePoint now) -> void;

    // Records a search that found no replacement for the stalled stream.
    auto recordFailedSearch(TimePoint now) -> void;

    // Returns when the stream counts as stalled, or stalled again after a failed search, unless an event is complete
    // before.
    auto stallsAt() const -> TimePoint;

    // Returns when the last event was complete, or when the stream started.
    auto lastEventAt() const -> TimePoint;

    // Returns whether the data ends inside an event. Such a stream was broken off, even if its connection was closed in
    // order.
    auto endsInsideEvent() const -> bool;

    // Returns whether an event is complete.
    auto hasEvent() const -> bool;

    // Returns whether more data than one event may have arrived without completing one.
    auto exceedsEventLimit() const -> bool;

private:
    auto endLine(TimePoint now) -> void;

    StreamLimits limits_;
    TimePoint lastEventAt_;
    std::optional<TimePoint> searchedAt_;
    int searchPauseFactor_ = 1;
    std::size_t bytesSinceEvent_ = 0;
    // The start of the current line, as far as it is needed to recognise its field.
    std::string lineStart_;
    bool hasField_ = false;
    // Whether the event that is being received has a line other than a comment.
    bool hasLine_ = false;
    bool hasEvent_ = false;
};

} // namespace jasminewood::forward::internal
