#include "router_under_test.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "jasminewood/agent/gate.h"
#include "jasminewood/agent/link_server.h"
#include "jasminewood/agent/upstream.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/router/claim_store.h"
#include "jasminewood/router/platform_sync.h"
#include "jasminewood/router/request_limits.h"
#include "jasminewood/router/router_peers.h"
#include "jasminewood/router/sha256.h"
#include "jasminewood/router/timeline_collector.h"
#include "jasminewood/router/upstream_manager.h"
#include "jasminewood/testkit/test_suite.h"

namespace jasminewood::router
{

namespace
{

constexpr auto anyPort = "127.0.0.1:0";
constexpr std::uint64_t seed = 1;
constexpr auto readinessDeadline = std::chrono::seconds(30);
constexpr auto readinessPollInterval = Milliseconds(20);

auto environmentOf(const std::string &name, wire::Role role, const std::string &pool)
    -> std::shared_ptr<node::Environment>
{
    return std::make_shared<node::Environment>(
        node::createIdentity(name, role, "local", pool), observe::parseLevel("error"));
}

auto fetch(const std::string &method, const std::string &url, const std::string &body,
    const std::vector<http::HeaderField> &headers) -> http::ClientResponse
{
    const auto response
        = http::fetch(http::ClientRequest {.method_ = method, .url_ = url, .headers_ = headers, .body_ = body});
    testkit::check(bool(response), response ? "" : toString(response.failure()));
    return *response;
}

auto localUrl(std::uint16_t port, const std::string &path) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

} // namespace

auto sampleManifest() -> std::string
{
    return "[pool engines]\nkind = engine\nconcurrency = 2\n\n"
           "[pool booking]\nkind = service\nconcurrency = 2\npath = /services/booking\n\n"
           "[model film-chat]\nversions = 1\npool = engines\n\n"
           "[class chat]\ntier = 2\nmaximum_wait_ms = 5000\nmodels = film-chat\npool = engines\n\n"
           "[class batch]\ntier = 3\nmaximum_wait_ms = 5000\nmodels = film-chat\npool = engines\n\n"
           "[class booking]\ntier = 0\nmaximum_wait_ms = 5000\npool = booking\n\n"
           "[route confirm]\npool = booking\nmethod = POST\npath = /services/booking/bookings\nidempotent = no\n"
           "class = booking\n\n"
           "[account celje]\nkey_sha256 = "
        + sha256Hex(callersKey)
        + "\ndefault_class = chat\nclasses = chat, booking\nrequests_per_second = 1000\nwork_per_second = 1000000\n";
}

RouterUnderTest::RouterUnderTest(const PlatformUrls &platform)
    : manifestStore_(std::make_shared<node::ManifestStore>())
    , admin_(std::make_shared<AdminApi>(
          AdminOptions {.address_ = "127.0.0.1", .port_ = 0, .keySha256_ = sha256Hex(operatorsKey)}))
    , callers_(std::make_shared<HttpFrontend>(http::ServerOptions {}))
    , registry_(std::make_unique<kernel::ServiceRegistry>())
{
    const auto keyValues
        = std::make_shared<platform::KeyValueClient>(platform::KeyValueOptions {.url_ = platform.keyValue_});
    registry_->add("environment", environmentOf("router", wire::Role::Router, ""));
    registry_->add("manifest", manifestStore_);
    registry_->add("limits", std::make_shared<RequestLimits>());
    registry_->add("timelines", std::make_shared<TimelineCollector>());
    registry_->add("upstreams", std::make_shared<UpstreamManager>(routing::PowerOfChoices {}, seed));
    registry_->add("peers", std::make_shared<RouterPeers>(anyPort));
    registry_->add("claims", std::make_shared<ClaimStore>(keyValues, seed));
    registry_->add("platform",
        std::make_shared<PlatformSync>(
            keyValues, platform::VmListOptions {.url_ = platform.vmList_ + "/v1/targets"}, seed));
    registry_->add("administration", admin_);
    registry_->add("callers", callers_);
    const auto failure = registry_->startAll();
    testkit::check(!failure, failure ? toString(*failure) : "");
}

RouterUnderTest::~RouterUnderTest()
{
    registry_->stopAll();
}

auto RouterUnderTest::setManifest(const std::string &manifest) -> void
{
    testkit::check(manifestStore_->update(1, manifest), "the manifest is not valid");
}

auto RouterUnderTest::stopCallers(Milliseconds noticePeriod) -> bool
{
    const auto allAnswered = callers_->drain(noticePeriod, Milliseconds(30'000));
    callers_->stop();
    return allAnswered;
}

auto RouterUnderTest::callersPort() const -> std::uint16_t
{
    return callers_->port();
}

auto RouterUnderTest::call(const std::string &method, const std::string &path, const std::string &body,
    std::vector<http::HeaderField> headers) const -> http::ClientResponse
{
    const auto hasAuthorization
        = std::any_of(headers.begin(), headers.end(), [](const http::HeaderField &header) -> bool {
              return header.name_ == "Authorization";
          });
    if (!hasAuthorization) {
        headers.push_back({.name_ = "Authorization", .value_ = std::string("Bearer ") + callersKey});
    }
    return fetch(method, localUrl(callers_->port(), path), body, headers);
}

auto RouterUnderTest::administer(const std::string &method, const std::string &path, const std::string &body,
    const std::string &key) const -> http::ClientResponse
{
    return fetch(method, localUrl(admin_->port(), path), body, {{.name_ = "Authorization", .value_ = "Bearer " + key}});
}

auto RouterUnderTest::awaitReadiness(int status, const std::string &bodyPart) const -> void
{
    const auto deadline = Clock::now() + readinessDeadline;
    auto lastResponse = std::string();
    while (Clock::now() < deadline) {
        const auto response = administer("GET", "/readyz");
        lastResponse = std::to_string(response.status_) + " " + response.body_;
        if (response.status_ == status && response.body_.find(bodyPart) != std::string::npos) {
            return;
        }
        std::this_thread::sleep_for(readinessPollInterval);
    }
    testkit::check(false, "the last answer was " + lastResponse);
}

AgentUnderTest::AgentUnderTest(const agent::UpstreamTarget &upstream, const std::string &name)
    : name_(name)
    , pool_(std::holds_alternative<agent::EngineUpstream>(upstream) ? "engines" : "booking")
    , registry_(std::make_unique<kernel::ServiceRegistry>())
{
    const auto links = std::make_shared<agent::LinkServer>(anyPort);
    registry_->add("environment", environmentOf(name_, wire::Role::Agent, pool_));
    registry_->add("manifest", std::make_shared<node::ManifestStore>());
    registry_->add("upstream", std::make_shared<agent::Upstream>(upstream, Milliseconds(2'000), Milliseconds(2'000)));
    registry_->add("gate", std::make_shared<agent::Gate>());
    registry_->add("links", links);
    const auto failure = registry_->startAll();
    testkit::check(!failure, failure ? toString(*failure) : "");
    address_ = links->address();
}

AgentUnderTest::~AgentUnderTest()
{
    registry_->stopAll();
}

auto AgentUnderTest::vmList() const -> std::string
{
    const auto entry = nlohmann::json {{"targets", {address_}},
        {"labels", {{"role", "agent"}, {"name", name_}, {"pool", pool_}, {"data_centre", "local"}, {"state", "live"}}}};
    return nlohmann::json::array({entry}).dump();
}

} // namespace jasminewood::router
