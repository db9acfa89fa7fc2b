#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/router/claim_store.h"
#include "jasminewood/router/request_execution.h"
#include "jasminewood/router/request_limits.h"
#include "jasminewood/router/upstream_manager.h"

// Service "callers" of the router: the callers' HTTP interface.
//
//   POST /v1/chat/completions   OpenAI-compatible, plain or as server-sent events
//   GET  /v1/models             the models that the account may use
//   any  PATH                   calls of the plain services that the manifest names
//
// Every answer has X-Request-Id. Errors are JSON and say step, peer, run state and when to retry.

namespace jasminewood::router
{

// Thread-safe. One task for each caller's connection.
class HttpFrontend
{
public:
    explicit HttpFrontend(http::ServerOptions options);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Serves for the notice time, then accepts no connections and waits until all requests are answered. Returns
    // whether that happened in time.
    auto drain(Milliseconds notice, Milliseconds timeout) -> bool;

    auto port() const -> std::uint16_t;

private:
    auto handle(const http::Request &request) -> http::Response;
    auto serve(const http::Request &request, const std::string &id) -> http::Response;
    auto models(const manifest::Manifest &manifest, const manifest::Account &account, const std::string &id) const
        -> http::BufferedResponse;
    auto chat(const http::Request &request, const std::string &id, const manifest::Manifest &manifest,
        const manifest::Account &account) -> http::Response;
    auto service(const http::Request &request, const std::string &id, const manifest::Manifest &manifest,
        const manifest::Account &account) -> http::Response;
    auto runService(const RoutedRequest &request) -> http::Response;
    auto runClaimed(const RoutedRequest &request) -> http::Response;
    auto streamChat(const std::shared_ptr<RequestExecution> &run, const RoutedRequest &request,
        const std::string &model) -> http::Response;
    auto wholeChat(RequestExecution &run, const RoutedRequest &request, const std::string &model) -> http::Response;
    auto count(const std::string &requestClass, const std::string &outcome) const -> void;
    auto newRun(const RoutedRequest &request) const -> std::shared_ptr<RequestExecution>;

    const http::ServerOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<RequestLimits> limits_;
    std::shared_ptr<ClaimStore> claims_;
    std::shared_ptr<http::Server> server_;
    std::atomic<std::uint64_t> requests_ = 0;
};

} // namespace jasminewood::router
