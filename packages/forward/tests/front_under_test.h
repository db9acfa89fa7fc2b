#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/testbench/fake_kv.h"

// A front with its services, before a stand-in of the store and stand-ins of upstreams, in a dialect of the tests' own.

namespace jasminewood::forward
{

constexpr auto configurationKey = "/configuration";
constexpr auto upstreamPrefix = "/upstreams/";
constexpr auto sampleKey = "k1";

// The dialect reads a configuration's value as its version, and takes the rest from the sample given.
auto testDialect(const routes::Configuration &sample) -> ProtocolAdapter;

// Routes "/once/", "/again/" (two attempts), "/stream/" and "/resumable/" (two attempts) of host "shop" to service
// "pool"; "sampleKey" is the key of account "installer".
auto sampleConfiguration() -> routes::Configuration;

class FrontUnderTest
{
public:
    // Publishes the sample unless its version is 0.
    explicit FrontUnderTest(
        const routes::Configuration &sample = sampleConfiguration(), std::optional<Milliseconds> trust = std::nullopt);
    ~FrontUnderTest();

    FrontUnderTest(const FrontUnderTest &) = delete;
    auto operator=(const FrontUnderTest &) -> FrontUnderTest & = delete;

    // Starts an upstream of service "pool" and waits until the front knows it.
    auto addUpstream(const std::string &id, http::Handler handler) -> void;
    // Registers an address as an upstream and waits until the front knows it.
    auto registerUpstream(const std::string &id, const std::string &address, const std::string &state) -> void;
    auto publish(std::int64_t version) -> void;

    auto url(const std::string &path) const -> std::string;
    auto port() const -> std::uint16_t;
    // The fields of a proper request with this id.
    static auto fields(const std::string &id) -> std::vector<http::HeaderField>;

    auto front() -> Frontend &;
    auto configuration() -> ConfigurationWatcher &;
    auto upstreams() -> UpstreamWatcher &;
    auto store() -> testbench::FakeKv &;
    // The metrics in the text format of Prometheus.
    auto metrics() const -> std::string;

private:
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<testbench::FakeKv> store_;
    std::shared_ptr<platform::KeyValueClient> client_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<Frontend> front_;
    kernel::ServiceRegistry registry_;
    std::vector<std::shared_ptr<http::Server>> servers_;
};

// An answer that bears the mark of a run of the request.
auto genuine(const http::Request &request, int status, const std::string &body) -> http::BufferedResponse;

// Waits until the condition holds; fails the test if it does not within a generous time.
auto await(const std::function<auto()->bool> &condition, const std::string &what) -> void;

} // namespace jasminewood::forward
