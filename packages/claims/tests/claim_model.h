#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jasminewood/claims/claim_state_machine.h"

// Simulates the environment of ClaimStateMachine: a key-value service that loses responses and delays writes, two
// agents that lose their state when they restart, routers that pause between any two steps, and callers that retry the
// same key at any router.

namespace jasminewood::claims
{

// Safeguards that can be disabled, to show that the model detects the faults that they prevent.
struct Safeguards
{
    // An agent rejects a dispatch for another incarnation.
    const bool dispatchChecksIncarnation_ = true;
    // Only the incarnation in the claim record answers a Void message.
    const bool voidChecksIncarnation_ = true;
    // An agent records the attempts that it confirmed as not run, and rejects a later dispatch of them.
    const bool agentsRecordVoids_ = true;
};

// One step of the simulation: kind of step, target and outcome.
using Command = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

// Runs several requests through the simulated environment and checks the guarantees of ClaimStateMachine.
class ClaimModel
{
public:
    explicit ClaimModel(const Safeguards &safeguards, bool agentsRestart = true);

    auto applyAll(const std::vector<Command> &commands) -> void;

    // Delivers all pending messages, writes and events without further faults, so that delayed effects are checked too.
    auto settle() -> void;

    // Sends one more request for the key without faults. Returns true if its caller received a response.
    auto newRequestGetsResponse(const std::string &key) -> bool;

    // Returns a description of the first violated guarantee; empty if there is none.
    auto violation() const -> std::string;

    // Returns the number of keys of which an attempt ran.
    auto ranKeyCount() const -> std::size_t;

private:
    struct Stored
    {
        std::uint64_t revision_;
        ClaimRecord record_;
    };

    enum class AttemptStage : std::uint8_t
    {
        Queued,
        Running,
        Finished,
    };

    struct Agent
    {
        std::uint64_t incarnation_ = 1;
        std::set<AttemptId> voided_;
        std::map<AttemptId, AttemptStage> attempts_;
    };

    struct Request
    {
        std::string key_;
        ClaimStateMachine machine_;
        std::optional<Action> pendingAction_;
        std::deque<Event> pendingEvents_;
        std::set<AttemptId> attempts_;
        std::optional<RunState> reportedRunState_;
        bool receivedResponse_ = false;
    };

    struct PendingDispatch
    {
        std::size_t requestIndex_;
        DispatchAttempt dispatch_;
    };

    auto apply(const Command &command) -> void;
    auto openRequest(const std::string &key, std::uint8_t choice) -> void;
    auto makeTarget(std::uint8_t choice, const std::string &request, std::uint32_t number) const -> DispatchTarget;
    auto performAction(std::size_t index, std::uint8_t choice) -> void;
    auto deliverNextEvent(std::size_t index) -> void;
    auto callStore(const Action &action, std::uint8_t choice) -> std::optional<Event>;
    auto applyToStore(const Action &action) -> Event;
    auto queryAgent(const NodeId &node, const AttemptId &attempt, bool mayVoid) -> std::optional<Event>;
    auto deliverDispatch(std::size_t index, std::uint8_t choice) -> void;
    auto advanceAttempts(Agent &agent) -> void;
    auto restartAgent(Agent &agent) -> void;
    auto notifyRequests(const AttemptId &attempt, const Event &event) -> void;
    auto injectTimeoutOrAdvanceTime(std::size_t index, std::uint8_t choice) -> void;
    auto agentFor(const NodeId &node) -> Agent &;
    auto checkResponse(Request &request, const Action &action) -> void;

    Safeguards safeguards_;
    bool agentsRestart_;
    TimePoint now_;
    std::uint64_t revision_ = 0;
    std::uint32_t requestCount_ = 0;
    std::map<std::string, Stored> store_;
    std::vector<Action> delayedWrites_;
    std::vector<Agent> agents_ = std::vector<Agent>(2);
    std::vector<Request> requests_;
    std::vector<PendingDispatch> pendingDispatches_;
    std::map<AttemptId, std::string> keyOfAttempt_;
    std::map<std::string, std::vector<AttemptId>> runsByKey_;
    std::string incorrectResponse_;
};

} // namespace jasminewood::claims
