#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/manifest/manifest.h"
#include "jasminewood/placement/command.h"

// Fencing of commands at the agent: decides which commands reach the engine.
//
//     const auto decision = fence.check(command, now());
//     // Execute: call the engine, then fence.onCommandEnded(...).
//     // ReadLeader: ask a router to read the leader's key, then call fence.onLeaderRead(...) and check the command
//     again.
//     // Reject: reply with the failure.

namespace jasminewood::placement
{

// Longest time for which a command without a response may still start or run at an engine that ignores fencing tokens.
constexpr Milliseconds commandSettleTime = Milliseconds(120'000);
// Time after which a rejected command may be sent again.
constexpr Milliseconds commandRetryAfter = Milliseconds(1'000);

// Execute the command now.
struct Execute
{
    auto operator<=>(const Execute &) const = default;
};

// Have a router read the leader's key from the key-value service. The read must begin after this query arrived at the
// router.
struct ReadLeader
{
    const std::uint64_t agentIncarnation_ = 0;
    const std::uint64_t queryId_ = 0;

    auto operator<=>(const ReadLeader &) const = default;
};

// This command was not executed and never will be. Its sender is superseded if highestFencingToken_ is above the
// fencing token of the command.
struct Reject
{
    // Highest fencing token that the agent has seen; 0 if it has seen none.
    const std::uint64_t highestFencingToken_ = 0;
    const Failure failure_;

    auto operator<=>(const Reject &) const = default;
};

using FenceDecision = std::variant<Execute, ReadLeader, Reject>;

// Result of the read that a ReadLeader requested.
struct LeaderReadResult
{
    const std::uint64_t agentIncarnation_ = 0;
    const std::uint64_t queryId_ = 0;
    // Fencing token of the current leader; empty if there is none.
    const std::optional<std::uint64_t> fencingToken_;
    // Revision of the key-value service at the time of the read.
    const std::uint64_t storeRevision_ = 0;

    auto operator<=>(const LeaderReadResult &) const = default;
};

enum class CommandOutcome : std::uint8_t
{
    // The engine responded, or is certain never to have received the command.
    Known,
    // The engine may still execute the command.
    Unknown,
};

// Admits a command only if its number is higher than every number seen before, it is addressed to this incarnation of
// the agent, and no other command can still be running. An agent has no numbers after a restart; it admits the first
// command only after a read of the leader's key that began after the restart. Not thread-safe.
class CommandFence
{
public:
    // started is the time at which the agent's process started.
    CommandFence(std::uint64_t agentIncarnation, manifest::Fencing fencing, TimePoint started);

    // Decides on a command. After Execute of any command but QueryState, onCommandEnded() must be called.
    auto check(const NumberedCommand &command, TimePoint now) -> FenceDecision;

    // Handles the reply to the latest ReadLeader; replies to earlier ones are ignored.
    auto onLeaderRead(const LeaderReadResult &result) -> void;

    // Called when the command that was admitted last has ended.
    auto onCommandEnded(CommandOutcome outcome, TimePoint now) -> void;

    // Returns whether a command may still be running at the engine, including one admitted before a restart of the
    // agent.
    auto engineMayBeBusy(TimePoint now) const -> bool;

private:
    auto highestFencingToken() const -> std::uint64_t;
    auto reject(const std::string &reason, bool retryable) const -> FenceDecision;

    std::uint64_t agentIncarnation_;
    manifest::Fencing fencing_;
    // From this time on no earlier command can still start or run at the engine.
    TimePoint settledAt_;
    std::uint64_t lastQueryId_ = 0;
    // Lowest fencing token that a current leader can have; empty until a read of the leader's key confirms it.
    std::optional<std::uint64_t> minimumFencingToken_;
    std::optional<CommandNumber> highestNumber_;
    bool commandRunning_ = false;
};

} // namespace jasminewood::placement
