#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"

// Remembers which upstreams take no new requests, as they said so themselves in their responses: for good, because they
// shut down, or for a time, because they are overloaded.
//
//     availability.recordLeaving(upstream);
//     availability.recordRetryAfter(upstream, retryAfter, now);
//     const auto state = availability.stateOf(upstream, now);
//
// An upstream is identified by its id and its incarnation. What one incarnation said holds whatever its entry in the
// store says meanwhile, and does not concern the next one.

namespace jasminewood::routing
{

// The maximum number of leaving upstreams that are remembered. Beyond it, the one that was recorded first is forgotten.
constexpr std::size_t maximumLeavingUpstreams = 1'024;
// The maximum time for which an upstream gets no requests because of one refusal. A longer one is taken for an error of
// the upstream.
constexpr Milliseconds maximumBackoff = Milliseconds(600'000);
// The maximum delay after which a refused caller is told to retry, before the spread. Other upstreams may have joined
// by then.
constexpr Milliseconds maximumRefusalDelay = Milliseconds(30'000);
// The refused callers retry spread over this part of the delay, so that they do not all return at the same time.
constexpr double refusalDelaySpread = 0.25;

// The upstream takes requests.
struct Available
{
    auto operator<=>(const Available &) const = default;
};

// The upstream is overloaded and takes no requests before this time.
struct BackingOff
{
    const TimePoint until_;

    auto operator<=>(const BackingOff &) const = default;
};

// The upstream shuts down. It takes no requests until it restarts.
struct Leaving
{
    auto operator<=>(const Leaving &) const = default;
};

using AvailabilityState = std::variant<Available, BackingOff, Leaving>;

// Returns how long it takes until the first of the upstreams takes requests; 0 if one takes them now, empty if none
// will.
auto timeUntilAvailable(const std::vector<AvailabilityState> &states, TimePoint now) -> std::optional<Milliseconds>;

// Returns the delay after which a caller is told to retry that is refused since no upstream is available for this time:
// never earlier, unless maximumRefusalDelay is shorter. Precondition: spread, which differs between the callers, is
// from 0 to 1.
auto refusalDelay(Milliseconds timeUntilAvailable, double spread) -> Milliseconds;

// Not thread-safe.
class UpstreamAvailability
{
public:
    // Records that the upstream shuts down. Returns whether that was not known.
    auto recordLeaving(const NodeId &upstream) -> bool;

    // Records that the upstream refused a request and asked for no further ones within this time. The time is bounded
    // by maximumBackoff and does not end an earlier one sooner; one that is not positive is ignored. Returns whether
    // the upstream took requests before.
    auto recordRetryAfter(const NodeId &upstream, Milliseconds retryAfter, TimePoint now) -> bool;

    auto stateOf(const NodeId &upstream, TimePoint now) const -> AvailabilityState;

private:
    std::set<NodeId> leaving_;
    // The members of leaving_, oldest first.
    std::deque<NodeId> leavingInOrder_;
    std::map<NodeId, TimePoint> backoffEnds_;
};

} // namespace jasminewood::routing
