#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "jasminewood/election/leader_election.h"
#include "jasminewood/placement/command_fence.h"
#include "jasminewood/placement/load_plan.h"

// A simulation of the environment of LeaderElection, CommandFence and planLoads: a key-value service that loses
// responses and delays writes, routers that pause between any two steps, also with their clocks, messages with any
// delay, and agents that restart.

namespace jasminewood::placement
{

using namespace election;

// Safety mechanisms that can be switched off to show that the checks detect their absence.
struct SafetyMechanisms
{
    // Agents execute a command only if their fence admits it.
    const bool fencingEnabled_ = true;
    // A restarted agent has the leader's key read; otherwise it accepts any first number.
    const bool confirmsLeaderAfterRestart_ = true;
};

// Random numbers that select the event of a step, its target, and details such as the outcome.
using RandomStep = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

class PlacementModel
{
public:
    explicit PlacementModel(const SafetyMechanisms &mechanisms, manifest::Fencing fencing = manifest::Fencing::Ignored);

    auto run(const std::vector<RandomStep> &steps) -> void;

    // Runs without faults for a bounded time and returns whether each class has the upstreams that it needs.
    auto satisfiesDemandAfterRecovery() -> bool;

    // Returns a description of the first guarantee that was violated; empty if all held.
    auto violation() const -> std::string;

    // Returns the number of loads that were executed.
    auto loadCount() const -> std::size_t;

private:
    struct UpstreamView
    {
        std::uint64_t incarnation_ = 0;
        // Sequence of the last command other than QueryState.
        std::uint64_t lastCommandSequence_ = 0;
        bool confirmed_ = false;
        bool loading_ = false;
        std::optional<ModelVersion> target_;
        std::optional<ModelVersion> loaded_;
    };

    struct Router
    {
        LeaderElection election_;
        // Time by which the router's clock is behind.
        Milliseconds clockLag_ = Milliseconds(0);
        bool suspended_ = false;
        std::optional<Action> action_;
        std::optional<Event> outcome_;
        std::uint64_t fencingToken_ = 0;
        std::uint64_t sequence_ = 0;
        std::vector<UpstreamView> views_;
    };

    struct Upstream
    {
        std::optional<CommandFence> fence_;
        std::uint64_t incarnation_ = 1;
        std::optional<TimePoint> callEndsAt_;
        // A load of the engine continues when the agent restarts.
        TimePoint loadStartsAt_;
        TimePoint loadEndsAt_;
        std::optional<ModelVersion> loaded_;
        // Highest fencing token of a command that was executed here.
        std::uint64_t highestExecutedToken_ = 0;
    };

    struct CommandMessage
    {
        std::size_t router_;
        std::size_t upstream_;
        NumberedCommand command_;
    };

    struct QueryStateReply
    {
        std::size_t router_;
        std::size_t upstream_;
        NumberedCommand command_;
        bool busy_;
        std::optional<ModelVersion> loaded_;
    };

    struct LeaderQuery
    {
        std::size_t upstream_;
        ReadLeader query_;
    };

    struct LeaderQueryReply
    {
        std::size_t upstream_;
        LeaderReadResult result_;
    };

    using Message = std::variant<CommandMessage, QueryStateReply, LeaderQuery, LeaderQueryReply>;

    struct LeaderKey
    {
        LeaderRecord record_;
        std::uint64_t revision_ = 0;
    };

    auto advance(Milliseconds duration) -> void;
    auto stepRouter(Router &router, std::uint8_t fault) -> void;
    auto callStore(const Action &action, TimePoint sentAt, std::uint8_t fault) -> Event;
    auto createKey(const CreateKey &create) -> Event;
    auto readKey() const -> Event;
    auto issueCommands(std::size_t index, bool queryStates) -> void;
    auto queryAllUpstreams(std::size_t index) -> void;
    auto sendCommand(std::size_t router, std::size_t upstream, const Command &command) -> void;
    auto commandPlannedLoads(std::size_t index) -> void;
    auto deliverMessage(std::size_t index, std::uint8_t detail) -> void;
    auto onMessage(const CommandMessage &message, std::uint8_t detail) -> void;
    auto onMessage(const QueryStateReply &message) -> void;
    auto executeLoad(Upstream &upstream, const NumberedCommand &command, std::uint8_t detail) -> void;
    auto checkCommandOrder(Upstream &upstream, const NumberedCommand &command) -> void;
    auto restartAgent(Upstream &upstream) -> void;
    auto checkServiceLimits() -> void;
    auto demandSatisfied() const -> bool;

    SafetyMechanisms mechanisms_;
    manifest::Fencing fencing_;
    manifest::Manifest manifest_;
    TimePoint now_;
    std::uint64_t revision_ = 0;
    std::int64_t leaseCount_ = 0;
    std::optional<LeaderKey> key_;
    std::map<std::int64_t, TimePoint> leases_;
    std::vector<CreateKey> lateWrites_;
    std::vector<Router> routers_;
    std::vector<Upstream> upstreams_;
    std::list<Message> messages_;
    DemandByClass demand_ = {{"chat", 4}, {"quote", 16}};
    DemandByClass otherDemand_ = {{"chat", 16}, {"quote", 4}};
    std::size_t loadCount_ = 0;
    std::string violation_;
};

} // namespace jasminewood::placement
