#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "frontend_fixture.h"
#include "jasminewood/forward/caller_balance.h"
#include "jasminewood/forward/crashing_requests.h"
#include "jasminewood/forward/peer_load_exchange.h"
#include "jasminewood/forward/peer_network.h"
#include "jasminewood/testbench/tcp_relay.h"

// One router: its configuration, its upstream pool, its feed of the store, its exchange with the other routers and its
// frontend.

namespace jasminewood::forward
{

class RouterFixture
{
public:
    RouterFixture(const std::string &name, std::uint16_t storePort,
        std::optional<Milliseconds> keyTrustPeriod = std::nullopt,
        const StoreFeedOptions &feedOptions = testFeedOptions());
    ~RouterFixture();

    RouterFixture(const RouterFixture &) = delete;
    auto operator=(const RouterFixture &) -> RouterFixture & = delete;

    auto store() -> platform::KeyValueClient &;
    // The path from this router to the store.
    auto storePath() -> testbench::TcpRelay &;
    auto configuration() -> ConfigurationWatcher &;
    auto pool() -> UpstreamPool &;
    auto network() -> PeerNetwork &;
    auto crashingRequests() -> CrashingRequests &;
    auto frontend() -> Frontend &;
    auto probes() -> ProbeServer &;
    // Returns the metrics in Prometheus's text format.
    auto metrics() const -> std::string;

    // Ends the router as a crash does: its entry in the store stays.
    auto crash() -> void;

private:
    std::shared_ptr<testbench::TcpRelay> storePath_;
    std::shared_ptr<platform::KeyValueClient> client_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<PeerNetwork> network_;
    std::shared_ptr<CrashingRequests> crashingRequests_;
    std::shared_ptr<Frontend> frontend_;
    std::shared_ptr<ProbeServer> probes_;
    kernel::ServiceRegistry registry_;
};

using Routers = std::vector<std::unique_ptr<RouterFixture>>;

// Starts routers "router-0", "router-1" and so on, and waits until they know each other.
auto startRouters(std::size_t count, const testbench::FakeKv &store) -> Routers;

// Waits until all routers know a configuration and so many upstreams.
auto waitForUpstreams(const Routers &routers, std::size_t count) -> void;

} // namespace jasminewood::forward
