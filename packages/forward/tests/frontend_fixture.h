#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/probes.h"
#include "jasminewood/forward/stream_origins.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/testbench/fake_kv.h"

// A frontend with its services, a fake store and fake upstreams, and a protocol adapter for tests.

namespace jasminewood::forward
{

constexpr auto configurationKey = "/configuration";
constexpr auto upstreamPrefix = "/upstreams/";
constexpr auto sampleApiKey = "k1";

// Returns an adapter that parses the start of a configuration's value as its version and takes the rest from the
// sample.
auto testProtocolAdapter(const routes::Configuration &sample) -> ProtocolAdapter;

// Returns options with which the feed watches all keys of the tests and passes on changes soon.
auto testFeedOptions() -> StoreFeedOptions;

// Returns options with which the versions of streams are written soon, under the prefix of the tests.
auto testOriginsOptions() -> StreamOriginsOptions;

// Returns a configuration with the routes "/once/", "/again/" (two attempts), "/stream/", "/resumable/" (two attempts)
// and "/patient/" (as "/resumable/", with pauses of up to 800 ms) of host "shop" to service "pool". sampleApiKey is the
// API key of account "installer".
auto sampleConfiguration() -> routes::Configuration;

class FrontendFixture
{
public:
    // Publishes the sample to the store unless its version is 0.
    explicit FrontendFixture(const routes::Configuration &sample = sampleConfiguration(),
        std::optional<Milliseconds> keyTrustPeriod = std::nullopt, const FrontendOptions &options = {},
        observe::Level level = observe::Level::Error, const StoreFeedOptions &feed = testFeedOptions());
    ~FrontendFixture();

    FrontendFixture(const FrontendFixture &) = delete;
    auto operator=(const FrontendFixture &) -> FrontendFixture & = delete;

    // Starts an upstream of service "pool" and registers it.
    auto addUpstream(const std::string &id, http::Handler handler, const std::string &state = "ready") -> void;
    // Registers an address as an upstream. Waits until it is in the pool if the state is "ready", which the
    // incarnation, a number, and the version of the software, otherwise "v1", may follow; otherwise until it is not.
    auto registerUpstream(const std::string &id, const std::string &address, const std::string &state) -> void;
    auto publish(std::int64_t version) -> void;
    auto publishWithoutRoutes(std::int64_t version) -> void;
    // Makes the store refuse all connections.
    auto stopStore() -> void;

    auto url(const std::string &path) const -> std::string;
    auto port() const -> std::uint16_t;
    // Returns the header fields of a valid request with this id.
    static auto requestFields(const std::string &id) -> std::vector<http::HeaderField>;

    auto frontend() -> Frontend &;
    auto configuration() -> ConfigurationWatcher &;
    auto upstreams() -> UpstreamWatcher &;
    auto probes() -> ProbeServer &;
    auto streamOrigins() -> StreamOrigins &;
    auto store() -> testbench::FakeKv &;
    // Returns the metrics in Prometheus's text format.
    auto metrics() const -> std::string;

private:
    auto publishValue(std::int64_t version, const std::string &value) -> void;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<testbench::FakeKv> store_;
    std::shared_ptr<platform::KeyValueClient> client_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<StreamOrigins> streamOrigins_;
    std::shared_ptr<Frontend> frontend_;
    std::shared_ptr<ProbeServer> probes_;
    kernel::ServiceRegistry registry_;
    std::vector<std::shared_ptr<http::Server>> servers_;
};

// Returns a response with the mark of a completed run of the request.
auto authenticResponse(const http::Request &request, int status, const std::string &body) -> http::BufferedResponse;

// Waits until the condition is true; fails the test after a long timeout.
auto waitUntil(const std::function<auto()->bool> &condition, const std::string &description) -> void;

} // namespace jasminewood::forward
