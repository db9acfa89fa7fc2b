#pragma once

#include <compare>
#include <cstdint>
#include <variant>

#include "jasminewood/core/clock.h"

// Decides which requests a process refuses that lags behind, so that their callers reach another one in time.
//
//     const auto decision = admitUnderLag(request, conditions);

namespace jasminewood::congestion
{

// The share of a route's latency target up to which a lag refuses nothing.
constexpr double toleratedLagShare = 0.25;
// Streams are refused only at a lag that is higher by this share of the target, and so are the most urgent requests.
constexpr double streamLagShare = 0.25;
constexpr double urgentLagShare = 0.25;
// The number that stands for the least urgent requests; 0 stands for the most urgent ones.
constexpr std::uint32_t leastUrgent = 9;
// No more than this share of the requests of a second is refused.
constexpr double maximumRefusedShare = 0.5;
// Nothing is refused for this time after the start, in which many callers connect at once.
constexpr auto startupTime = Milliseconds(1'000);
// Bounds of the time after which a refused caller should try again, at another process.
constexpr auto minimumRetryDelay = Milliseconds(50);
constexpr auto maximumRetryDelay = Milliseconds(200);

// The response is sent at once when it is complete.
struct PlainResponse
{
    auto operator<=>(const PlainResponse &) const = default;
};

struct EventStream
{
    // Whether the request continues a stream that began before.
    const bool resumes_ = false;

    auto operator<=>(const EventStream &) const = default;
};

using ResponseKind = std::variant<PlainResponse, EventStream>;

struct LagRequest
{
    const ResponseKind kind_;
    // The latency target of the route; 0 if it has none.
    const Milliseconds target_ = Milliseconds(0);
    // The time since the arrival of the request.
    const Milliseconds elapsed_ = Milliseconds(0);
    // From 0, the most urgent, to leastUrgent.
    const std::uint32_t urgency_ = 0;
    // A hash of the request's id.
    const std::uint64_t hash_ = 0;

    auto operator<=>(const LagRequest &) const = default;
};

struct LagConditions
{
    const Milliseconds lag_ = Milliseconds(0);
    // Whether other processes were heard of recently.
    const bool hasPeers_ = false;
    const Clock::duration sinceStart_ = Clock::duration::zero();
    // The requests of the present second, including this one, and those refused among them.
    const std::uint32_t requests_ = 0;
    const std::uint32_t refused_ = 0;

    auto operator<=>(const LagConditions &) const = default;
};

struct AdmittedUnderLag
{
    auto operator<=>(const AdmittedUnderLag &) const = default;
};

struct RefusedForLag
{
    const Milliseconds retryAfter_ = Milliseconds(0);

    auto operator<=>(const RefusedForLag &) const = default;
};

using LagDecision = std::variant<AdmittedUnderLag, RefusedForLag>;

// Refuses a share of the requests whose remaining target is shorter than the lag. The share rises with the lag.
auto admitUnderLag(const LagRequest &request, const LagConditions &conditions) -> LagDecision;

// Counts the requests of a second and those refused among them. Not thread-safe.
class RefusalTally
{
public:
    auto recordRequest(TimePoint now) -> void;
    auto recordRefusal(TimePoint now) -> void;

    auto requests(TimePoint now) const -> std::uint32_t;
    auto refused(TimePoint now) const -> std::uint32_t;

private:
    std::int64_t second_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t refused_ = 0;
};

} // namespace jasminewood::congestion
