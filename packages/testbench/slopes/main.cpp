#include <functional>
#include <map>
#include <string>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "balance.h"
#include "decisions.h"
#include "live.h"
#include "memory.h"
#include "messages.h"
#include "store_calls.h"

// slopes: measures how CPU time, memory and traffic grow with the size of the system, and prints the results as JSON
// lines. scripts/measure-slopes starts the programs that the groups "router", "agent" and "streams" need. The group
// "process" needs none.

DEFINE_string(group, "process", "process, router, agent or streams");
DEFINE_string(callers_url, "", "the router's interface for callers");
DEFINE_string(admin_url, "", "the router's administration API");
DEFINE_string(vm_list_url, "", "the fake VM list");
DEFINE_string(key_value_url, "", "the fake key-value service");
DEFINE_string(agent_address, "", "the agent's port for routers");
DEFINE_string(engine_url, "", "the engine that answers at once");
DEFINE_string(key, "", "bearer key of callers and operators");
DEFINE_int32(router_pid, 0, "process of the router");
DEFINE_int32(agent_pid, 0, "process of the agent");
DEFINE_int32(quick_agent_pid, 0, "process of the agent whose engine answers at once");

namespace
{

using namespace jasminewood::slopes;

auto measureInProcess(const Deployment & /*deployment*/) -> void
{
    measureRoutingDecisions();
    measureSchedulingDecisions();
    measureAdmissionDecisions();
    measureHeartbeats();
    measureUsageMessages();
    measureManifests();
    measureAccountMemory();
    measureReplicaMemory();
    measureClaimCalls();
    measureBalance();
    measureChurn();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto deployment = Deployment {.callersUrl_ = FLAGS_callers_url,
        .adminUrl_ = FLAGS_admin_url,
        .vmListUrl_ = FLAGS_vm_list_url,
        .keyValueUrl_ = FLAGS_key_value_url,
        .agentAddress_ = FLAGS_agent_address,
        .engineUrl_ = FLAGS_engine_url,
        .key_ = FLAGS_key,
        .router_ = FLAGS_router_pid,
        .agent_ = FLAGS_agent_pid,
        .quickAgent_ = FLAGS_quick_agent_pid};
    const auto groups = std::map<std::string, std::function<auto(const Deployment &)->void>> {
        {"process", measureInProcess},
        {"router", measureIdleRouter},
        {"agent", measureIdleAgent},
        {"streams", measureStreams},
    };
    const auto group = groups.find(FLAGS_group);
    if (group == groups.end()) {
        fmt::print(stderr, "unknown group {}\n", FLAGS_group);
        return 2;
    }
    group->second(deployment);
    return 0;
}
