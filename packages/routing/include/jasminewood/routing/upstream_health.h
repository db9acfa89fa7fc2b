#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"

// How slow each upstream of one pool is, by this process's own measurements.
//
//     health.firstToken(node, 180ms, now);
//     const auto candidate = Candidate{.node_ = node, .slowness_ = health.slowness(node, now)};

namespace jasminewood::routing
{

// Without samples an estimate loses half of its distance from the median in this time, so that a slow upstream earns
// work back with few trial requests.
constexpr Milliseconds slownessHalfLife = Milliseconds(5000);
// Weight of a new sample against a fresh estimate.
constexpr double slownessSampleWeight = 0.3;
// Slowness that a failed attempt adds.
constexpr double failurePenalty = 3;
// Bound of the slowness, so that one extreme sample does not shut an upstream out for minutes.
constexpr double maximumSlowness = 16;
// The pool's medians are computed again at most this often, since samples arrive with every token.
constexpr Milliseconds medianRefreshInterval = Milliseconds(50);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class UpstreamHealth
{
public:
    // Time from the start of an attempt to its first token. Precondition: duration is not negative.
    auto recordTimeToFirstToken(const NodeId &node, Microseconds duration, TimePoint now) -> void;

    // Time between two tokens of an attempt. Precondition: duration is not negative.
    auto recordInterTokenLatency(const NodeId &node, Microseconds duration, TimePoint now) -> void;

    // An attempt has waited for its first token for this long since its dispatch. Counts from the moment at which it
    // exceeds the upstream's usual first-token time, so that a stalled upstream is seen before it answers. Time in the
    // agent's queue is no sign of a slow upstream and is to be left out by the caller.
    auto recordFirstTokenWait(const NodeId &node, Microseconds sinceDispatch, TimePoint now) -> void;

    // An attempt failed because of the upstream.
    auto recordFailure(const NodeId &node, TimePoint now) -> void;

    // Returns the upstream's times relative to the pool's median, 1 to maximumSlowness; 1 for an unknown upstream.
    auto slowness(const NodeId &node, TimePoint now) const -> double;

    // Drops what is known of an upstream that left the pool.
    auto forget(const NodeId &node) -> void;

private:
    struct Estimate
    {
        // Microseconds; 0 while there was no sample.
        double mean_ = 0;
        TimePoint sampledAt_;
    };

    struct Upstream
    {
        Estimate firstToken_;
        Estimate betweenTokens_;
        // The longest unanswered wait since the last first token.
        Estimate waiting_;
        // Accumulated failure penalty at the time of the last failure.
        Estimate penalty_;
    };

    static auto blended(const Estimate &estimate, double sample, TimePoint now) -> Estimate;
    auto refreshMedians(TimePoint now, bool force) -> void;
    auto median(Estimate Upstream::*kind) const -> double;

    std::map<NodeId, Upstream> upstreams_;
    // Microseconds; 0 while no upstream has a sample.
    double firstTokenMedian_ = 0;
    double betweenTokensMedian_ = 0;
    std::optional<TimePoint> refreshedAt_;
};

} // namespace jasminewood::routing
