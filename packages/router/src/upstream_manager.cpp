#include "jasminewood/router/upstream_manager.h"
#include "jasminewood/core/overloaded.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

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

// An upstream at or above this slowness gets work only when no other upstream has a free slot. The slowness estimate
// decays to 1, so the upstream is tried again after a few seconds.
constexpr double stragglerSlowness = 2;

// Only preferred upstreams are considered while they are at least 1 / preferredDivisor of all.
constexpr std::size_t preferredDivisor = 2;

auto isPreferred(const routing::UpstreamCandidate &candidate) -> bool
{
    return candidate.freeSlots_ > 0 && candidate.slowness_ < stragglerSlowness;
}

} // namespace

UpstreamManager::UpstreamManager(routing::LoadBalancingPolicy policy, std::uint64_t seed)
    : policy_(policy)
    , chooser_(seed)
    , memberTable_(seed)
{
}

auto UpstreamManager::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("timelines", timelineCollector_)) {
        return failure;
    }
    timelineCollector_->addBroadcaster([this](const wire::Message &message) -> std::size_t {
        return broadcast(message);
    });
    manifestStore_->subscribe([this](const node::ManifestPointer &manifest) -> void {
        broadcast(wire::ManifestUpdate {.revision_ = manifest->revision_, .text_ = manifest->text_});
    });
    return std::nullopt;
}

auto UpstreamManager::stop() -> void
{
    auto agents = std::map<std::string, std::shared_ptr<Agent>>();
    {
        const auto lock = std::lock_guard(mutex_);
        stopping_ = true;
        agents = agents_;
    }
    // Links are stopped without holding the mutex, because their threads may be waiting for it.
    for (const auto &[name, agent] : agents) {
        agent->link_->stop();
    }
}

auto UpstreamManager::updateAgents(const std::vector<membership::VmEntry> &agents) -> void
{
    auto added = std::vector<membership::VmEntry>();
    {
        const auto lock = std::lock_guard(mutex_);
        if (stopping_) {
            return;
        }
        memberTable_.applyVmList(agents, Clock::now());
        for (const auto &entry : agents) {
            const auto existing = agents_.find(entry.name_);
            if (existing == agents_.end() || existing->second->address_ != entry.address_) {
                added.push_back(entry);
            }
        }
    }
    for (const auto &entry : added) {
        connect(entry);
    }
}

auto UpstreamManager::connect(const membership::VmEntry &entry) -> void
{
    const auto name = entry.name_;
    auto agent = std::make_shared<Agent>();
    agent->address_ = entry.address_;
    auto replaced = std::shared_ptr<Agent>();
    {
        const auto lock = std::lock_guard(mutex_);
        auto &current = agents_[name];
        replaced = std::exchange(current, agent);
        poolByAgent_[name] = entry.pool_;
    }
    if (replaced) {
        replaced->link_->stop();
    }
    auto link = std::make_unique<link::PeerLink>(entry.address_, node::createHello(environment_->identity()),
        link::PeerHandlers {.onConnected_ = [this, name](const std::shared_ptr<link::Connection> &connection) -> void {
                                onConnected(name, connection);
                            },
            .onMessage_ = [this, name](const wire::Message &message) -> void {
                onMessage(name, message);
            },
            .onDisconnected_ = [this, name](const Failure &failure, link::Reachability reachability) -> void {
                onDisconnected(name, failure, reachability);
            }});
    const auto lock = std::lock_guard(mutex_);
    agent->link_ = std::move(link);
}

