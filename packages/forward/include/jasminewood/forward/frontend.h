#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/routing/retry_budget.h"

// Service "front": forwards callers' requests to upstreams, method, path and body unchanged, and their answers back.

namespace jasminewood::forward
{

// The part of the budget for retries that is used; the rest covers routers that do not know of each other.
constexpr double retryBudgetShare = 0.8;

struct FrontendOptions
{
    const http::ServerOptions server_;
    // An answer is given at the latest this much before the caller's time or the route's is over.
    const Milliseconds deadlineMargin_ = Milliseconds(20);
    // Attempts beyond the first of each request, by service and over all routers.
    const routing::RetryBudgetOptions retryLimits_;
};

// Needs the services "environment", "configuration" and "upstreams". Thread-safe.
class Frontend
{
public:
    Frontend(const FrontendOptions &options, const ProtocolAdapter &dialect);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Answers requests on open connections and on new ones for the time of notice, in which the load balancer learns
    // that this process stops; then accepts no more connections, refuses requests on open ones as not run, and waits
    // for requests in flight. Returns whether all were answered within the limit, which counts from the call. stop()
    // ends the notice.
    auto drain(Milliseconds notice, Milliseconds limit) -> bool;

    // Whether requests are refused because the process stops.
    auto refusesRequests() const -> bool;

    // The port on which callers connect.
    auto port() const -> std::uint16_t;

private:
    friend class RequestRun;

    auto answer(const http::Request &request) -> http::Response;
    auto countOutcome(const std::string &outcome, int status) const -> void;
    auto countRequest(const std::string &service) -> void;
    // Whether the budget of the service has one more attempt, which is then counted.
    auto tryRetry(const std::string &service) -> bool;

    const FrontendOptions options_;
    const ProtocolAdapter dialect_;
    const routing::RetryBudgetOptions retryLimits_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::atomic<bool> refusing_ = false;
    std::mutex mutex_;
    std::condition_variable stopWaits_;
    bool stopped_ = false;
    // By service.
    std::map<std::string, routing::RetryBudget> retries_;
    std::optional<observe::Counter> requests_;
    std::optional<observe::Counter> retried_;
    std::optional<observe::Histogram> seconds_;
    std::shared_ptr<http::Server> server_;
};

} // namespace jasminewood::forward
