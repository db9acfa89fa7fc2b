#pragma once

#include <string>

#include <sys/types.h>

// Measures running programs, which scripts/measure-slopes starts.

namespace jasminewood::slopes
{

// Addresses and process ids of the running programs.
struct Deployment
{
    const std::string callersUrl_;
    const std::string adminUrl_;
    const std::string vmListUrl_;
    const std::string keyValueUrl_;
    const std::string agentAddress_;
    // The engine that responds immediately with short outputs, for direct requests without a router.
    const std::string engineUrl_;
    const std::string key_;
    const pid_t router_ = 0;
    const pid_t agent_ = 0;
    // The agent of the engine that responds immediately.
    const pid_t quickAgent_ = 0;
};

// Measures an idle router with 4 to 128 agents, and the propagation of manifest changes to them.
auto measureIdleRouter(const Deployment &deployment) -> void;

// Measures an idle agent with 10 to 340 routers.
auto measureIdleAgent(const Deployment &deployment) -> void;

// Measures a router and an agent with 0 to 800 open streams: memory, threads, CPU time and the latency that they add.
auto measureStreams(const Deployment &deployment) -> void;

} // namespace jasminewood::slopes
