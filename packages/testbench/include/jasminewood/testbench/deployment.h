#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"

// Runs a complete system as real processes on 127.0.0.1: one key-value service, one VM list, routers, and engines and
// booking services with an agent each. The operating system chooses every port.
//
//     const auto started = testbench::Deployment::start({.directory_ = "run-1", .manifest_ = text});
//     const auto &system = **started;
//     http::fetch({.method_ = "POST", .url_ = system.url("router-1") + "/v1/chat/completions", ...});
//     system.kill("engine-2");
//     system.restart("engine-2");
//
// Process names are "kv", "vms", "router-1", "engine-1", "engine-1-agent", "booking-1", "booking-1-agent" and so on.
// The programs are expected in the directory of the running executable. Standard output and standard error of a process
// are appended to NAME.out and NAME.err in DeploymentOptions::directory_.

namespace jasminewood::testbench
{

struct DeploymentOptions
{
    // Created if it doesn't exist.
    const std::string directory_;
    // Text of the manifest that start() submits through router-1. If it is empty, start() submits none and doesn't wait
    // for readiness.
    const std::string manifest_;
    // One router is started for each entry. Engines and booking services are assigned to the entries round-robin.
    const std::vector<std::string> routerDataCentres_ = {"dc-a"};
    const std::size_t engineCount_ = 2;
    const std::size_t bookingCount_ = 1;
    // Names of the upstream pools in the manifest.
    const std::string enginePool_ = "engines";
    const std::string bookingPool_ = "booking";
    // Additional command-line flags for all processes of a program, for example "--routing_policy=round_robin".
    const std::vector<std::string> routerFlags_;
    const std::vector<std::string> engineAgentFlags_;
    const std::vector<std::string> bookingAgentFlags_;
    const std::vector<std::string> engineFlags_;
    const std::vector<std::string> bookingFlags_;
    const std::vector<std::string> vmsFlags_;
    // Timeout of each step of start(). It is long because it only limits how long a failed start takes.
    const Milliseconds startTimeout_ = Milliseconds(60'000);
};

// State of an agent or router in the VM list.
enum class VmListing : std::uint8_t
{
    Live,
    Leaving,
    Removed,
};

// Thread-safe for concurrent calls that name different processes. Precondition of all functions with a name: the
// process exists.
class Deployment
{
public:
    // Starts all processes, adds them to the VM list, submits the manifest and waits as waitReady() does. On failure
    // all processes that were started are killed.
    static auto start(const DeploymentOptions &options) -> Result<std::shared_ptr<Deployment>>;

    // Kills every process that is still running, by its process id, and waits for its exit.
    ~Deployment();

    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    // Return the process names in the order of their numbers.
    auto routers() const -> std::vector<std::string>;
    auto engines() const -> std::vector<std::string>;
    auto bookingServices() const -> std::vector<std::string>;
    auto agents() const -> std::vector<std::string>;

    // Returns the base URL, for example "http://127.0.0.1:41001": of a router the URL for callers, of an agent the URL
    // of its metrics.
    auto url(const std::string &name) const -> std::string;
    auto port(const std::string &name) const -> std::uint16_t;
    // Returns the base URL of a router's administration API. adminKey() is the operator key, the same for all routers.
    auto adminUrl(const std::string &router) const -> std::string;
    auto adminKey() const -> std::string;
    // Returns the "IP:PORT" on which a router or an agent accepts connections from routers.
    auto linkAddress(const std::string &name) const -> std::string;
    auto processId(const std::string &name) const -> int;
    // Returns the path of the file with standard error, to which routers and agents write their logs.
    auto logPath(const std::string &name) const -> std::string;

    // Send SIGKILL, SIGTERM, SIGSTOP and SIGCONT. Only kill() waits until the process has exited.
    auto kill(const std::string &name) -> void;
    auto terminate(const std::string &name) -> void;
    auto suspend(const std::string &name) -> void;
    auto resume(const std::string &name) -> void;

    // Waits for the process to exit and returns its exit status, or 128 plus the number of the signal that terminated
    // it.
    auto waitExit(const std::string &name, Milliseconds timeout = Milliseconds(60'000)) -> Result<int>;

    // Restarts the process with the same flags and ports, and waits until it listens. Kills the process first if it is
    // running.
    auto restart(const std::string &name) -> Status;

    // Sends POST /fault with this JSON text to a fake service. A missing response is no failure, because a fault may
    // terminate the process before it responds.
    auto injectFault(const std::string &name, const std::string &json) -> Status;

    // Changes the state of a router or an agent in the VM list.
    auto setVmListing(const std::string &name, VmListing listing) -> Status;

    // Submits a manifest through a router; the submission id must be unique in this deployment.
    auto submitManifest(const std::string &router, const std::string &manifest, const std::string &submission)
        -> Status;

    // Waits until each router is ready and reports all agents as live.
    auto waitReady(Milliseconds timeout) const -> Status;

private:
    class State;

    explicit Deployment(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::testbench