auto UpstreamManager::onConnected(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void
{
    const auto &hello = connection->peer();
    auto sameIncarnation = false;
    {
        const auto lock = std::lock_guard(mutex_);
        const auto agent = agents_.find(name);
        if (agent == agents_.end()) {
            return;
        }
        sameIncarnation = agent->second->incarnation_ == hello.node_.incarnation_;
        agent->second->incarnation_ = hello.node_.incarnation_;
        agent->second->connection_ = connection;
        memberTable_.onConnected(membership::Peer {.node_ = NodeId {name, hello.node_.incarnation_},
                                     .address_ = agent->second->address_,
                                     .pool_ = hello.pool_,
                                     .dataCentre_ = hello.dataCentre_},
            Clock::now());
        poolByAgent_[name] = hello.pool_;
    }
    environment_->log().info("agent connected", {{"peer", toString(hello.node_)}, {"pool", hello.pool_}});
    if (const auto manifest = manifestStore_->current()) {
        static_cast<void>(
            connection->send(wire::ManifestUpdate {.revision_ = manifest->revision_, .text_ = manifest->text_}));
    }
    if (sameIncarnation) {
        pushLinkEvent(hello.node_, std::nullopt);
    }
}

auto UpstreamManager::onDisconnected(const std::string &name, const Failure &failure, link::Reachability reachability)
    -> void
{
    auto node = std::optional<NodeId>();
    {
        const auto lock = std::lock_guard(mutex_);
        const auto agent = agents_.find(name);
        if (agent == agents_.end()) {
            return;
        }
        agent->second->connection_.reset();
        node.emplace(NodeId {name, agent->second->incarnation_});
        if (reachability == link::Reachability::Unreachable) {
            memberTable_.onUnreachable(name, Clock::now());
        } else {
            memberTable_.onLinkLost(*node, Clock::now());
        }
    }
    environment_->log().warning(
        "agent disconnected", observe::concatenate({{"agent", toString(*node)}}, observe::fieldsOf(failure)));
    if (reachability != link::Reachability::Reconnected) {
        pushLinkEvent(*node,
            Failure {.step_ = "link", .peer_ = name, .reason_ = failure.reason_, .runState_ = RunState::MayHaveRun});
    }
}

auto UpstreamManager::pushLinkEvent(const NodeId &agent, const std::optional<Failure> &linkFailure) -> void
{
    const auto lock = std::lock_guard(mutex_);
    for (const auto &[attempt, open] : openAttempts_) {
        if (open.agent_ != agent) {
            continue;
        }
        if (linkFailure) {
            open.events_->push(LinkLost {.attempt_ = attempt, .failure_ = *linkFailure});
        } else {
            open.events_->push(LinkReconnected {.attempt_ = attempt});
        }
    }
}

auto UpstreamManager::onMessage(const std::string &name, const wire::Message &message) -> void
{
    std::visit(Overloaded {[&](const wire::Heartbeat &heartbeat) -> void {
                               onHeartbeat(name, heartbeat);
                           },
                   [&](const wire::Leaving & /*leaving*/) -> void {
                       onLeaving(name);
                   },
                   [&](const wire::Started &started) -> void {
                       pushEvent(started.attempt_, started);
                   },
                   [&](const wire::Frame &frame) -> void {
                       pushEvent(frame.attempt_, frame);
                   },
                   [&](const wire::Finished &finished) -> void {
                       pushEvent(finished.attempt_, finished);
                   },
                   [&](const wire::Failed &failed) -> void {
                       pushEvent(failed.attempt_, failed);
                   },
                   [&](const wire::Voided &voided) -> void {
                       pushEvent(voided.attempt_, voided);
                   },
                   [&](const wire::TimelineReply &reply) -> void {
                       timelineCollector_->onReply(reply);
                   },
                   [&](const auto & /*other*/) -> void {
                       environment_->log().warning("unexpected message type from an agent", {{"peer", name}});
                   }},
        message);
}

auto UpstreamManager::onHeartbeat(const std::string &name, const wire::Heartbeat &heartbeat) -> void
{
    if (!heartbeat.load_) {
        return;
    }
    const auto lock = std::lock_guard(mutex_);
    const auto agent = agents_.find(name);
    if (agent == agents_.end()) {
        return;
    }
    agent->second->loadReport_.emplace(*heartbeat.load_);
    if (heartbeat.load_->leaving_) {
        memberTable_.onLeaving(NodeId {name, agent->second->incarnation_});
    }
}

auto UpstreamManager::onLeaving(const std::string &name) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto agent = agents_.find(name);
    if (agent != agents_.end()) {
        memberTable_.onLeaving(NodeId {name, agent->second->incarnation_});
    }
}

auto UpstreamManager::pushEvent(const AttemptId &attempt, const AttemptEvent &event) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto open = openAttempts_.find(attempt);
    if (open != openAttempts_.end()) {
        open->second.events_->push(event);
    }
}

