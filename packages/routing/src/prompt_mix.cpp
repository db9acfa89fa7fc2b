#include "jasminewood/routing/prompt_mix.h"

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

auto PromptMix::arrived(const std::string &route, std::uint64_t tokens, TimePoint now) -> void
{
    decay(now);
    auto &flow = flows_[route];
    flow.requests_ += 1;
    flow.tokens_ += double(tokens);
}

auto PromptMix::decay(TimePoint now) -> void
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - decayedAt_.value_or(now)).count();
    decayedAt_ = now;
    const auto factor = std::exp2(-elapsed / double(mixHalfLife.count()));
    for (auto entry = flows_.begin(); entry != flows_.end();) {
        entry->second.requests_ *= factor;
        entry->second.tokens_ *= factor;
        entry = entry->second.requests_ < forgottenRequests ? flows_.erase(entry) : std::next(entry);
    }
}

auto PromptMix::shortestMean() const -> double
{
    auto shortest = std::numeric_limits<double>::infinity();
    for (const auto &[route, flow] : flows_) {
        if (flow.requests_ >= minimumRequests) {
            shortest = std::min(shortest, flow.tokens_ / flow.requests_);
        }
    }
    return shortest;
}

auto PromptMix::isLong(const std::string &route) const -> bool
{
    const auto found = flows_.find(route);
    return found != flows_.end()
        && found->second.tokens_ / found->second.requests_ >= longPromptFactor * shortestMean();
}

auto PromptMix::longShare() const -> double
{
    auto longTokens = 0.0;
    auto shortTokens = 0.0;
    for (const auto &[route, flow] : flows_) {
        (isLong(route) ? longTokens : shortTokens) += flow.tokens_;
    }
    return longTokens > 0 ? longTokens / (longTokens + shortLaneWeight * shortTokens) : 0;
}

} // namespace jasminewood::routing
