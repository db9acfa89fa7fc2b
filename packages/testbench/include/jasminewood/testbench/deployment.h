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

// A whole system of real processes on 127.0.0.1: one key-value service, one VM list, routers, and engines and booking
// services with an agent each. Every port is chosen by the system.
//
//     const auto started = testbench::Deployment::start({.directory_ = "run-1", .manifest_ = text});
//     const auto &system = **started;
//     http::fetch({.method_ = "POST", .url_ = system.url("router-1") + "/v1/chat/completions", ...});
//     system.kill("engine-2");
//     system.restart("engine-2");
//
// Names of the processes: "kv", "vms", "router-1", "engine-1", "engine-1-agent", "booking-1", "booking-1-agent" and so
// on. The programs are found in the folder of the running executable. Outputs of a process are appended to NAME.out and
// NAME.err in the directory given.

namespace jasminewood::testbench
{

struct DeploymentOptions
{
    // Created if it doesn't exist.
    const std::string directory_;
    // Text of the manifest, which is submitted through router-1. Empty: none is submitted, and start() doesn't wait for
    // readiness.
    const std::string manifest_;
    // One router for each entry; engines and booking services take their data centres from it in turn.
    const std::vector<std::string> routerDataCentres_ = {"dc-a"};
    const std::size_t engineCount_ = 2;
    const std::size_t bookingCount_ = 1;
    // Pools of the manifest.
    const std::string enginePool_ = "engines";
    const std::string bookingPool_ = "booking";
    // Further flags of all processes of a program, for example "--routing_policy=round_robin".
    const std::vector<std::string> routerFlags_;
    const std::vector<std::string> engineAgentFlags_;
    const std::vector<std::string> bookingAgentFlags_;
    const std::vector<std::string> engineFlags_;
    const std::vector<std::string> bookingFlags_;
    const std::vector<std::string> vmsFlags_;
    // Longest time for each step of the start. It only bounds a failure, so it is generous.
    const Milliseconds startTimeout_ = Milliseconds(60'000);
};

// Entry of an agent or router in the VM list.
enum class VmListing : std::uint8_t
{
    Live,
    Leaving,
    Removed,
};

// Calls that name different processes may run at the same time. Names that don't exist are a broken precondition.
class Deployment
{
public:
    // Starts all processes, lists them, submits the manifest and waits as waitReady() does. On failure everything that
    // was started is ended again.
    static auto start(const DeploymentOptions &options) -> Result<std::shared_ptr<Deployment>>;

    // Kills every process that is still running, by its id, and waits for it.
    ~Deployment();

    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    // Names in order of their numbers.
    auto routers() const -> std::vector<std::string>;
    auto engines() const -> std::vector<std::string>;
    auto bookingServices() const -> std::vector<std::string>;
    auto agents() const -> std::vector<std::string>;

    // Base URL, for example "http://127.0.0.1:41001": of a router that for callers, of an agent that of its metrics.
    auto url(const std::string &name) const -> std::string;
    auto port(const std::string &name) const -> std::uint16_t;
    // Base URL of a router's administration API, and the operators' key for all routers.
    auto adminUrl(const std::string &router) const -> std::string;
    auto adminKey() const -> std::string;
    // "IP:PORT" on which a router or an agent listens for routers.
    auto linkAddress(const std::string &name) const -> std::string;
    auto processId(const std::string &name) const -> int;
    // Path of the file with standard error, which holds the log of routers and agents.
    auto logPath(const std::string &name) const -> std::string;

    // SIGKILL, SIGTERM, SIGSTOP and SIGCONT. Only kill() waits for the effect.
    auto kill(const std::string &name) -> void;
    auto terminate(const std::string &name) -> void;
    auto suspend(const std::string &name) -> void;
    auto resume(const std::string &name) -> void;

    // Waits for the end and returns the exit status, or 128 plus the number of the signal that ended the process.
    auto waitExit(const std::string &name, Milliseconds timeout = Milliseconds(60'000)) -> Result<int>;

    // Starts the process again with the same flags and ports, and waits until it listens. A running process is killed
    // first.
    auto restart(const std::string &name) -> Status;

    // POST /fault of a fake with this JSON text. A fault that ends the process answers nothing, which is no failure.
    auto injectFault(const std::string &name, const std::string &json) -> Status;

    // Changes the entry of a router or an agent in the VM list.
    auto setVmListing(const std::string &name, VmListing listing) -> Status;

    // Submits a manifest through a router; the submission id must be unique in this deployment.
    auto submitManifest(const std::string &router, const std::string &manifest, const std::string &submission)
        -> Status;

    // Waits until each router is ready and sees all agents as live.
    auto waitReady(Milliseconds timeout) const -> Status;

private:
    class State;

    explicit Deployment(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::testbench
