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

// Service "upstreams" of the router: the agents that it knows, a link to each, what it has seen of them, and the
// attempts that run there.
//
//     const auto agent = upstreams->choose("chat", request);
//     upstreams->open(attempt, *agent, mailbox);
//     upstreams->send(*agent, dispatch);
//     ...
//     upstreams->close(attempt);

namespace jasminewood::router
{

// One upstream as operators see it.
struct UpstreamStatus
{
    const membership::Member member_;
    const wire::LoadReport loadReport_;
    // Attempts of this router.
    const std::uint32_t outstandingAttempts_ = 0;
    const double slowness_ = 1;

    auto operator<=>(const UpstreamStatus &) const = default;
};

// Thread-safe. Runs one task for each agent.
class UpstreamManager
{
public:
    UpstreamManager(routing::LoadBalancingPolicy policy, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Takes over a new VM list and opens links to agents that are new in it.
    auto updateAgents(const std::vector<membership::VmEntry> &agents) -> void;

    // Chooses the upstream for one attempt; fails as not run if the pool has none that takes it.
    auto choose(const std::string &pool, const routing::SelectionRequest &request) -> Result<NodeId>;

    // As choose(), but only among upstreams that have a free slot or a queued attempt of a lower tier to evict.
    auto chooseWithCapacity(const std::string &pool, const routing::SelectionRequest &request) -> Result<NodeId>;

    // Reserves a free slot of another upstream of the pool for an attempt that is queued at this one. Each slot of a
    // load report is given to one attempt only, so that a freed slot does not draw all that wait.
    auto reserveFreeSlot(const std::string &pool, const NodeId &agent) -> std::optional<NodeId>;

    // Registers the attempt: its events go to the mailbox until close().
    auto openAttempt(const AttemptId &attempt, const NodeId &agent, Tier tier, bool suspect,
        std::shared_ptr<AttemptEventQueue> mailbox) -> void;
    auto closeAttempt(const AttemptId &attempt) -> void;

    // Sends to this incarnation of the agent. Fails as not run if there is no connection to it; a failure after the
    // send began is MayHaveRun.
    auto send(const NodeId &agent, const wire::Message &message) -> Status;

    // What the router measured itself of an attempt.
    auto recordTimeToFirstToken(const NodeId &agent, Microseconds sinceStart) -> void;
    auto recordInterTokenLatency(const NodeId &agent, Microseconds elapsed) -> void;
    auto recordFirstTokenWait(const NodeId &agent, Microseconds sinceStart) -> void;
    auto recordFailure(const NodeId &agent) -> void;

    auto statuses() const -> std::vector<UpstreamStatus>;

    // Sends a message to every connected agent and returns to how many.
    auto broadcast(const wire::Message &message) -> std::size_t;

private:
    struct Agent
    {
        std::unique_ptr<link::PeerLink> link_;
        std::shared_ptr<link::Connection> connection_;
        std::string address_;
        std::uint64_t incarnation_ = 0;
        std::optional<wire::LoadReport> load_;
    };

    struct Open
    {
        NodeId agent_;
        Tier tier_;
        bool suspect_;
        std::shared_ptr<AttemptEventQueue> mailbox_;
    };

    auto connect(const membership::VmEntry &entry) -> void;
    auto onUp(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void;
    auto onDown(const std::string &name, const Failure &failure, link::Reachability reachability) -> void;
    auto onMessage(const std::string &name, const wire::Message &message) -> void;
    auto onHeartbeat(const std::string &name, const wire::Heartbeat &heartbeat) -> void;
    auto onLeaving(const std::string &name) -> void;
    auto forward(const AttemptId &attempt, const AttemptEvent &event) -> void;
    auto tellAttempts(const NodeId &agent, const std::optional<Failure> &lost) -> void;
    auto candidates(const std::string &pool, Tier tier, TimePoint now) const -> std::vector<routing::UpstreamCandidate>;
    auto outstanding(const NodeId &agent) const -> std::uint32_t;
    // Attempts of this router there that a request of the tier does not overtake.
    auto outstandingUpTo(const NodeId &agent, Tier tier) const -> std::uint32_t;
    auto useFreeSlot(const std::string &name) -> void;
    auto hasRoom(const NodeId &agent, Tier tier) const -> bool;
    auto healthOf(const NodeId &agent) -> routing::UpstreamHealth &;

    const routing::LoadBalancingPolicy policy_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<TimelineCollector> timelines_;

    mutable std::mutex mutex_;
    routing::UpstreamChooser chooser_;
    membership::MemberTable members_;
    std::map<std::string, std::shared_ptr<Agent>> agents_;
    std::map<std::string, std::string> poolByAgent_;
    std::map<std::string, routing::UpstreamHealth> healthByPool_;
    std::map<AttemptId, Open> open_;
    std::map<NodeId, std::array<std::uint32_t, tierCount>> outstanding_;
    std::map<NodeId, std::uint32_t> suspects_;
    bool stopping_ = false;
};

} // namespace jasminewood::router
