#include "jasminewood/routing/upstream_availability.h"

#include <algorithm>
#include <cassert>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::routing
{

namespace
{

// Returns when the upstream takes requests; empty if it never will.
auto availableAt(const AvailabilityState &state, TimePoint now) -> std::optional<TimePoint>
{
    return std::visit(Overloaded {[now](const Available & /*state*/) {
                                      return std::optional(now);
                                  },
                          [now](const BackingOff &backingOff) {
                              return std::optional(std::max(now, backingOff.until_));
                          },
                          [](const Leaving & /*state*/) {
                              return std::optional<TimePoint>();
                          }},
        state);
}

} // namespace

auto timeUntilAvailable(const std::vector<AvailabilityState> &states, TimePoint now) -> std::optional<Milliseconds>
{
    auto earliest = std::optional<TimePoint>();
    for (const auto &state : states) {
        const auto at = availableAt(state, now);
        if (at && (!earliest || *at < *earliest)) {
            earliest = at;
        }
    }
    return earliest ? std::optional(std::chrono::ceil<Milliseconds>(*earliest - now)) : std::nullopt;
}

auto refusalDelay(Milliseconds timeUntilAvailable, double spread) -> Milliseconds
{
    assert(spread >= 0 && spread <= 1);
    const auto delay = std::chrono::duration<double, std::milli>(std::min(timeUntilAvailable, maximumRefusalDelay));
    return std::chrono::ceil<Milliseconds>(delay * (1 + refusalDelaySpread * spread));
}

auto UpstreamAvailability::recordLeaving(const NodeId &upstream) -> bool
{
    if (!leaving_.insert(upstream).second) {
        return false;
    }
    leavingInOrder_.push_back(upstream);
    if (leavingInOrder_.size() > maximumLeavingUpstreams) {
        leaving_.erase(leavingInOrder_.front());
        leavingInOrder_.pop_front();
    }
    return true;
}

auto UpstreamAvailability::recordRetryAfter(const NodeId &upstream, Milliseconds retryAfter, TimePoint now) -> bool
{
    if (retryAfter.count() <= 0) {
        return false;
    }
    std::erase_if(backoffEnds_, [now](const auto &entry) {
        return entry.second <= now;
    });
    const auto end = now + std::min(retryAfter, maximumBackoff);
    const auto [entry, isNew] = backoffEnds_.emplace(upstream, end);
    entry->second = std::max(entry->second, end);
    return isNew;
}

auto UpstreamAvailability::stateOf(const NodeId &upstream, TimePoint now) const -> AvailabilityState
{
    if (leaving_.contains(upstream)) {
        return Leaving {};
    }
    const auto backoffEnd = backoffEnds_.find(upstream);
    if (backoffEnd != backoffEnds_.end() && now < backoffEnd->second) {
        return BackingOff {.until_ = backoffEnd->second};
    }
    return Available {};
}

} // namespace jasminewood::routing
