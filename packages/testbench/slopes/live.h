#pragma once

#include <string>

#include <sys/types.h>

// Measurements of running programs, which scripts/measure-slopes starts.

namespace jasminewood::slopes
{

// Where the programs are.
struct Deployment
{
    const std::string callersUrl_;
    const std::string adminUrl_;
    const std::string vmListUrl_;
    const std::string keyValueUrl_;
    const std::string agentAddress_;
    // The engine whose answers are short and immediate, for comparison without a router.
    const std::string engineUrl_;
    const std::string key_;
    const pid_t router_ = 0;
    const pid_t agent_ = 0;
    // The agent of the engine that answers at once.
    const pid_t quickAgent_ = 0;
};

// An idle router with 4 to 128 agents, and the spread of manifest changes to them.
auto measureIdleRouter(const Deployment &deployment) -> void;

// An idle agent with 10 to 340 routers.
auto measureIdleAgent(const Deployment &deployment) -> void;

// A router and an agent with 0 to 800 open streams: memory, threads, processor time and the time that they add.
auto measureStreams(const Deployment &deployment) -> void;

} // namespace jasminewood::slopes
