#pragma once

#include <set>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// The order in which routers try to become the holder of a duty. All routers compute the same order from the same set.

namespace jasminewood::duties
{

constexpr Milliseconds candidacyDelayPerRank = Milliseconds(300);
constexpr Milliseconds maximumCandidacyDelay = Milliseconds(3'000);

// Returns the routers in the order of a rendezvous hash of the duty and the router's name.
auto rankRouters(const std::string &duty, const std::set<std::string> &routers) -> std::vector<std::string>;

// Returns how long a router leaves a free duty to those of a lower rank.
auto candidacyDelay(const std::string &duty, const std::set<std::string> &routers, const std::string &router)
    -> Milliseconds;

} // namespace jasminewood::duties
