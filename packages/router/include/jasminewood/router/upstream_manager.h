#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/link/peer_link.h"
#include "jasminewood/membership/member_table.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/router/attempt_event_queue.h"
#include "jasminewood/router/timeline_collector.h"
#include "jasminewood/routing/upstream_chooser.h"
#include "jasminewood/routing/upstream_health.h"

// Service "upstreams" of the router: the agents of the VM list with a link to each, their load and health as this
// router has observed them, and the open attempts at each.
//
//     const auto agent = upstreams->choose("chat", request);
//     upstreams->openAttempt(attempt, *agent, tier, suspect, events);
//     upstreams->send(*agent, dispatch);
//     ...
//     upstreams->closeAttempt(attempt);

namespace jasminewood::router
{

// State of one upstream as shown to operators.
struct UpstreamStatus
{
    const membership::Member member_;
    const wire::LoadReport loadReport_;
    // Open attempts of this router.
    const std::uint32_t openAttemptCount_ = 0;
    const double slowness_ = 1;

    auto operator<=>(const UpstreamStatus &) const = default;
};

// Thread-safe. Runs one thread for each agent.
class UpstreamManager
{
public:
    UpstreamManager(routing::LoadBalancingPolicy policy, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Applies a new VM list and opens links to agents that are new or have a new address.
    auto updateAgents(const std::vector<membership::VmEntry> &agents) -> void;

    // Chooses the upstream for one attempt. Fails with run state NotRun if no upstream of the pool is eligible.
    auto choose(const std::string &pool, const routing::SelectionRequest &request) -> Result<NodeId>;

    // Like choose(), but only among upstreams that have a free slot or a queued attempt of a lower tier to evict.
    auto chooseWithCapacity(const std::string &pool, const routing::SelectionRequest &request) -> Result<NodeId>;

    // Reserves a free slot at another upstream of the pool for an attempt that is queued at this agent. Each free slot
    // of a load report is reserved only once, so that a single free slot does not attract all queued attempts.
    auto reserveFreeSlot(const std::string &pool, const NodeId &agent) -> std::optional<NodeId>;

    // Registers the attempt: its events are pushed to the queue until closeAttempt().
    auto openAttempt(const AttemptId &attempt, const NodeId &agent, Tier tier, bool suspect,
        std::shared_ptr<AttemptEventQueue> events) -> void;
    auto closeAttempt(const AttemptId &attempt) -> void;

    // Sends to this incarnation of the agent. Fails with run state NotRun if there is no connection to it, and with
    // MayHaveRun if the send had begun.
    auto send(const NodeId &agent, const wire::Message &message) -> Status;

    // Record measurements of one attempt at this agent. recordFirstTokenWait() takes the time waited so far, before the
    // first token.
    auto recordTimeToFirstToken(const NodeId &agent, Microseconds sinceStart) -> void;
    auto recordInterTokenLatency(const NodeId &agent, Microseconds elapsed) -> void;
    auto recordFirstTokenWait(const NodeId &agent, Microseconds sinceStart) -> void;
    auto recordFailure(const NodeId &agent) -> void;

    auto statuses() const -> std::vector<UpstreamStatus>;

    // Sends a message to all connected agents and returns their number.
    auto broadcast(const wire::Message &message) -> std::size_t;

private:
    struct Agent
    {
        std::unique_ptr<link::PeerLink> link_;
        std::shared_ptr<link::Connection> connection_;
        std::string address_;
        std::uint64_t incarnation_ = 0;
        std::optional<wire::LoadReport> loadReport_;
    };

    struct OpenAttempt
    {
        NodeId agent_;
        Tier tier_;
        bool crashSuspect_;
        std::shared_ptr<AttemptEventQueue> events_;
    };

    auto connect(const membership::VmEntry &entry) -> void;
    auto onConnected(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void;
    auto onDisconnected(const std::string &name, const Failure &failure, link::Reachability reachability) -> void;
    auto onMessage(const std::string &name, const wire::Message &message) -> void;
    auto onHeartbeat(const std::string &name, const wire::Heartbeat &heartbeat) -> void;
    auto onLeaving(const std::string &name) -> void;
    auto pushEvent(const AttemptId &attempt, const AttemptEvent &event) -> void;
    // Pushes LinkLost to the open attempts at the agent, or LinkReconnected if linkFailure is empty.
    auto pushLinkEvent(const NodeId &agent, const std::optional<Failure> &linkFailure) -> void;
    auto candidates(const std::string &pool, Tier tier, TimePoint now) const -> std::vector<routing::UpstreamCandidate>;
    auto openAttemptCount(const NodeId &agent) const -> std::uint32_t;
    // Returns the number of open attempts of this router at the agent that a request of the tier does not overtake:
    // those of the same or a higher tier.
    auto openAttemptCountUpToTier(const NodeId &agent, Tier tier) const -> std::uint32_t;
    auto takeFreeSlot(const std::string &name) -> void;
    auto hasCapacity(const NodeId &agent, Tier tier) const -> bool;
    auto healthOf(const NodeId &agent) -> routing::UpstreamHealth &;

    const routing::LoadBalancingPolicy policy_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<TimelineCollector> timelineCollector_;

    mutable std::mutex mutex_;
    routing::UpstreamChooser chooser_;
    membership::MemberTable memberTable_;
    std::map<std::string, std::shared_ptr<Agent>> agents_;
    std::map<std::string, std::string> poolByAgent_;
    std::map<std::string, routing::UpstreamHealth> healthByPool_;
    std::map<AttemptId, OpenAttempt> openAttempts_;
    std::map<NodeId, std::array<std::uint32_t, tierCount>> openAttemptCountsByTier_;
    std::map<NodeId, std::uint32_t> suspectCounts_;
    bool stopping_ = false;
};

} // namespace jasminewood::router
