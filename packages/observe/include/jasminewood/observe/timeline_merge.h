#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminewood/observe/timeline.h"

// Merges the events of several processes, whose clocks may disagree, into one ordered list.
//
//     const auto merged = observe::merge(allEvents);

namespace jasminewood::observe
{

struct MergedEvent
{
    // The event's time on the common time axis, in microseconds; never decreases along the merged list.
    const std::int64_t alignedMicros_ = 0;
    const TimelineEvent event_;

    auto operator<=>(const MergedEvent &) const = default;
};

// Returns the microseconds to add to the times of each process. They are estimated from pairs of events of two
// processes, one of which must precede the other (see timeline.h). A process whose times contradict no such pair gets
// the offset of the process that it is paired with, and the first router has offset 0.
auto clockOffsets(const std::vector<TimelineEvent> &events) -> std::map<std::string, std::int64_t>;

// Merges events, which may be in any order and contain duplicates. Events of one process keep their sequence order, and
// an event follows the one that must precede it, regardless of the clocks.
auto merge(const std::vector<TimelineEvent> &events) -> std::vector<MergedEvent>;

} // namespace jasminewood::observe
