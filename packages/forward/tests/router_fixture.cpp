#include "router_fixture.h"

#include <algorithm>

#include "jasminewood/testkit/test_suite.h"

namespace jasminewood::forward
{

RouterFixture::RouterFixture(const std::string &name, std::uint16_t storePort,
    std::optional<Milliseconds> keyTrustPeriod, const StoreFeedOptions &feedOptions)
    : storePath_(std::make_shared<testbench::TcpRelay>("127.0.0.1:" + std::to_string(storePort)))
    , client_(std::make_shared<platform::KeyValueClient>(
          platform::KeyValueOptions {.url_ = "http://" + storePath_->address(), .timeout_ = Milliseconds(500)}))
    , environment_(std::make_shared<node::Environment>(
          node::createIdentity(name, wire::Role::Router, "local", ""), observe::Level::Error))
    , configuration_(std::make_shared<ConfigurationWatcher>(testProtocolAdapter(sampleConfiguration()), keyTrustPeriod))
    , upstreams_(std::make_shared<UpstreamWatcher>(testProtocolAdapter(sampleConfiguration()), "local", 1))
    , network_(std::make_shared<PeerNetwork>(
          client_, PeerNetworkOptions {.address_ = "127.0.0.1", .dataCentre_ = "local", .keyPrefix_ = "/routers/"}))
    , crashingRequests_(std::make_shared<CrashingRequests>())
    , frontend_(std::make_shared<Frontend>(FrontendOptions {}, testProtocolAdapter(sampleConfiguration())))
    , probes_(std::make_shared<ProbeServer>(ProbeServerOptions {.readinessPath_ = "/ready"}))
{
    registry_.add("environment", environment_);
    registry_.add("configuration", configuration_);
    registry_.add("upstreams", upstreams_);
    registry_.add("peer-network", network_);
    registry_.add("peers", std::make_shared<PeerLoadExchange>());
    registry_.add("crashing-requests", crashingRequests_);
    registry_.add("stream-origins", std::make_shared<StreamOrigins>(client_, testOriginsOptions()));
    registry_.add("store-feed", std::make_shared<StoreFeed>(client_, feedOptions));
    registry_.add("front", frontend_);
    registry_.add("probes", probes_);
    registry_.add("caller-balance", std::make_shared<CallerBalance>());
    const auto failure = registry_.startAll();
    testkit::check(!failure, failure ? toString(*failure) : "");
}

RouterFixture::~RouterFixture()
{
    registry_.stopAll();
}

auto RouterFixture::store() -> platform::KeyValueClient &
{
    return *client_;
}

auto RouterFixture::storePath() -> testbench::TcpRelay &
{
    return *storePath_;
}

auto RouterFixture::configuration() -> ConfigurationWatcher &
{
    return *configuration_;
}

auto RouterFixture::pool() -> UpstreamPool &
{
    return upstreams_->pool();
}

auto RouterFixture::network() -> PeerNetwork &
{
    return *network_;
}

auto RouterFixture::crashingRequests() -> CrashingRequests &
{
    return *crashingRequests_;
}

auto RouterFixture::frontend() -> Frontend &
{
    return *frontend_;
}

auto RouterFixture::probes() -> ProbeServer &
{
    return *probes_;
}

auto RouterFixture::metrics() const -> std::string
{
    return environment_->metrics().text();
}

auto RouterFixture::crash() -> void
{
    storePath_->closeAndRefuse();
    registry_.stopAll();
}

auto startRouters(std::size_t count, const testbench::FakeKv &store) -> Routers
{
    auto routers = Routers();
    for (auto index = std::size_t(0); index < count; ++index) {
        routers.push_back(std::make_unique<RouterFixture>("router-" + std::to_string(index), store.port()));
    }
    waitUntil(
        [&routers] {
            return std::all_of(routers.begin(), routers.end(), [&routers](const auto &router) {
                return router->network().peerCount() + 1 == routers.size()
                    && router->pool().routerCount(Clock::now()) == routers.size();
            });
        },
        "the routers know each other");
    return routers;
}

auto waitForUpstreams(const Routers &routers, std::size_t count) -> void
{
    waitUntil(
        [&routers, count] {
            return std::all_of(routers.begin(), routers.end(), [count](const auto &router) {
                return router->pool().size() == count && router->configuration().current() != nullptr;
            });
        },
        "the routers know the upstreams and the configuration");
}

} // namespace jasminewood::forward
