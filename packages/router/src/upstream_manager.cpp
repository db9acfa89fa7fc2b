#include "jasminewood/router/upstream_manager.h"

#include <utility>

#include "jasminewood/core/overloaded.h"

// The part of UpstreamManager that keeps the links to the agents and passes on their messages. upstream_selection.cpp
// chooses among them.

namespace jasminewood::router
{

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
                   [&](const wire::VoidReply &reply) -> void {
                       pushEvent(reply.attempt_, reply);
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

auto UpstreamManager::healthOf(const NodeId &agent) -> routing::UpstreamHealth &
{
    return healthByPool_[poolByAgent_[agent.name_]];
}

} // namespace jasminewood::router
