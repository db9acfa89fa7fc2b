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

// A model of everything around ClaimMachine: a key-value service that loses and delays writes, two agents that restart
// and forget, routers that freeze between any two steps, and callers that retry the same key anywhere.

namespace jasminewood::claims
{

// The mechanisms that can be removed to show that the checks find what they guard against.
struct Mechanisms
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
    explicit ClaimModel(const Mechanisms &mechanisms, bool restarts = true);

    auto run(const std::vector<Command> &commands) -> void;

    // Lets everything that is on its way arrive, without further faults, so that late effects are seen too.
    auto settle() -> void;

    // Sends one more request for the key through a healthy system and returns whether the caller got an answer.
    auto answersAfterwards(const std::string &key) -> bool;

    // Returns the first guarantee that does not hold; empty if all hold.
    auto violation() const -> std::string;

    // Returns how many attempts ran.
    auto runs() const -> std::size_t;

private:
    struct Stored
    {
        std::uint64_t revision_;
        ClaimRecord record_;
    };

    enum class Stage : std::uint8_t
    {
        Queued,
        Running,
        Finished,
    };

    struct Agent
    {
        std::uint64_t incarnation_ = 1;
        std::set<AttemptId> voided_;
        std::map<AttemptId, Stage> attempts_;
    };

    struct Request
    {
        std::string key_;
        ClaimStateMachine machine_;
        std::optional<Action> action_;
        std::deque<Event> inbox_;
        std::set<AttemptId> attempts_;
        std::optional<RunState> told_;
        bool answered_ = false;
    };

    struct Message
    {
        std::size_t request_;
        DispatchAttempt dispatch_;
    };

    auto apply(const Command &command) -> void;
    auto open(const std::string &key, std::uint8_t choice) -> void;
    auto candidate(std::uint8_t choice, const std::string &request, std::uint32_t number) const -> DispatchTarget;
    auto perform(std::size_t index, std::uint8_t choice) -> void;
    auto feed(std::size_t index) -> void;
    auto store(const Action &action, std::uint8_t choice) -> std::optional<Event>;
    auto write(const Action &action) -> Event;
    auto ask(const NodeId &node, const AttemptId &attempt, bool mayVoid) -> std::optional<Event>;
    auto deliver(std::size_t index, std::uint8_t choice) -> void;
    auto progress(Agent &agent) -> void;
    auto restart(Agent &agent) -> void;
    auto notify(const AttemptId &attempt, const Event &event) -> void;
    auto pass(std::size_t index, std::uint8_t choice) -> void;
    auto agent(const NodeId &node) -> Agent &;
    auto observe(Request &request, const Action &action) -> void;

    Mechanisms mechanisms_;
    bool restarts_;
    TimePoint now_;
    std::uint64_t revision_ = 0;
    std::uint32_t requestCount_ = 0;
    std::map<std::string, Stored> store_;
    std::vector<Action> delayedWrites_;
    std::vector<Agent> agents_ = std::vector<Agent>(2);
    std::vector<Request> requests_;
    std::vector<Message> messages_;
    std::map<AttemptId, std::string> keyOfAttempt_;
    std::map<std::string, std::vector<AttemptId>> ran_;
    std::string wrongAnswer_;
};

} // namespace jasminewood::claims
