#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "agent_stand_in.h"
#include "jasminewood/http/client.h"
#include "live.h"
#include "process.h"
#include "report.h"
#include "router_stand_in.h"
#include "sample.h"

namespace jasminewood::slopes
{

namespace
{

using Json = nlohmann::json;

constexpr auto idleWindow = Milliseconds(10'000);
constexpr auto connectTimeout = Milliseconds(15'000);
// Time for new links to exchange Hello messages and the manifest, which is not idle traffic.
constexpr auto settleTime = Milliseconds(1'000);
// IPv4 and TCP headers including the TCP timestamp option.
constexpr double headerBytes = 52;
constexpr std::size_t changesPerSize = 3;
constexpr std::size_t manifestAccounts = 10;

auto seconds(Milliseconds time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto storeCalls(const Deployment &deployment) -> double
{
    const auto response = http::fetch(http::ClientRequest {.url_ = deployment.keyValueUrl_ + "/calls"});
    auto calls = 0.0;
    const auto counts = response ? Json::parse(response->body_, nullptr, false) : Json();
    for (const auto &[kind, count] : counts.items()) {
        calls += count.is_number() ? count.get<double>() : 0;
    }
    return calls;
}

auto currentRevision(const Deployment &deployment) -> std::uint64_t
{
    const auto response = http::fetch(http::ClientRequest {.url_ = deployment.adminUrl_ + "/admin/manifest",
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + deployment.key_}}});
    const auto shown = response ? Json::parse(response->body_, nullptr, false) : Json();
    return shown.is_object() ? shown.value("revision", std::uint64_t(0)) : 0;
}

auto submitManifest(const Deployment &deployment, const std::string &id, std::uint64_t base) -> bool
{
    const auto response = http::fetch(http::ClientRequest {.method_ = "PUT",
        .url_ = fmt::format("{}/admin/manifest?submission={}&base={}", deployment.adminUrl_, id, base),
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + deployment.key_}},
        .body_ = manifestText(manifestAccounts)});
    return response && response->status_ == 200;
}

auto putVmList(const Deployment &deployment, const std::vector<std::unique_ptr<AgentStandIn>> &agents) -> void
{
    auto list = Json::array();
    for (const auto &agent : agents) {
        list.push_back(Json {{"targets", {agent->address()}},
            {"labels",
                {{"role", "agent"}, {"name", agent->name()}, {"pool", "engines-00"}, {"data_centre", "lj-a"},
                    {"state", "live"}}}});
    }
    static_cast<void>(
        http::fetch(http::ClientRequest {.method_ = "PUT", .url_ = deployment.vmListUrl_, .body_ = list.dump()}));
}

struct IdleRouterPoints
{
    Points processor_;
    Points resident_;
    Points threads_;
    Points storeCalls_;
    Points propagation_;
    Points callsPerChange_;
};

// Submits manifest changes and measures the longest time until all simulated agents have received one.
auto measureManifestChanges(
    const Deployment &deployment, std::size_t agents, AgentCounters &counters, IdleRouterPoints &points) -> void
{
    auto slowest = 0.0;
    const auto callsBefore = storeCalls(deployment);
    for (auto change = std::size_t(0); change < changesPerSize; ++change) {
        const auto base = currentRevision(deployment);
        const auto expected = counters.manifests() + agents;
        const auto start = Clock::now();
        const auto accepted = submitManifest(deployment, fmt::format("slopes-{}-{}", agents, change), base);
        if (!accepted || !counters.awaitManifests(expected, start + connectTimeout)) {
            fmt::print(stderr, "change {} was not received by all {} agents\n", change, agents);
            return;
        }
        slowest = std::max(slowest, std::chrono::duration<double, std::milli>(Clock::now() - start).count());
    }
    points.propagation_.push_back(Point {double(agents), slowest});
    points.callsPerChange_.push_back(
        Point {double(agents), (storeCalls(deployment) - callsBefore) / double(changesPerSize)});
}

auto measureIdleUsage(const Deployment &deployment, std::size_t agents, IdleRouterPoints &points) -> void
{
    const auto callsBefore = storeCalls(deployment);
    const auto processorBefore = processorMicroseconds(deployment.router_);
    std::this_thread::sleep_for(idleWindow);
    const auto used = processorMicroseconds(deployment.router_) - processorBefore;
    points.processor_.push_back(Point {double(agents), used / seconds(idleWindow) / 1e4});
    points.storeCalls_.push_back(Point {double(agents), (storeCalls(deployment) - callsBefore) / seconds(idleWindow)});
    points.resident_.push_back(Point {double(agents), residentBytes(deployment.router_)});
    points.threads_.push_back(Point {double(agents), threadCount(deployment.router_)});
}

} // namespace

auto measureIdleRouter(const Deployment &deployment) -> void
{
    const auto counters = std::make_shared<AgentCounters>();
    auto agents = std::vector<std::unique_ptr<AgentStandIn>>();
    auto points = IdleRouterPoints();
    for (const auto count : {4, 8, 16, 32, 128}) {
        while (agents.size() < std::size_t(count)) {
            agents.push_back(std::make_unique<AgentStandIn>(fmt::format("stand-in-{:04}", agents.size()), counters));
        }
        putVmList(deployment, agents);
        if (!counters->awaitConnections(std::size_t(count), Clock::now() + connectTimeout)) {
            fmt::print(stderr, "the router did not connect to {} agents\n", count);
            break;
        }
        std::this_thread::sleep_for(settleTime);
        measureIdleUsage(deployment, std::size_t(count), points);
        measureManifestChanges(deployment, std::size_t(count), *counters, points);
    }
    printSlope("idle router processor time per agent", points.processor_, "percent of a core");
    printSlope("idle router memory per agent", points.resident_, "bytes");
    printSlope("idle router threads per agent", points.threads_, "threads");
    printSlope("idle router key-value calls a second per agent", points.storeCalls_, "calls/s");
    printSlope("manifest change until in force per agent", points.propagation_, "ms");
    printSlope("key-value calls per manifest change by agents", points.callsPerChange_, "calls");
}

auto measureIdleAgent(const Deployment &deployment) -> void
{
    auto routers = std::vector<std::unique_ptr<RouterStandIn>>();
    auto processor = Points();
    auto resident = Points();
    auto threads = Points();
    auto payload = Points();
    auto wireBytes = Points();
    for (const auto count : {10, 40, 120, 340}) {
        while (routers.size() < std::size_t(count)) {
            routers.push_back(
                std::make_unique<RouterStandIn>(fmt::format("router-{:04}", routers.size()), deployment.agentAddress_));
        }
        std::this_thread::sleep_for(settleTime);
        const auto total = [&routers](const auto &field) -> double {
            auto sum = 0.0;
            for (const auto &router : routers) {
                sum += router->isConnected() ? field(router->traffic()) : 0.0;
            }
            return sum;
        };
        const auto bytes = [](const Traffic &traffic) -> double {
            return traffic.bytesReceived_ + traffic.bytesSent_;
        };
        const auto withHeaders = [&bytes](const Traffic &traffic) -> double {
            return bytes(traffic) + headerBytes * traffic.segments_;
        };
        const auto processorBefore = processorMicroseconds(deployment.agent_);
        const auto bytesBefore = total(bytes);
        const auto wireBefore = total(withHeaders);
        std::this_thread::sleep_for(idleWindow);
        payload.push_back(Point {double(count), (total(bytes) - bytesBefore) / seconds(idleWindow)});
        wireBytes.push_back(Point {double(count), (total(withHeaders) - wireBefore) / seconds(idleWindow)});
        processor.push_back(Point {
            double(count), (processorMicroseconds(deployment.agent_) - processorBefore) / seconds(idleWindow) / 1e4});
        resident.push_back(Point {double(count), residentBytes(deployment.agent_)});
        threads.push_back(Point {double(count), threadCount(deployment.agent_)});
    }
    printSlope("idle agent processor time per router", processor, "percent of a core");
    printSlope("idle agent memory per router", resident, "bytes");
    printSlope("idle agent threads per router", threads, "threads");
    printSlope("idle link payload, both directions", payload, "bytes/s");
    printSlope("idle link with TCP/IP headers, both directions", wireBytes, "bytes/s");
}

} // namespace jasminewood::slopes
