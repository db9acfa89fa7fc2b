#pragma once

#include "jasminewood/core/clock.h"

// Decides for how long a busy process lets the events of a stream accumulate before it passes them on together. Each
// wake-up, read and write then serves several events, so that the process can notice what else has arrived.
//
//     const auto delay = coalescingDelay(route.longestPause_, utilisation);

namespace jasminewood::congestion
{

// Below this utilisation of the processor each event is passed on at once.
constexpr double coalescingUtilisation = 0.5;
// From this utilisation on the delay is longest.
constexpr double fullCoalescingUtilisation = 0.8;
// The longest delay as a share of the longest pause between events that the route allows. The engine's own pause comes
// on top of it.
constexpr double coalescingPauseShare = 0.5;
constexpr Milliseconds maximumCoalescingDelay = Milliseconds(60);

// Returns the time between two writes of a stream; 0 if its events are passed on at once. longestPause is the longest
// pause that the route allows, 0 if it allows any; utilisation is the used part of the processor time.
auto coalescingDelay(Milliseconds longestPause, double utilisation) -> Milliseconds;

} // namespace jasminewood::congestion