auto UpstreamManager::choose(const std::string &pool, const routing::SelectionRequest &request) -> Result<NodeId>
{
    const auto lock = std::lock_guard(mutex_);
    const auto all = candidates(pool, request.tier_, Clock::now());
    if (std::holds_alternative<routing::PowerOfChoices>(policy_)) {
        auto preferred = std::vector<routing::UpstreamCandidate>();
        std::copy_if(all.begin(), all.end(), std::back_inserter(preferred), isPreferred);
        // Near saturation, all routers would otherwise choose the same few upstreams that last reported a free slot,
        // and those slots would be taken when the requests arrive.
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
            .outstanding_ = openAttemptCountUpToTier(member.node_, tier),
            .queuedAhead_ = reportedAttempts > ownAttempts ? reportedAttempts - ownAttempts : 0,
            .freeSlots_ = load.freeSlots_,
            .slowness_ = health == healthByPool_.end() ? 1.0 : health->second.slowness(member.node_, now),
            .runsSuspect_ = suspectCounts_.count(member.node_) > 0});
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

auto UpstreamManager::openAttempt(const AttemptId &attempt, const NodeId &agent, Tier tier, bool suspect,
    std::shared_ptr<AttemptEventQueue> events) -> void
{
    const auto lock = std::lock_guard(mutex_);
    openAttempts_.emplace(
        attempt, OpenAttempt {.agent_ = agent, .tier_ = tier, .crashSuspect_ = suspect, .events_ = std::move(events)});
    ++openAttemptCountsByTier_[agent].at(tier);
    takeFreeSlot(agent.name_);
    if (suspect) {
        ++suspectCounts_[agent];
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
        decrement(suspectCounts_, open->second.agent_);
    }
    openAttempts_.erase(open);
}

auto UpstreamManager::send(const NodeId &agent, const wire::Message &message) -> Status
{
    auto connection = std::shared_ptr<link::Connection>();
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = agents_.find(agent.name_);
        if (found != agents_.end() && found->second->incarnation_ == agent.incarnation_) {
            connection = found->second->connection_;
        }
    }
    if (!connection) {
        return Failure {.step_ = "dispatch", .peer_ = agent.name_, .reason_ = "no connection to this agent"};
    }
    if (const auto failure = connection->send(message)) {
        // Part of the message may have been sent.
        return Failure {
            .step_ = "dispatch", .peer_ = agent.name_, .reason_ = failure->reason_, .runState_ = RunState::MayHaveRun};
    }
    return std::nullopt;
}

auto UpstreamManager::recordTimeToFirstToken(const NodeId &agent, Microseconds sinceStart) -> void
{
    const auto lock = std::lock_guard(mutex_);
    healthOf(agent).recordTimeToFirstToken(agent, sinceStart, Clock::now());
}

auto UpstreamManager::recordInterTokenLatency(const NodeId &agent, Microseconds elapsed) -> void
{
    const auto lock = std::lock_guard(mutex_);
    healthOf(agent).recordInterTokenLatency(agent, elapsed, Clock::now());
}

auto UpstreamManager::recordFirstTokenWait(const NodeId &agent, Microseconds sinceStart) -> void
{
    const auto lock = std::lock_guard(mutex_);
    healthOf(agent).recordFirstTokenWait(agent, sinceStart, Clock::now());
}

auto UpstreamManager::recordFailure(const NodeId &agent) -> void
{
    const auto lock = std::lock_guard(mutex_);
    healthOf(agent).recordFailure(agent, Clock::now());
}

auto UpstreamManager::statuses() const -> std::vector<UpstreamStatus>
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    auto result = std::vector<UpstreamStatus>();
    for (const auto &member : memberTable_.members()) {
        const auto agent = agents_.find(member.node_.name_);
        const auto health = healthByPool_.find(member.pool_);
        result.push_back(UpstreamStatus {.member_ = member,
            .loadReport_
            = agent == agents_.end() ? wire::LoadReport {} : agent->second->loadReport_.value_or(wire::LoadReport {}),
            .openAttemptCount_ = openAttemptCount(member.node_),
            .slowness_ = health == healthByPool_.end() ? 1.0 : health->second.slowness(member.node_, now)});
    }
    return result;
}

auto UpstreamManager::broadcast(const wire::Message &message) -> std::size_t
{
    auto connections = std::vector<std::shared_ptr<link::Connection>>();
    {
        const auto lock = std::lock_guard(mutex_);
        for (const auto &[name, agent] : agents_) {
            if (agent->connection_) {
                connections.push_back(agent->connection_);
            }
        }
    }
    auto sent = std::size_t(0);
    for (const auto &connection : connections) {
        sent += connection->send(message) ? 0 : 1;
    }
    return sent;
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

auto UpstreamManager::healthOf(const NodeId &agent) -> routing::UpstreamHealth &
{
    return healthByPool_[poolByAgent_[agent.name_]];
}

} // namespace jasminewood::router
