#include <memory>

#include <fmt/format.h>

#include "jasminewood/agent/gate.h"
#include "jasminewood/agent/link_server.h"
#include "jasminewood/agent/metrics_server.h"
#include "jasminewood/agent/upstream.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/node/program.h"
#include "jasminewood/node/signals.h"

// jasminewood-agent: runs next to one upstream and forwards the routers' attempts to it. main() only assembles the
// services.

using namespace jasminewood;

namespace
{

auto schema() -> settings::Schema
{
    return node::withCommonSettings({
        {.section_ = "links",
            .name_ = "listen",
            .kind_ = settings::Address {},
            .default_ = "127.0.0.1:0",
            .help_ = "address on which routers connect"},
        {.section_ = "metrics",
            .name_ = "listen",
            .kind_ = settings::Address {},
            .default_ = "127.0.0.1:0",
            .help_ = "address of /metrics, /healthz and /readyz"},
        {.section_ = "upstream",
            .name_ = "url",
            .kind_ = settings::Text {},
            .help_ = "base URL of the upstream, for example http://127.0.0.1:8000"},
        {.section_ = "upstream",
            .name_ = "kind",
            .kind_ = settings::Choice {{"engine", "service"}},
            .default_ = "engine",
            .help_ = "model engine or plain service"},
        {.section_ = "upstream",
            .name_ = "pool",
            .kind_ = settings::Text {},
            .help_ = "pool of the manifest to which the upstream belongs"},
        {.section_ = "upstream",
            .name_ = "connect_timeout",
            .kind_ = settings::Duration {Milliseconds(10), Milliseconds(60'000)},
            .default_ = "2s",
            .help_ = "timeout for connecting to the upstream"},
        {.section_ = "upstream",
            .name_ = "idle_timeout",
            .kind_ = settings::Duration {Milliseconds(100), Milliseconds(3'600'000)},
            .default_ = "30s",
            .help_ = "timeout for a call that produces no output"},
        {.section_ = "gate",
            .name_ = "order",
            .kind_ = settings::Choice {{"tier_and_share", "first_in_first_out"}},
            .default_ = "tier_and_share",
            .help_ = "order in which queued attempts start; first_in_first_out is a baseline for measurements"},
        {.section_ = "stop",
            .name_ = "drain_timeout",
            .kind_ = settings::Duration {Milliseconds(0), Milliseconds(3'600'000)},
            .default_ = "300s",
            .help_ = "time limit for attempts in flight after SIGTERM"},
    });
}

auto upstreamTarget(const settings::Settings &settings) -> agent::UpstreamTarget
{
    const auto url = settings.text("upstream", "url");
    if (settings.text("upstream", "kind") == "engine") {
        return agent::EngineUpstream {.baseUrl_ = url};
    }
    return agent::ServiceUpstream {.baseUrl_ = url};
}

auto queueDiscipline(const settings::Settings &settings) -> scheduling::QueueDiscipline
{
    if (settings.text("gate", "order") == "first_in_first_out") {
        return scheduling::FirstInFirstOut {};
    }
    return scheduling::TierAndShare {};
}

auto run(const settings::Settings &settings) -> int
{
    const auto identity = node::createIdentity(settings.text("node", "name"), wire::Role::Agent,
        settings.text("node", "data_centre"), settings.text("upstream", "pool"));
    const auto environment
        = std::make_shared<node::Environment>(identity, observe::parseLevel(settings.text("node", "log_level")));
    const auto gate = std::make_shared<agent::Gate>(queueDiscipline(settings));
    const auto linkServer = std::make_shared<agent::LinkServer>(toString(settings.address("links", "listen")));

    auto registry = kernel::ServiceRegistry();
    registry.add("environment", environment);
    registry.add("manifest", std::make_shared<node::ManifestStore>());
    registry.add("upstream",
        std::make_shared<agent::Upstream>(upstreamTarget(settings), settings.duration("upstream", "connect_timeout"),
            settings.duration("upstream", "idle_timeout")));
    registry.add("gate", gate);
    registry.add("links", linkServer);
    registry.add("metrics", std::make_shared<agent::MetricsServer>(settings.address("metrics", "listen")));
    if (const auto failure = registry.startAll()) {
        environment->log().error("a service did not start", observe::fieldsOf(*failure));
        return node::exitFailure;
    }
    environment->log().info("started", {{"address", linkServer->address()}});
    const auto signal = node::waitForStopSignal();
    environment->log().info("stopping", {{"signal", std::int64_t(signal)}});
    gate->leave();
    linkServer->announceLeaving();
    const auto allCompleted = gate->waitUntilIdle(settings.duration("stop", "drain_timeout"));
    registry.stopAll();
    environment->log().info("stopped", {{"all_answered", allCompleted}});
    return allCompleted ? 0 : node::exitFailure;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    node::blockStopSignals();
    const auto settingsOrExitStatus = node::loadProgramSettings(
        argc, argv, schema(), "jasminewood-agent --settings=FILE [--SECTION_KEY=VALUE ...]");
    if (const auto *status = std::get_if<int>(&settingsOrExitStatus)) {
        return *status;
    }
    return run(std::get<settings::Settings>(settingsOrExitStatus));
}
