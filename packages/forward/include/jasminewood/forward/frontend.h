#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/crashing_requests.h"
#include "jasminewood/forward/lag_admission.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/response_hold.h"
#include "jasminewood/forward/stop_schedule.h"
#include "jasminewood/forward/stream_origins.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/forward/usage_reporting.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/routing/caller_balance.h"
#include "jasminewood/routing/retry_budget.h"

// Service "front": forwards callers' requests to upstreams with method, path and body unchanged, and relays the
// responses.

namespace jasminewood::forward
{

// The share of the retry budget that is divided among the routers. The rest is a reserve, since routers that have not
// discovered each other yet divide it by too small a number.
constexpr double retryBudgetShare = 0.8;

struct FrontendOptions
{
    const http::ServerOptions server_;
    // How long before the deadline of the caller or of the route a request without a response fails, so that the error
    // response arrives in time.
    const Milliseconds deadlineMargin_ = Milliseconds(20);
    // Limits of the retries, per service and across all routers.
    const routing::RetryBudgetOptions retryBudget_;
    // The time after the start in which this router discovers with how many others it shares the slack of the retries.
    const Milliseconds retryLearningTime_ = Milliseconds(0);
    // Longest response that is not a stream; a longer one counts as a failure of the upstream.
    const std::size_t maximumResponseBytes_ = std::size_t(8) << 20U;
    // What all responses together may hold in memory; those of the upstream that holds most, half of it.
    const std::size_t maximumHeldBytes_ = std::size_t(32) << 20U;
    // Longest event of a stream.
    const std::size_t maximumEventBytes_ = std::size_t(1) << 20U;
    // A stream that cannot be resumed ends if it brings no event for this time.
    const Milliseconds streamStallTimeout_ = Milliseconds(60'000);
};

// Returns the limits of callers' connections: those of the operators, and the settings where the operators set none.
auto connectionLimits(const routes::CallerLimits &limits, const http::ServerOptions &settings)
    -> http::ConnectionLimits;

// Requires the services "environment", "configuration", "upstreams", "crashing-requests" and "stream-origins"; tells
// the requests that began to run to the service "usage-reporting" if there is one. Thread-safe.
class Frontend
{
public:
    Frontend(const FrontendOptions &options, const ProtocolAdapter &protocolAdapter);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Shuts down gracefully. During the notice period requests on open and on new connections are still served, so that
    // the load balancer can detect that this process stops; those that may run once only are refused as not run if
    // their timeout ends after the process (see refusalWhileStopping()). After the notice period no new connections are
    // accepted, requests on open ones are refused, and the requests in flight may complete. Shortly before the end of
    // the grace period those that are left end: with status 504 if they may have run, and as aborted if they are
    // streams. Returns whether all requests completed by themselves. stop() ends the notice period early. To be called
    // once.
    auto drain(const StopPeriods &periods) -> bool;

    // Returns whether all requests are refused because the process stops.
    auto refusesRequests() const -> bool;

    // Returns whether a new connection of a caller would be served rather than closed for lack of room.
    auto hasRoom() const -> bool;

    // Returns the number of open connections of callers.
    auto connectionCount() const -> unsigned;

    // Returns the memory that the bodies of requests have reserved, in bytes.
    auto bodyBytes() const -> std::size_t;

    // Makes callers reconnect: so many of the connections that were opened before the given time are closed, each after
    // a complete response that tells it to the caller. What is left of an earlier call no longer applies. Returns how
    // many open connections this can close at most.
    auto releaseConnections(const routing::ConnectionRelease &release) -> std::size_t;

    // Records a delay between the arrival of data and its handling, as each request does. Requests are refused if the
    // delays are long.
    auto recordLag(Clock::duration delay) -> void;

    // Sets the used part of the VM's processor time. A busy router passes events of streams on several at a time.
    auto setUtilisation(double utilisation) -> void;

    // Returns the port on which callers connect.
    auto port() const -> std::uint16_t;

private:
    friend class RequestRun;

    auto handleRequest(const http::Request &request) -> http::Response;
    // Returns the refusal of a request that can hardly be served in time because this process lags behind.
    auto refuseUnderLag(const http::Request &request, TimePoint now) -> std::optional<http::Response>;
    // Returns the refusal of a request that needs no body to be refused; nothing for any other.
    auto refuseBeforeBody(const http::Request &request) -> std::optional<http::BufferedResponse>;
    // Returns the schedule of the planned stop, if one has begun.
    auto stopSchedule() const -> std::optional<StopSchedule>;
    // Returns whether the requests that are still in flight end because the process does.
    auto endsRequests() const -> bool;
    auto countOutcome(const std::string &outcome, int status) -> void;
    // Counts a request whose body was refused.
    auto countRefusedBody(const http::UnservedRequest &request) const -> void;
    // Counts and logs a request that the server ended without a complete response.
    auto recordUnserved(const http::UnservedRequest &request) const -> void;
    auto countRequest(const std::string &service) -> void;
    // Counts a request of this client account whose response has begun.
    auto recordBegan(const std::string &account) -> void;
    // Counts a request that resumes a stream.
    auto countResumption(bool originKnown) const -> void;
    // Counts an attempt with a prompt by its deadline class.
    auto countDeadlineClass(const Assignment &assignment) const -> void;
    // Records the error of the estimate that was made when the upstream was chosen.
    auto observeFirstTokenEstimate(const Assignment &assignment, TimePoint firstTokenAt) const -> void;
    // Takes one attempt from the retry budget of the service; returns false if the budget is exhausted.
    auto tryAcquireRetry(const std::string &service) -> bool;

    const FrontendOptions options_;
    const ProtocolAdapter protocolAdapter_;
    const std::shared_ptr<SharedResponseMemory> responseMemory_;
    // Set at the start.
    std::optional<routing::RetryBudgetOptions> retryBudgetOptions_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<CrashingRequests> crashingRequests_;
    std::shared_ptr<StreamOrigins> streamOrigins_;
    // Null if usage is not reported.
    std::shared_ptr<UsageReporting> usageReporting_;
    // Set once, before stopBegun_. Each request reads it, so it has no lock.
    std::optional<StopSchedule> stopSchedule_;
    std::atomic<bool> stopBegun_ = false;
    std::atomic<bool> requestsEnded_ = false;
    std::atomic<double> utilisation_ = 0;
    std::mutex mutex_;
    std::condition_variable stopCondition_;
    // Guarded by mutex_.
    bool stopped_ = false;
    // Counters by outcome and status, since a look-up by labels costs more than the count. Guarded by mutex_.
    std::map<std::pair<std::string, int>, observe::Counter> outcomeCounters_;
    // Retry budgets by service. Guarded by mutex_.
    std::map<std::string, routing::RetryBudget> retryBudgets_;
    std::optional<observe::Counter> requestCounter_;
    std::optional<observe::Counter> retryCounter_;
    // Set at the start.
    std::unique_ptr<LagAdmission> lagAdmission_;
    std::optional<observe::Histogram> timeToHandler_;
    std::optional<observe::Histogram> timeToResponse_;
    std::optional<observe::Histogram> estimateError_;
    std::optional<observe::Gauge> waitingRequests_;
    std::shared_ptr<http::Server> server_;
};

} // namespace jasminewood::forward
