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

// Service "callers" of the router: the callers' HTTP API.
//
//   POST /v1/chat/completions   OpenAI-compatible, as JSON or as server-sent events
//   GET  /v1/models             the models that the account may use
//   any  PATH                   calls of the HTTP services that the manifest configures
//
// Every response has an X-Request-Id header. Errors are JSON with step, peer, run state and retry delay.

namespace jasminewood::router
{

// Thread-safe. Runs one thread for each caller's connection.
class HttpFrontend
{
public:
    explicit HttpFrontend(http::ServerOptions options);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Continues to accept connections during the notice period, and closes each after its response. Then stops
    // accepting, waits until no request is in flight and closes the connections. Returns whether all requests were
    // answered before the timeout.
    auto drain(Milliseconds noticePeriod, Milliseconds timeout) -> bool;

    auto port() const -> std::uint16_t;

private:
    auto handle(const http::Request &request) -> http::Response;
    auto authenticateAndRoute(const http::Request &request, const std::string &requestId) -> http::Response;
    auto listModels(const manifest::Manifest &manifest, const manifest::Account &account,
        const std::string &requestId) const -> http::BufferedResponse;
    auto handleChat(const http::Request &request, const std::string &requestId, const manifest::Manifest &manifest,
        const manifest::Account &account) -> http::Response;
    auto handleServiceCall(const http::Request &request, const std::string &requestId,
        const manifest::Manifest &manifest, const manifest::Account &account) -> http::Response;
    auto executeIdempotent(const RoutedRequest &request) -> http::Response;
    auto executeNonIdempotent(const RoutedRequest &request) -> http::Response;
    auto streamingChatResponse(const std::shared_ptr<RequestExecution> &execution, const RoutedRequest &request,
        const std::string &model) -> http::Response;
    auto nonStreamingChatResponse(RequestExecution &execution, const RoutedRequest &request, const std::string &model)
        -> http::Response;
    auto countOutcome(const std::string &requestClass, const std::string &outcome) const -> void;
    // Counts and logs a request that the server ended without a complete response.
    auto recordUnserved(const http::UnservedRequest &request) const -> void;
    auto makeExecution(const RoutedRequest &request) const -> std::shared_ptr<RequestExecution>;

    const http::ServerOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<RequestLimits> requestLimits_;
    std::shared_ptr<ClaimStore> claimStore_;
    std::shared_ptr<http::Server> server_;
    std::atomic<std::uint64_t> requestCount_ = 0;
};

} // namespace jasminewood::router
