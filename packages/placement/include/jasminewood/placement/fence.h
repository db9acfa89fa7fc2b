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

// Decides at the agent which commands reach the engine.
//
//     const auto verdict = fence.check(command, now());
//     // Execute: call the engine, then fence.onCommandEnded(...).
//     // ReadLeader: ask a router to read the leader's key, then fence.onLeaderRead(...) and offer the command again.
//     // Reject: answer with the failure.

namespace jasminewood::placement
{

// How long a command without an answer may still start or run at an engine that ignores fencing numbers.
constexpr Milliseconds commandSettleTime = Milliseconds(120'000);
// When a refused command may be given again.
constexpr Milliseconds commandRetryAfter = Milliseconds(1'000);

// Perform the command now.
struct Execute
{
    auto operator<=>(const Execute &) const = default;
};

// Have the leader's key read from the key-value service. The read must begin after this query arrived at the router.
struct ReadLeader
{
    const std::uint64_t agentIncarnation_ = 0;
    const std::uint64_t queryId_ = 0;

    auto operator<=>(const ReadLeader &) const = default;
};

// The command was not performed and this offer of it never will be. Whoever gave it is superseded if highestFencingToken_ is
// above the command's fencing number.
struct Reject
{
    // Highest fencing number that the agent knows of; 0 if it knows none.
    const std::uint64_t highestFencingToken_ = 0;
    const Failure failure_;

    auto operator<=>(const Reject &) const = default;
};

using FenceDecision = std::variant<Execute, ReadLeader, Reject>;

// What the read for a ReadLeader found.
struct LeaderReadResult
{
    const std::uint64_t agentIncarnation_ = 0;
    const std::uint64_t queryId_ = 0;
    // Fencing number of the present leader; empty if there is none.
    const std::optional<std::uint64_t> fencingToken_;
    // Revision of the key-value service at the read.
    const std::uint64_t storeRevision_ = 0;

    auto operator<=>(const LeaderReadResult &) const = default;
};

enum class CommandOutcome : std::uint8_t
{
    // The engine answered, or certainly never received the command.
    Known,
    // The engine may still perform the command.
    Unknown,
};

// Admits a command only if its number is higher than every number seen, it names this incarnation of the agent, and no
// other command may be running. A restarted agent knows no number; it admits the first command only after a read of the
// leader's key that began after its restart. Not thread-safe.
class CommandFence
{
public:
    // started is the start of the agent's process.
    CommandFence(std::uint64_t agentIncarnation, manifest::Fencing fencing, TimePoint started);

    // After Execute of any command but QueryState, onCommandEnded() must be called.
    auto check(const NumberedCommand &command, TimePoint now) -> FenceDecision;

    // Takes the answer to the last ReadLeader; other answers are disregarded.
    auto onLeaderRead(const LeaderReadResult &reading) -> void;

    // The command that was admitted last has ended.
    auto onCommandEnded(CommandOutcome end, TimePoint now) -> void;

    // Whether a command may be running at the engine, also one admitted before a restart of the agent.
    auto engineMayBeBusy(TimePoint now) const -> bool;

private:
    auto highestFence() const -> std::uint64_t;
    auto refusal(const std::string &reason, bool retry) const -> FenceDecision;

    std::uint64_t agentIncarnation_;
    manifest::Fencing fencing_;
    TimePoint quietUntil_;
    std::uint64_t query_ = 0;
    // Lowest fencing number that a current leader can have; empty until it is confirmed.
    std::optional<std::uint64_t> lowestFence_;
    std::optional<CommandNumber> highest_;
    bool running_ = false;
};

} // namespace jasminewood::placement
