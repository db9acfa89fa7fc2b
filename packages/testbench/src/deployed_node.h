#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "jasminewood/testbench/child_process.h"

// Runs one named process of a deployment, which can be restarted with the same flags and ports.

namespace jasminewood::testbench::internal
{

// Ports on 127.0.0.1. 0 lets the operating system choose the port, or means that the process has no such port.
struct Ports
{
    // HTTP port of a fake service, caller port of a router, metrics port of an agent.
    const std::uint16_t service_ = 0;
    const std::uint16_t admin_ = 0;
    // Port on which connections from routers are accepted.
    const std::uint16_t link_ = 0;

    auto operator<=>(const Ports &) const = default;
};

struct FakeProgram
{
    // Name of the executable, for example "fake-engine".
    const std::string file_;
};

struct RouterProgram
{
};

struct AgentProgram
{
    const std::string pool_;
};

using Program = std::variant<FakeProgram, RouterProgram, AgentProgram>;

struct NodeOptions
{
    const std::string name_;
    const Program program_;
    const std::string dataCentre_;
    // Command-line flags except those for ports.
    const std::vector<std::string> flags_;
    const std::string directory_;
    const Milliseconds deadline_;
};

// Not thread-safe.
class DeployedNode
{
public:
    explicit DeployedNode(NodeOptions options);

    // Starts the process and waits until it listens. A restarted process uses the same ports as before.
    auto start() -> Status;

    auto options() const -> const NodeOptions &;
    // Precondition: start() succeeded.
    auto ports() const -> const Ports &;
    auto process() const -> ChildProcess &;
    // Returns the entry of this process in the VM list.
    auto vmEntry(bool leaving) const -> nlohmann::json;

private:
    auto readPorts(const FakeProgram &program) -> Result<Ports>;
    auto readPorts(const RouterProgram &program) -> Result<Ports>;
    auto readPorts(const AgentProgram &program) -> Result<Ports>;
    auto loggedPort(const std::string &message) -> Result<std::uint16_t>;

    const NodeOptions options_;
    std::optional<Ports> ports_;
    std::shared_ptr<ChildProcess> process_;
};

} // namespace jasminewood::testbench::internal
