#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jasminewood/claims/claim_machine.h"

// A model of everything around ClaimMachine: a key-value service that loses and delays writes, two agents that restart
// and forget, routers that freeze between any two steps, and callers that retry the same key anywhere.

namespace jasminewood::claims
{

// The mechanisms that can be removed to show that the checks find what they guard against.
struct Safeguards
{
    // An agent refuses a dispatch that is meant for another incarnation.
    const bool dispatchChecksIncarnation_ = true;
    // A router asks only the incarnation that the claim names.
    const bool askChecksIncarnation_ = true;
    // An agent remembers the attempts that it declared as not run.
    const bool agentsVoid_ = true;
};

// One step: what happens, to whom, and how it ends.
using Command = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

class ClaimModel
{
public:
    explicit ClaimModel(const Safeguards &mechanisms, bool restarts = true);

    auto applyAll(const std::vector<Command> &commands) -> void;

    // Lets everything that is on its way arrive, without further faults, so that late effects are seen too.
    auto settle() -> void;

    // Sends one more request for the key through a healthy system and returns whether the caller got an answer.
    auto respondsToNewRequest(const std::string &key) -> bool;

    // Returns the first guarantee that does not hold; empty if all hold.
    auto violation() const -> std::string;

    // Returns how many attempts ran.
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
        ClaimMachine machine_;
        std::optional<Action> pendingAction_;
        std::deque<Event> pendingEvents_;
        std::set<AttemptId> attempts_;
        std::optional<RunState> reportedRunState_;
        bool receivedResponse_ = false;
    };

    struct PendingDispatch
    {
        std::size_t requestIndex_;
        DispatchNow dispatch_;
    };

    auto apply(const Command &command) -> void;
    auto openRequest(const std::string &key, std::uint8_t choice) -> void;
    auto makeTarget(std::uint8_t choice, const std::string &request, std::uint32_t number) const -> Candidate;
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
