#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"

// Keeps to the request rates that upstreams in need name in their responses, each for all routers together.
//
//     limits.recordStatement(upstream, RateLimit {.perSecond_ = 2.5}, sentAt, now);
//     if (limits.timeUntilAllowed(upstream, fleet, now) == Milliseconds(0)) { limits.recordRequest(upstream, fleet,
//     now); }
//
// Every router gets an equal part of a limit. A part that is too small to be of use is not divided further: then only
// some routers may send, by a ranking that all share. Each part is a token bucket that holds little more than one
// request, so all routers together keep to the limit without asking each other for each request.
//
// Routers tell each other what they were told. A limit holds until a response without one comes to a request that was
// sent after the limit was last named, so responses that overtake each other do not end it.

namespace jasminewood::routing
{

// A part of a limit is at least this many requests a second, or the whole limit if that is smaller.
constexpr double minimumRateShare = 0.5;
// A limit below this is taken for this, or an upstream that wants no requests could never say that it wants some again.
constexpr double minimumRateLimit = 0.1;
// A limit above this is no limit in effect.
constexpr double maximumRateLimit = 1e6;
// A token bucket holds the requests of this time, and at least one.
constexpr Milliseconds rateBurstTime = Milliseconds(250);
// How long a router repeats to the others what an upstream told it.
constexpr Milliseconds rateLimitReportTime = Milliseconds(10'000);
// The maximum number of upstreams whose limits are kept. Beyond it, the limit that was named longest ago is dropped.
constexpr std::size_t maximumRateLimits = 4'096;

// The upstream names no limit.
struct NoRateLimit
{
    auto operator<=>(const NoRateLimit &) const = default;
};

// The upstream takes this many requests a second from all routers together.
struct RateLimit
{
    const double perSecond_ = 0;

    auto operator<=>(const RateLimit &) const = default;
};

// The upstream names something that is no limit.
struct UnreadableRateLimit
{
    auto operator<=>(const UnreadableRateLimit &) const = default;
};

// What a response says of its upstream's limit.
using RateLimitStatement = std::variant<NoRateLimit, RateLimit, UnreadableRateLimit>;

// The routers that share the limits.
struct RouterFleet
{
    const std::string self_;
    const std::set<std::string> others_;

    auto operator<=>(const RouterFleet &) const = default;
};

// What one router tells the others of an upstream.
struct RateLimitReport
{
    const NodeId upstream_;
    const double perSecond_ = 0;
    // The time since the limit was last named.
    const Milliseconds namedAge_ = Milliseconds(0);
    // The time since the last request was sent that got a response without a limit; empty if there was none.
    const std::optional<Milliseconds> unlimitedAge_;

    auto operator<=>(const RateLimitReport &) const = default;
};

// Not thread-safe. Precondition: now does not go backwards.
class UpstreamRateLimits
{
public:
    // Records what the response to a request says that was sent at sentAt. Returns whether the upstream's limit begins,
    // changes or ends with it.
    auto recordStatement(const NodeId &upstream, const RateLimitStatement &statement, TimePoint sentAt, TimePoint now)
        -> bool;

    // Merges the reports of another router. They may be lost, repeated and reordered.
    auto merge(const std::vector<RateLimitReport> &reports, TimePoint now) -> void;

    // Returns what upstreams told this router itself within rateLimitReportTime.
    auto reports(TimePoint now) const -> std::vector<RateLimitReport>;

    // Returns the limit that the upstream has now.
    auto limitOf(const NodeId &upstream) const -> std::optional<double>;

    // Returns whether no upstream has a limit or had one.
    auto isEmpty() const -> bool;

    // Returns how long this router sends no request to the upstream, 0 if it may send one now; empty if this router
    // sends it none as long as the limit and the fleet stay as they are.
    auto timeUntilAllowed(const NodeId &upstream, const RouterFleet &fleet, TimePoint now) const
        -> std::optional<Milliseconds>;

    // Records a request that is sent to the upstream now.
    auto recordRequest(const NodeId &upstream, const RouterFleet &fleet, TimePoint now) -> void;

private:
    struct Limit
    {
        double perSecond_ = 0;
        // When the limit was last named, and when the last request was sent that got a response without one.
        std::optional<TimePoint> namedAt_;
        std::optional<TimePoint> unlimitedSince_;
        // When the upstream last said either to this router.
        std::optional<TimePoint> toldAt_;
        // The tokens in the bucket at that time. The bucket is empty when the limit begins.
        double tokens_ = 0;
        TimePoint tokensAt_;
    };

    // The part of a limit that this router has; empty if it has none.
    static auto shareOf(const NodeId &upstream, const Limit &limit, const RouterFleet &fleet) -> std::optional<double>;
    static auto tokensAt(const Limit &limit, double share, TimePoint now) -> double;
    static auto isInForce(const Limit &limit) -> bool;
    static auto applyName(Limit &limit, double perSecond, TimePoint namedAt, TimePoint now) -> void;
    static auto applyUnlimited(Limit &limit, TimePoint unlimitedSince) -> void;
    auto removeOldest() -> void;

    std::map<NodeId, Limit> limits_;
};

} // namespace jasminewood::routing
