#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "jasminewood/agent/upstream.h"
#include "jasminewood/http/client.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/router/admin_api.h"
#include "jasminewood/router/http_frontend.h"

// The services of a router and of an agent in the test process.

namespace jasminewood::router
{

constexpr auto operatorsKey = "operators-key";
constexpr auto callersKey = "demo-key-celje";

// Nothing listens on this port, so connections are refused immediately.
constexpr auto unreachableUrl = "http://127.0.0.1:1";

// Returns a manifest with the account celje (classes chat and booking) and the pools engines and booking.
auto sampleManifest() -> std::string;

struct PlatformUrls
{
    const std::string keyValue_ = unreachableUrl;
    const std::string vmList_ = unreachableUrl;

    auto operator<=>(const PlatformUrls &) const = default;
};

class RouterUnderTest
{
public:
    explicit RouterUnderTest(const PlatformUrls &platform = {});
    ~RouterUnderTest();

    RouterUnderTest(const RouterUnderTest &) = delete;
    auto operator=(const RouterUnderTest &) -> RouterUnderTest & = delete;

    // Activates a manifest without the key-value service.
    auto setManifest(const std::string &manifest) -> void;

    // Stops the callers' API as the program does; returns whether all requests were answered.
    auto stopCallers(Milliseconds noticePeriod) -> bool;

    auto callersPort() const -> std::uint16_t;

    // Calls the callers' API, with the callers' key unless the headers contain Authorization.
    auto call(const std::string &method, const std::string &path, const std::string &body = {},
        std::vector<http::HeaderField> headers = {}) const -> http::ClientResponse;

    // Calls the administration API.
    auto administer(const std::string &method, const std::string &path, const std::string &body = {},
        const std::string &key = operatorsKey) const -> http::ClientResponse;

    // Polls /readyz until the response has this status and its body contains this text. Fails after the readiness
    // deadline.
    auto awaitReadiness(int status, const std::string &bodyPart) const -> void;

private:
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<AdminApi> admin_;
    std::shared_ptr<HttpFrontend> callers_;
    std::unique_ptr<kernel::ServiceRegistry> registry_;
};

// An agent of pool engines or booking. Agents of one router need distinct names.
class AgentUnderTest
{
public:
    explicit AgentUnderTest(const agent::UpstreamTarget &upstream = agent::EngineUpstream {.baseUrl_ = unreachableUrl},
        const std::string &name = "agent");
    ~AgentUnderTest();

    AgentUnderTest(const AgentUnderTest &) = delete;
    auto operator=(const AgentUnderTest &) -> AgentUnderTest & = delete;

    // Returns a VM list with this agent as its only entry.
    auto vmList() const -> std::string;

private:
    std::string name_;
    std::string pool_;
    std::string address_;
    std::unique_ptr<kernel::ServiceRegistry> registry_;
};

} // namespace jasminewood::router
