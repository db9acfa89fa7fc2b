#include "jasminewood/routing/peer_tokens.h"

#include <algorithm>

namespace jasminewood::routing
{

auto PeerTokens::take(
    const std::string &router, bool complete, const std::map<std::string, std::uint64_t> &tokens, TimePoint now) -> void
{
    std::erase_if(routers_, [now](const auto &entry) {
        return now - entry.second.reportedAt_ > peerReportExpiry;
    });
    auto &known = routers_[router];
    known.reportedAt_ = now;
    if (complete) {
        known.tokens_.clear();
    }
    for (const auto &[engine, count] : tokens) {
        if (count > 0) {
            known.tokens_[engine] = count;
        } else {
            known.tokens_.erase(engine);
        }
    }
}

auto PeerTokens::unread(const std::string &engine, TimePoint now) const -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto &[name, router] : routers_) {
        const auto found = router.tokens_.find(engine);
        if (found != router.tokens_.end() && now - router.reportedAt_ <= peerReportExpiry) {
            sum += found->second;
        }
    }
    return sum;
}

auto PeerTokens::peers(TimePoint now) const -> std::size_t
{
    return std::size_t(std::count_if(routers_.begin(), routers_.end(), [now](const auto &entry) {
        return now - entry.second.reportedAt_ <= peerReportExpiry;
    }));
}

auto changedTokens(const std::map<std::string, std::uint64_t> &before,
    const std::map<std::string, std::uint64_t> &after) -> std::map<std::string, std::uint64_t>
{
    auto changed = std::map<std::string, std::uint64_t>();
    for (const auto &[engine, count] : before) {
        if (!after.contains(engine)) {
            changed.emplace(engine, 0);
        }
    }
    for (const auto &[engine, count] : after) {
        const auto found = before.find(engine);
        if (found == before.end() || found->second != count) {
            changed.emplace(engine, count);
        }
    }
    return changed;
}

} // namespace jasminewood::routing
