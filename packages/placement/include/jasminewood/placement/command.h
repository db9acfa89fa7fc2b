#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

// Commands to model engines, and the numbers that define their order.

namespace jasminewood::placement
{

// Orders all commands to one agent: first by leader, then by the order in which that leader issued them.
struct CommandNumber
{
    // Create revision of the leader's key in the key-value service.
    const std::uint64_t fencingToken_ = 0;
    // Increases with each command of that leader, also when a command is sent again.
    const std::uint64_t sequence_ = 0;

    auto operator<=>(const CommandNumber &) const = default;
};

struct LoadModel
{
    const std::string model_;

    auto operator<=>(const LoadModel &) const = default;
};

struct LoadAdapter
{
    const std::string name_;
    // Path in the weight store.
    const std::string path_;

    auto operator<=>(const LoadAdapter &) const = default;
};

struct LoadVersion
{
    const std::string model_;
    const std::string version_;

    auto operator<=>(const LoadVersion &) const = default;
};

struct ChangeRole
{
    // For example "prefill" or "decode".
    const std::string role_;

    auto operator<=>(const ChangeRole &) const = default;
};

// Changes nothing at the engine. The reply states what the engine has loaded, and guarantees that no command with a
// lower number will start at this agent afterwards.
struct QueryState
{
    auto operator<=>(const QueryState &) const = default;
};

using Command = std::variant<LoadModel, LoadAdapter, LoadVersion, ChangeRole, QueryState>;

struct NumberedCommand
{
    const CommandNumber number_;
    // Incarnation of the agent that the command is addressed to.
    const std::uint64_t agentIncarnation_ = 0;
    const Command command_;

    auto operator<=>(const NumberedCommand &) const = default;
};

} // namespace jasminewood::placement
