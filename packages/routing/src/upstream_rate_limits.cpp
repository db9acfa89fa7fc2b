#include "jasminewood/routing/upstream_rate_limits.h"

#include <algorithm>
#include <cmath>

#include "jasminewood/core/overloaded.h"
#include "rendezvous.h"

namespace jasminewood::routing
{

namespace
{

// Makes up for rounding when a bucket is exactly full enough.
constexpr double tokenTolerance = 1e-6;

auto ageOf(TimePoint time, TimePoint now) -> Milliseconds
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
}

auto capacityOf(double share) -> double
{
    return std::max(1.0, share * std::chrono::duration<double>(rateBurstTime).count());
}

} // namespace

auto UpstreamRateLimits::recordStatement(
    const NodeId &upstream, const RateLimitStatement &statement, TimePoint sentAt, TimePoint now) -> bool
{
    const auto before = limitOf(upstream);
    std::visit(Overloaded {[&](const NoRateLimit & /*none*/) {
                               if (const auto found = limits_.find(upstream); found != limits_.end()) {
                                   found->second.toldAt_ = now;
                                   applyUnlimited(found->second, sentAt);
                               }
                           },
                   [&](const RateLimit &named) {
                       auto &limit = limits_[upstream];
                       limit.toldAt_ = now;
                       applyName(limit, named.perSecond_, now, now);
                   },
                   [](const UnreadableRateLimit & /*unreadable*/) {}},
        statement);
    removeOldest();
    return limitOf(upstream) != before;
}

auto UpstreamRateLimits::merge(const std::vector<RateLimitReport> &reports, TimePoint now) -> void
{
    for (const auto &[upstream, perSecond, namedAge, unlimitedAge] : reports) {
        auto &limit = limits_[upstream];
        applyName(limit, perSecond, now - namedAge, now);
        if (unlimitedAge) {
            applyUnlimited(limit, now - *unlimitedAge);
        }
    }
    removeOldest();
}

auto UpstreamRateLimits::reports(TimePoint now) const -> std::vector<RateLimitReport>
{
    auto reports = std::vector<RateLimitReport>();
    for (const auto &[upstream, limit] : limits_) {
        if (!limit.toldAt_ || now - *limit.toldAt_ > rateLimitReportTime) {
            continue;
        }
        reports.push_back({.upstream_ = upstream,
            .perSecond_ = limit.perSecond_,
            .namedAge_ = ageOf(*limit.namedAt_, now),
            .unlimitedAge_ = limit.unlimitedSince_ ? std::optional(ageOf(*limit.unlimitedSince_, now)) : std::nullopt});
    }
    return reports;
}

auto UpstreamRateLimits::limitOf(const NodeId &upstream) const -> std::optional<double>
{
    const auto found = limits_.find(upstream);
    const auto isLimited = found != limits_.end() && isInForce(found->second);
    return isLimited ? std::optional(found->second.perSecond_) : std::nullopt;
}

auto UpstreamRateLimits::isEmpty() const -> bool
{
    return limits_.empty();
}

auto UpstreamRateLimits::timeUntilAllowed(const NodeId &upstream, const RouterFleet &fleet, TimePoint now) const
    -> std::optional<Milliseconds>
{
    const auto found = limits_.find(upstream);
    if (found == limits_.end() || !isInForce(found->second)) {
        return Milliseconds(0);
    }
    const auto share = shareOf(upstream, found->second, fleet);
    if (!share) {
        return std::nullopt;
    }
    const auto missing = 1 - tokenTolerance - tokensAt(found->second, *share, now);
    return missing <= 0 ? Milliseconds(0)
                        : std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(missing / *share));
}

auto UpstreamRateLimits::recordRequest(const NodeId &upstream, const RouterFleet &fleet, TimePoint now) -> void
{
    const auto found = limits_.find(upstream);
    if (found == limits_.end() || !isInForce(found->second)) {
        return;
    }
    auto &limit = found->second;
    const auto share = shareOf(upstream, limit, fleet);
    limit.tokens_ = share ? tokensAt(limit, *share, now) - 1 : 0;
    limit.tokensAt_ = now;
}

auto UpstreamRateLimits::shareOf(const NodeId &upstream, const Limit &limit, const RouterFleet &fleet)
    -> std::optional<double>
{
    const auto perSecond = std::max(limit.perSecond_, minimumRateLimit);
    const auto routers = fleet.others_.size() + 1;
    const auto sharers = std::clamp(std::floor(perSecond / minimumRateShare), 1.0, double(routers));
    const auto key = internal::rendezvousWeight(upstream.name_, upstream.incarnation_);
    const auto ownWeight = internal::rendezvousWeight(fleet.self_, key);
    const auto ahead = std::count_if(fleet.others_.begin(), fleet.others_.end(), [&](const std::string &router) {
        return std::pair(internal::rendezvousWeight(router, key), router) > std::pair(ownWeight, fleet.self_);
    });
    return double(ahead) < sharers ? std::optional(perSecond / sharers) : std::nullopt;
}

auto UpstreamRateLimits::tokensAt(const Limit &limit, double share, TimePoint now) -> double
{
    const auto elapsed = std::chrono::duration<double>(now - limit.tokensAt_).count();
    return std::min(capacityOf(share), limit.tokens_ + share * elapsed);
}

auto UpstreamRateLimits::isInForce(const Limit &limit) -> bool
{
    return limit.namedAt_ && (!limit.unlimitedSince_ || *limit.namedAt_ >= *limit.unlimitedSince_);
}

auto UpstreamRateLimits::applyName(Limit &limit, double perSecond, TimePoint namedAt, TimePoint now) -> void
{
    if (limit.namedAt_ && namedAt < *limit.namedAt_) {
        return;
    }
    const auto wasInForce = isInForce(limit);
    limit.perSecond_ = perSecond;
    limit.namedAt_ = namedAt;
    if (!wasInForce) {
        limit.tokens_ = 0;
        limit.tokensAt_ = now;
    }
}

auto UpstreamRateLimits::applyUnlimited(Limit &limit, TimePoint unlimitedSince) -> void
{
    limit.unlimitedSince_ = std::max(limit.unlimitedSince_.value_or(unlimitedSince), unlimitedSince);
}

auto UpstreamRateLimits::removeOldest() -> void
{
    while (limits_.size() > maximumRateLimits) {
        limits_.erase(std::min_element(limits_.begin(), limits_.end(), [](const auto &left, const auto &right) {
            return left.second.namedAt_ < right.second.namedAt_;
        }));
    }
}

} // namespace jasminewood::routing
