#include "jasminewood/routing/route_prompt_stats.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminewood::routing
{

namespace
{

// A route with fewer requests than this, after decay, says nothing yet about the size of its prompts.
constexpr double minimumRequests = 2;
// Routes that are forgotten, so that removed routes take no memory.
constexpr double forgottenRequests = 0.01;

} // namespace

auto RoutePromptStatsTracker::recordArrival(const std::string &route, std::uint64_t tokens, TimePoint now) -> void
{
    decay(now);
    auto &flow = own_[route];
    flow.requests_ += 1;
    flow.tokens_ += double(tokens);
    addUp();
}

auto RoutePromptStatsTracker::applyPeerReport(
    const std::string &router, const std::vector<RoutePromptStats> &flows, TimePoint now) -> void
{
    decay(now);
    auto &peer = peers_[router];
    peer.reportedAt_ = now;
    peer.flows_.clear();
    for (const auto &flow : flows) {
        peer.flows_[flow.route_] = {.requests_ = flow.requests_, .tokens_ = flow.tokens_};
    }
    addUp();
}

auto RoutePromptStatsTracker::localStats() const -> std::vector<RoutePromptStats>
{
    auto order = std::vector<Flows::const_iterator>();
    for (auto entry = own_.begin(); entry != own_.end(); ++entry) {
        order.push_back(entry);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return left->second.tokens_ > right->second.tokens_;
    });
    order.resize(std::min(order.size(), maximumReportedRoutes));
    auto flows = std::vector<RoutePromptStats>();
    for (const auto &entry : order) {
        flows.push_back(
            {.route_ = entry->first, .requests_ = entry->second.requests_, .tokens_ = entry->second.tokens_});
    }
    return flows;
}

auto RoutePromptStatsTracker::decay(TimePoint now) -> void
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - decayedAt_.value_or(now)).count();
    decayedAt_ = now;
    const auto factor = std::exp2(-elapsed / double(promptStatsHalfLife.count()));
    for (auto entry = own_.begin(); entry != own_.end();) {
        entry->second.requests_ *= factor;
        entry->second.tokens_ *= factor;
        entry = entry->second.requests_ < forgottenRequests ? own_.erase(entry) : std::next(entry);
    }
    std::erase_if(peers_, [now](const auto &entry) {
        return now - entry.second.reportedAt_ > promptStatsExpiry;
    });
}

auto RoutePromptStatsTracker::addUp() -> void
{
    all_ = own_;
    for (const auto &[router, peer] : peers_) {
        for (const auto &[route, flow] : peer.flows_) {
            auto &sum = all_[route];
            sum.requests_ += flow.requests_;
            sum.tokens_ += flow.tokens_;
        }
    }
}

auto RoutePromptStatsTracker::shortestMean() const -> double
{
    auto shortest = std::numeric_limits<double>::infinity();
    for (const auto &[route, flow] : all_) {
        if (flow.requests_ >= minimumRequests) {
            shortest = std::min(shortest, flow.tokens_ / flow.requests_);
        }
    }
    return shortest;
}

auto RoutePromptStatsTracker::hasLongPrompts(const std::string &route) const -> bool
{
    const auto found = all_.find(route);
    return found != all_.end() && found->second.tokens_ / found->second.requests_ >= longPromptFactor * shortestMean();
}

auto RoutePromptStatsTracker::longPromptLaneShare() const -> double
{
    auto longTokens = 0.0;
    auto shortTokens = 0.0;
    for (const auto &[route, flow] : all_) {
        (hasLongPrompts(route) ? longTokens : shortTokens) += flow.tokens_;
    }
    return longTokens > 0 ? longTokens / (longTokens + shortPromptWeight * shortTokens) : 0;
}

} // namespace jasminewood::routing
