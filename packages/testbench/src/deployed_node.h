#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "child_process.h"

// One named process of a deployment, which can be started again with the same flags and ports.

namespace jasminewood::testbench::internal
{

// Ports on 127.0.0.1; 0 lets the system choose or means that there is no such port.
struct Ports
{
    // Of a fake its HTTP port, of a router that for callers, of an agent that of its metrics.
    const std::uint16_t service_ = 0;
    const std::uint16_t admin_ = 0;
    // On which links of routers are accepted.
    const std::uint16_t link_ = 0;

    auto operator<=>(const Ports &) const = default;
};

struct FakeProgram
{
    // "fake-engine", for example.
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
    // Flags other than those for ports.
    const std::vector<std::string> flags_;
    const std::string directory_;
    const Milliseconds deadline_;
};

// Not thread-safe.
class DeployedNode
{
public:
    explicit DeployedNode(NodeOptions options);

    // Starts the process, with the ports of its last start if there was one, and waits until it listens.
    auto start() -> Status;

    auto options() const -> const NodeOptions &;
    // Precondition: start() succeeded.
    auto ports() const -> const Ports &;
    auto process() const -> ChildProcess &;
    // Returns the entry of the VM list.
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
