#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"

// Estimates how slow each upstream of one pool is, from the measurements of this process.
//
//     health.recordTimeToFirstToken(node, 180ms, now);
//     const auto candidate = UpstreamCandidate{.node_ = node, .slowness_ = health.slowness(node, now)};

namespace jasminewood::routing
{

// Without new samples, the distance of an estimate from the median halves in this time, so that a slow upstream regains
// traffic with few trial requests.
constexpr Milliseconds slownessHalfLife = Milliseconds(5000);
// Weight of a new sample in the moving average, if the average is recent.
constexpr double slownessSampleWeight = 0.3;
// Slowness that each failed attempt adds.
constexpr double failurePenalty = 3;
// Upper bound of the slowness, so that one extreme sample does not exclude an upstream for minutes.
constexpr double maximumSlowness = 16;
// The pool's medians are recomputed at most this often, since samples arrive with every token.
constexpr Milliseconds medianRefreshInterval = Milliseconds(50);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class UpstreamHealth
{
public:
    // Records the time to first token of an attempt, measured from its start. Precondition: duration is not negative.
    auto recordTimeToFirstToken(const NodeId &node, Microseconds duration, TimePoint now) -> void;

    // Records the time between two tokens of an attempt, its inter-token latency. Precondition: duration is not
    // negative.
    auto recordInterTokenLatency(const NodeId &node, Microseconds duration, TimePoint now) -> void;

    // Records that an attempt has been waiting for its first token for this long since its dispatch. Affects the
    // slowness as soon as the wait exceeds the upstream's usual time to first token, so that a stalled upstream is
    // detected before it responds. The caller must leave out time in the agent's queue, which does not indicate a slow
    // upstream.
    auto recordFirstTokenWait(const NodeId &node, Microseconds sinceDispatch, TimePoint now) -> void;

    // Records an attempt that failed because of the upstream.
    auto recordFailure(const NodeId &node, TimePoint now) -> void;

    // Returns the upstream's latency relative to the pool's median, from 1 to maximumSlowness; 1 for an unknown
    // upstream.
    auto slowness(const NodeId &node, TimePoint now) const -> double;

    // Discards the estimates of an upstream that left the pool.
    auto forget(const NodeId &node) -> void;

private:
    struct Estimate
    {
        // Microseconds; 0 if there is no sample yet.
        double mean_ = 0;
        TimePoint sampledAt_;
    };

    struct Upstream
    {
        Estimate timeToFirstToken_;
        Estimate interTokenLatency_;
        // The longest wait without a first token since the last first token.
        Estimate longestWait_;
        // Accumulated failure penalty at the time of the last failure, as slowness.
        Estimate penalty_;
    };

    static auto updatedAverage(const Estimate &estimate, double sample, TimePoint now) -> Estimate;
    auto refreshMedians(TimePoint now, bool force) -> void;
    auto median(Estimate Upstream::*estimate) const -> double;

    std::map<NodeId, Upstream> upstreams_;
    // Microseconds; 0 while no upstream has a sample.
    double timeToFirstTokenMedian_ = 0;
    double interTokenLatencyMedian_ = 0;
    std::optional<TimePoint> refreshedAt_;
};

} // namespace jasminewood::routing
