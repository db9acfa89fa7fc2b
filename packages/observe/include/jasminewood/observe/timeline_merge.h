#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminewood/observe/timeline.h"

// One ordered list from the events of several processes whose clocks may disagree.
//
//     const auto merged = observe::merge(allEvents);

namespace jasminewood::observe
{

struct MergedEvent
{
    // The event's time on the common axis; never falls from one event of the list to the next.
    const std::int64_t alignedMicros_ = 0;
    const TimelineEvent event_;

    auto operator<=>(const MergedEvent &) const = default;
};

// Returns for each process what has to be added to its times, estimated from pairs of events of which one must precede
// the other (see timeline.h). A process whose times contradict no such pair gets the offset of its neighbour, and the
// first router has offset 0.
auto clockOffsets(const std::vector<TimelineEvent> &events) -> std::map<std::string, std::int64_t>;

// Merges events in any order, also with repetitions. Events of one process keep their sequence order, and an event
// follows the one that must precede it, whatever the clocks say.
auto merge(const std::vector<TimelineEvent> &events) -> std::vector<MergedEvent>;

} // namespace jasminewood::observe
