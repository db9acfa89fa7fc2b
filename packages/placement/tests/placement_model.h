#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "jasminewood/placement/fence.h"
#include "jasminewood/placement/leader_election.h"
#include "jasminewood/placement/load_plan.h"

// A model of everything around LeaderElection, CommandFence and planLoads: a key-value service whose answers are lost and whose
// writes may be late, routers that pause between any two steps, also with their clocks, messages of any delay, and
// agents that restart.

namespace jasminewood::placement
{

// Can be removed to show that the checks find what they guard against.
struct Mechanisms
{
    // Agents ask their fence.
    const bool fenced_ = true;
    // A restarted agent has the leader's key read; otherwise it takes any first number.
    const bool confirmsAfterRestart_ = true;
};

// One step: what happens, to whom, and how it ends.
using Choice = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

class PlacementModel
{
public:
    explicit PlacementModel(const Mechanisms &mechanisms, manifest::Fencing fencing = manifest::Fencing::Ignored);

    auto run(const std::vector<Choice> &choices) -> void;

    // Runs without faults for a bounded time and returns whether each class got the upstreams it needs.
    auto satisfiesDemandAfterwards() -> bool;

    // Returns the first guarantee that did not hold; empty if all held.
    auto violation() const -> std::string;

    // Returns how many loads ran.
    auto loads() const -> std::size_t;

private:
    struct View
    {
        std::uint64_t incarnation_ = 0;
        // Sequence of the last command but QueryState.
        std::uint64_t commanded_ = 0;
        bool confirmed_ = false;
        bool loading_ = false;
        std::optional<ModelVersion> target_;
        std::optional<ModelVersion> loaded_;
    };

    struct Router
    {
        LeaderElection leadership_;
        // How far its own clock is behind.
        Milliseconds behind_ = Milliseconds(0);
        bool suspended_ = false;
        std::optional<Action> action_;
        std::optional<Event> outcome_;
        std::uint64_t fence_ = 0;
        std::uint64_t sequence_ = 0;
        std::vector<View> views_;
    };

    struct Upstream
    {
        std::optional<CommandFence> fence_;
        std::uint64_t incarnation_ = 1;
        std::optional<TimePoint> callEnds_;
        // The engine survives its agent.
        TimePoint loadStarts_;
        TimePoint loadEnds_;
        std::optional<ModelVersion> loaded_;
        // Highest fencing number of a command that ran here.
        std::uint64_t ranFence_ = 0;
    };

    struct ToAgent
    {
        std::size_t router_;
        std::size_t upstream_;
        NumberedCommand command_;
    };

    struct Observed
    {
        std::size_t router_;
        std::size_t upstream_;
        NumberedCommand command_;
        bool busy_;
        std::optional<ModelVersion> loaded_;
    };

    struct Asked
    {
        std::size_t upstream_;
        ReadLeader query_;
    };

    struct Answered
    {
        std::size_t upstream_;
        LeaderReadResult reading_;
    };

    using Message = std::variant<ToAgent, Observed, Asked, Answered>;

    struct Key
    {
        LeaderRecord record_;
        std::uint64_t revision_ = 0;
    };

    auto advance(Milliseconds time) -> void;
    auto stepRouter(Router &router, std::uint8_t fault) -> void;
    auto store(const Action &action, TimePoint sentAt, std::uint8_t fault) -> Event;
    auto write(const CreateKey &create) -> Event;
    auto held() const -> Event;
    auto act(std::size_t index, bool observes) -> void;
    auto observeAll(std::size_t index) -> void;
    auto send(std::size_t router, std::size_t upstream, const Command &command) -> void;
    auto plan(std::size_t index) -> void;
    auto deliver(std::size_t index, std::uint8_t choice) -> void;
    auto arrive(const ToAgent &message, std::uint8_t choice) -> void;
    auto arrive(const Observed &message) -> void;
    auto execute(Upstream &upstream, const NumberedCommand &command, std::uint8_t choice) -> void;
    auto checkOrder(Upstream &upstream, const NumberedCommand &command) -> void;
    auto restart(Upstream &upstream) -> void;
    auto checkService() -> void;
    auto satisfied() const -> bool;

    Mechanisms mechanisms_;
    manifest::Fencing fencing_;
    manifest::Manifest manifest_;
    TimePoint now_;
    std::uint64_t revision_ = 0;
    std::int64_t leaseCount_ = 0;
    std::optional<Key> key_;
    std::map<std::int64_t, TimePoint> leases_;
    std::vector<CreateKey> lateWrites_;
    std::vector<Router> routers_;
    std::vector<Upstream> upstreams_;
    std::list<Message> messages_;
    DemandByClass demand_ = {{"chat", 4}, {"quote", 16}};
    DemandByClass otherDemand_ = {{"chat", 16}, {"quote", 4}};
    std::size_t loads_ = 0;
    std::string violation_;
};

} // namespace jasminewood::placement
