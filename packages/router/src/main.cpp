#include <memory>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/node/program.h"
#include "jasminewood/node/signals.h"
#include "jasminewood/router/admin_api.h"
#include "jasminewood/router/claim_store.h"
#include "jasminewood/router/commands.h"
#include "jasminewood/router/http_frontend.h"
#include "jasminewood/router/platform_sync.h"
#include "jasminewood/router/request_limits.h"
#include "jasminewood/router/router_peers.h"
#include "jasminewood/router/timeline_collector.h"
#include "jasminewood/router/upstream_manager.h"

// jasminewood-router: the router process of an entry VM, or one operator command. main() only assembles the services.

using namespace jasminewood;

DEFINE_string(admin_url, "http://127.0.0.1:8090", "administration API that operator commands call");
DEFINE_string(admin_key, "", "operators' key for commands");

namespace
{

constexpr auto usage = "jasminewood-router serve --settings=FILE [--SECTION_KEY=VALUE ...]\n"
                       "  jasminewood-router submit FILE | show | check FILE | upstreams | drain UPSTREAM |\n"
                       "      timeline REQUEST_ID [html]   [--admin_url=URL] [--admin_key=KEY]";

auto schema() -> settings::Schema
{
    return node::withCommonSettings({
        {.section_ = "callers",
            .name_ = "listen",
            .kind_ = settings::Address {},
            .default_ = "127.0.0.1:8080",
            .help_ = "address for callers"},
        {.section_ = "callers",
            .name_ = "maximum_connections",
            .kind_ = settings::Integer {1, 100'000},
            .default_ = "4096",
            .help_ = "callers' connections at the same time"},
        {.section_ = "admin",
            .name_ = "listen",
            .kind_ = settings::Address {},
            .default_ = "127.0.0.1:8090",
            .help_ = "address of the administration API"},
        {.section_ = "admin",
            .name_ = "key_sha256",
            .kind_ = settings::Sha256Hex {},
            .help_ = "SHA-256 of the operators' key in lower-case hex"},
        {.section_ = "peers",
            .name_ = "listen",
            .kind_ = settings::Address {},
            .default_ = "127.0.0.1:0",
            .help_ = "address for the other routers' connections"},
        {.section_ = "platform",
            .name_ = "key_value_url",
            .kind_ = settings::Text {},
            .help_ = "base URL of the key-value service"},
        {.section_ = "platform",
            .name_ = "key_value_timeout",
            .kind_ = settings::Duration {Milliseconds(10), Milliseconds(60'000)},
            .default_ = "2s",
            .help_ = "longest time of one call to the key-value service"},
        {.section_ = "platform", .name_ = "vm_list_url", .kind_ = settings::Text {}, .help_ = "URL of the VM list"},
        {.section_ = "routing",
            .name_ = "policy",
            .kind_ = settings::Choice {{"weighted", "least_outstanding", "round_robin"}},
            .default_ = "weighted",
            .help_ = "choice of the upstream; all but weighted are baselines for measurements"},
        {.section_ = "stop",
            .name_ = "notice",
            .kind_ = settings::Duration {Milliseconds(0), Milliseconds(600'000)},
            .default_ = "5s",
            .help_ = "time between not ready and refusing new callers, for the load balancer"},
        {.section_ = "stop",
            .name_ = "drain_timeout",
            .kind_ = settings::Duration {Milliseconds(0), Milliseconds(3'600'000)},
            .default_ = "300s",
            .help_ = "longest time for requests in flight after SIGTERM"},
    });
}

auto routingPolicy(const settings::Settings &settings) -> routing::LoadBalancingPolicy
{
    const auto name = settings.text("routing", "policy");
    if (name == "round_robin") {
        return routing::RoundRobin {};
    }
    if (name == "least_outstanding") {
        return routing::LeastOutstanding {};
    }
    return routing::PowerOfChoices {};
}

auto serve(const settings::Settings &settings) -> int
{
    const auto identity = node::createIdentity(
        settings.text("node", "name"), wire::Role::Router, settings.text("node", "data_centre"), "");
    const auto seed = identity.node_.incarnation_;
    const auto environment
        = std::make_shared<node::Environment>(identity, observe::parseLevel(settings.text("node", "log_level")));
    const auto keyValues = std::make_shared<platform::KeyValueClient>(
        platform::KeyValueOptions {.url_ = settings.text("platform", "key_value_url"),
            .timeout_ = settings.duration("platform", "key_value_timeout")});
    const auto &adminAddress = settings.address("admin", "listen");
    const auto admin = std::make_shared<router::AdminApi>(router::AdminOptions {.address_ = adminAddress.host_,
        .port_ = adminAddress.port_,
        .keySha256_ = settings.text("admin", "key_sha256")});
    const auto &callersAddress = settings.address("callers", "listen");
    const auto callers = std::make_shared<router::HttpFrontend>(http::ServerOptions {.address_ = callersAddress.host_,
        .port_ = callersAddress.port_,
        .maximumConnections_ = static_cast<unsigned>(settings.integer("callers", "maximum_connections"))});

    auto registry = kernel::ServiceRegistry();
    registry.add("environment", environment);
    registry.add("manifest", std::make_shared<node::ManifestStore>());
    registry.add("limits", std::make_shared<router::RequestLimits>());
    registry.add("timelines", std::make_shared<router::TimelineCollector>());
    registry.add("upstreams", std::make_shared<router::UpstreamManager>(routingPolicy(settings), seed));
    registry.add("peers", std::make_shared<router::RouterPeers>(toString(settings.address("peers", "listen"))));
    registry.add("claims", std::make_shared<router::ClaimStore>(keyValues, seed));
    registry.add("platform",
        std::make_shared<router::PlatformSync>(
            keyValues, platform::VmListOptions {.url_ = settings.text("platform", "vm_list_url")}, seed));
    registry.add("administration", admin);
    registry.add("callers", callers);
    if (const auto failure = registry.startAll()) {
        environment->log().error("a service did not start", observe::fieldsOf(*failure));
        return node::exitFailure;
    }
    environment->log().info("started");
    const auto signal = node::waitForStopSignal();
    environment->log().info("stopping", {{"signal", std::int64_t(signal)}});
    admin->markNotReady();
    const auto idle = callers->drain(settings.duration("stop", "notice"), settings.duration("stop", "drain_timeout"));
    registry.stopAll();
    environment->log().info("stopped", {{"all_answered", idle}});
    return idle ? 0 : node::exitFailure;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    node::blockStopSignals();
    const auto command = std::string(argc > 1 ? argv[1] : "");
    if (router::isCommand(command)) {
        gflags::SetUsageMessage(usage);
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        return router::runCommand(command, std::vector<std::string>(argv + 2, argv + argc),
            router::AdminEndpoint {.url_ = FLAGS_admin_url, .bearerKey_ = FLAGS_admin_key});
    }
    if (command == "serve") {
        argv[1] = argv[0];
        ++argv;
        --argc;
    }
    const auto started = node::loadProgramSettings(argc, argv, schema(), usage);
    if (const auto *status = std::get_if<int>(&started)) {
        return *status;
    }
    return serve(std::get<settings::Settings>(started));
}
