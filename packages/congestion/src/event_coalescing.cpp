#include "jasminewood/congestion/event_coalescing.h"

#include <algorithm>

namespace jasminewood::congestion
{

auto coalescingDelay(Milliseconds longestPause, double utilisation) -> Milliseconds
{
    const auto pauseBound = std::chrono::floor<Milliseconds>(longestPause * coalescingPauseShare);
    const auto bound = longestPause.count() > 0 ? std::min(maximumCoalescingDelay, pauseBound) : maximumCoalescingDelay;
    const auto pressure = (utilisation - coalescingUtilisation) / (fullCoalescingUtilisation - coalescingUtilisation);
    return std::chrono::floor<Milliseconds>(bound * std::clamp(pressure, 0.0, 1.0));
}

} // namespace jasminewood::congestion
