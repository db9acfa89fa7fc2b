#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "jasminewood/router/upstream_manager.h"

// The part of UpstreamManager that chooses upstreams and counts this router's open attempts there.

namespace jasminewood::router
{

namespace
{

auto decrement(std::map<NodeId, std::uint32_t> &counts, const NodeId &node) -> void
{
    const auto found = counts.find(node);
    if (found != counts.end() && --found->second == 0) {
        counts.erase(found);
    }
}

// An upstream at or above this slowness is not preferred. The slowness estimate decays to 1, so the upstream is tried
// again after a few seconds.
constexpr double stragglerSlowness = 2;

// Only preferred upstreams are considered if they are at least 1 / preferredDivisor of the candidates.
constexpr std::size_t preferredDivisor = 2;

auto isPreferred(const routing::UpstreamCandidate &candidate) -> bool
{
    return candidate.freeSlots_ > 0 && candidate.slowness_ < stragglerSlowness;
}

} // namespace

auto UpstreamManager::choose(const std::string &pool, const routing::SelectionRequest &request) -> Result<NodeId>
{
    const auto lock = std::lock_guard(mutex_);
    const auto all = candidates(pool, request.tier_, Clock::now());
    if (std::holds_alternative<routing::PowerOfChoices>(policy_)) {
        auto preferred = std::vector<routing::UpstreamCandidate>();
        std::copy_if(all.begin(), all.end(), std::back_inserter(preferred), isPreferred);
        // If few upstreams are preferred, all routers would choose the same ones, and their free slots would be taken
        // before most requests arrive.
        if (preferred.size() * preferredDivisor >= all.size()) {
            auto chosen = chooser_.choose(policy_, request, preferred);
            if (chosen) {
                return chosen;
            }
        }
    }
    return chooser_.choose(policy_, request, all);
}

auto UpstreamManager::candidates(const std::string &pool, Tier tier, TimePoint now) const
    -> std::vector<routing::UpstreamCandidate>
{
    const auto health = healthByPool_.find(pool);
    auto found = std::vector<routing::UpstreamCandidate>();
    for (const auto &member : memberTable_.routableMembers(pool)) {
        const auto agent = agents_.find(member.node_.name_);
        if (agent == agents_.end() || !agent->second->connection_) {
            continue;
        }
        const auto load = agent->second->loadReport_.value_or(wire::LoadReport {});
        auto reportedAttempts = load.running_;
        for (auto otherTier = 0; otherTier <= tier; ++otherTier) {
            reportedAttempts += load.queuedByTier_.at(static_cast<std::size_t>(otherTier));
        }
        const auto ownAttempts = openAttemptCount(member.node_);
        found.push_back(routing::UpstreamCandidate {.node_ = member.node_,
            .dataCentre_ = member.dataCentre_,
            .inFlight_ = openAttemptCountUpToTier(member.node_, tier),
            .reportedAhead_ = reportedAttempts > ownAttempts ? reportedAttempts - ownAttempts : 0,
            .freeSlots_ = load.freeSlots_,
            .slowness_ = health == healthByPool_.end() ? 1.0 : health->second.slowness(member.node_, now),
            .hasCrashSuspect_ = crashSuspectCounts_.count(member.node_) > 0});
    }
    return found;
}

auto UpstreamManager::chooseWithCapacity(const std::string &pool, const routing::SelectionRequest &request)
    -> Result<NodeId>
{
    const auto lock = std::lock_guard(mutex_);
    auto withCapacity = std::vector<routing::UpstreamCandidate>();
    for (const auto &candidate : candidates(pool, request.tier_, Clock::now())) {
        if (hasCapacity(candidate.node_, request.tier_)) {
            withCapacity.push_back(candidate);
        }
    }
    return chooser_.choose(policy_, request, withCapacity);
}

auto UpstreamManager::hasCapacity(const NodeId &agent, Tier tier) const -> bool
{
    const auto found = agents_.find(agent.name_);
    if (found == agents_.end() || !found->second->loadReport_) {
        return false;
    }
    const auto &load = *found->second->loadReport_;
    auto queuedAtLowerTiers = std::uint32_t(0);
    for (auto lowerTier = std::size_t(tier) + 1; lowerTier < load.queuedByTier_.size(); ++lowerTier) {
        queuedAtLowerTiers += load.queuedByTier_.at(lowerTier);
    }
    return load.freeSlots_ > 0 || queuedAtLowerTiers > 0;
}

auto UpstreamManager::reserveFreeSlot(const std::string &pool, const NodeId &agent) -> std::optional<NodeId>
{
    const auto lock = std::lock_guard(mutex_);
    const auto all = candidates(pool, highestTier, Clock::now());
    auto best = all.end();
    for (auto candidate = all.begin(); candidate != all.end(); ++candidate) {
        const auto hasFreeSlot = candidate->node_ != agent && candidate->freeSlots_ > 0;
        if (hasFreeSlot && (best == all.end() || routing::loadScore(*candidate) < routing::loadScore(*best))) {
            best = candidate;
        }
    }
    if (best == all.end()) {
        return std::nullopt;
    }
    takeFreeSlot(best->node_.name_);
    return best->node_;
}

auto UpstreamManager::takeFreeSlot(const std::string &name) -> void
{
    const auto agent = agents_.find(name);
    if (agent == agents_.end() || !agent->second->loadReport_ || agent->second->loadReport_->freeSlots_ == 0) {
        return;
    }
    const auto load = *agent->second->loadReport_;
    agent->second->loadReport_.emplace(wire::LoadReport {.running_ = load.running_ + 1,
        .freeSlots_ = load.freeSlots_ - 1,
        .queuedByTier_ = load.queuedByTier_,
        .timeToFirstToken_ = load.timeToFirstToken_,
        .interTokenLatency_ = load.interTokenLatency_,
        .leaving_ = load.leaving_});
}

auto UpstreamManager::openAttempt(const AttemptId &attempt, const NodeId &agent, Tier tier, bool crashSuspect,
    std::shared_ptr<AttemptEventQueue> events) -> void
{
    const auto lock = std::lock_guard(mutex_);
    openAttempts_.emplace(attempt,
        OpenAttempt {.agent_ = agent, .tier_ = tier, .crashSuspect_ = crashSuspect, .events_ = std::move(events)});
    ++openAttemptCountsByTier_[agent].at(tier);
    takeFreeSlot(agent.name_);
    if (crashSuspect) {
        ++crashSuspectCounts_[agent];
    }
}

auto UpstreamManager::closeAttempt(const AttemptId &attempt) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto open = openAttempts_.find(attempt);
    if (open == openAttempts_.end()) {
        return;
    }
    const auto &[attemptId, ended] = *open;
    const auto counts = openAttemptCountsByTier_.find(ended.agent_);
    --counts->second.at(ended.tier_);
    if (openAttemptCount(ended.agent_) == 0) {
        openAttemptCountsByTier_.erase(counts);
    }
    if (open->second.crashSuspect_) {
        decrement(crashSuspectCounts_, open->second.agent_);
    }
    openAttempts_.erase(open);
}

auto UpstreamManager::openAttemptCount(const NodeId &agent) const -> std::uint32_t
{
    return openAttemptCountUpToTier(agent, lowestTier);
}

auto UpstreamManager::openAttemptCountUpToTier(const NodeId &agent, Tier tier) const -> std::uint32_t
{
    const auto found = openAttemptCountsByTier_.find(agent);
    if (found == openAttemptCountsByTier_.end()) {
        return 0;
    }
    return std::accumulate(found->second.begin(), found->second.begin() + tier + 1, std::uint32_t(0));
}

} // namespace jasminewood::router
