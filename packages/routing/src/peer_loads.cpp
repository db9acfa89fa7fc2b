#include "jasminewood/routing/peer_loads.h"

#include <algorithm>

namespace jasminewood::routing
{

auto PeerLoads::applyReport(const std::string &router, bool isFullReport, const EngineLoads &loads, TimePoint now)
    -> void
{
    std::erase_if(routers_, [now](const auto &entry) {
        return now - entry.second.reportedAt_ > peerExpiry;
    });
    auto &reporter = routers_[router];
    reporter.reportedAt_ = now;
    if (isFullReport) {
        reporter.loads_.clear();
    }
    for (const auto &[engine, load] : loads) {
        reporter.loads_.erase(engine);
        if (load != EngineLoad {}) {
            reporter.loads_.emplace(engine, load);
        }
    }
}

auto PeerLoads::loadOf(const std::string &engine, TimePoint now) const -> EngineLoad
{
    auto pendingTokens = std::uint64_t(0);
    auto inFlight = std::uint32_t(0);
    auto lateTokens = std::uint64_t(0);
    for (const auto &[name, router] : routers_) {
        const auto found = router.loads_.find(engine);
        if (found != router.loads_.end() && now - router.reportedAt_ <= peerLoadExpiry) {
            pendingTokens += found->second.pendingPrefillTokens_;
            inFlight += found->second.inFlightRequests_;
            lateTokens += std::min(found->second.latePrefillTokens_, found->second.pendingPrefillTokens_);
        }
    }
    return {.pendingPrefillTokens_ = pendingTokens, .inFlightRequests_ = inFlight, .latePrefillTokens_ = lateTokens};
}

auto PeerLoads::peers(TimePoint now) const -> std::set<std::string>
{
    auto names = std::set<std::string>();
    for (const auto &[name, router] : routers_) {
        if (now - router.reportedAt_ <= peerExpiry) {
            names.insert(name);
        }
    }
    return names;
}

auto PeerLoads::peerCount(TimePoint now) const -> std::size_t
{
    return std::size_t(std::count_if(routers_.begin(), routers_.end(), [now](const auto &entry) {
        return now - entry.second.reportedAt_ <= peerExpiry;
    }));
}

auto diffLoads(const EngineLoads &before, const EngineLoads &after) -> EngineLoads
{
    auto changed = EngineLoads();
    for (const auto &[engine, load] : before) {
        if (!after.contains(engine)) {
            changed.emplace(engine, EngineLoad {});
        }
    }
    for (const auto &[engine, load] : after) {
        const auto found = before.find(engine);
        if (found == before.end() || found->second != load) {
            changed.emplace(engine, load);
        }
    }
    return changed;
}

} // namespace jasminewood::routing
