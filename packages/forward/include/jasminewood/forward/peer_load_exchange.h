#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/peer_network.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/wire/messages.h"

// Service "peers": exchanges reports with the other routers about the load and the prompts that each has routed to the
// model engines.
//
// Without the reports a router could route a long prompt to an engine to which another router has just routed one. A
// lost report is superseded by the next one, and the reports of a router that stopped expire, so no connection state
// has to be recovered.

namespace jasminewood::forward
{

// Requires the services "environment", "upstreams" and "peer-network". Thread-safe.
class PeerLoadExchange
{
public:
    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

private:
    auto sendLoop() -> void;
    // Sends what has changed since the last report, or a full report if one is due.
    auto reportLoads(TimePoint now) -> void;
    // Sends the loads, the routed prompts and the prompt statistics of this router to all other routers.
    auto sendReport(bool isFullReport, const routing::EngineLoads &loads, const std::vector<RoutedPrompt> &prompts)
        -> void;
    auto sendRateLimits(const std::vector<routing::RateLimitReport> &reports) -> void;
    auto applyReport(const wire::EngineUsageReport &report) -> void;
    auto applyRateLimits(const wire::UpstreamRateLimitReport &report) -> void;
    // Waits for the given time; returns false if the service stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<PeerNetwork> network_;
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    // Separate from stateChanged_, so that changes of the load do not wake the sender thread between two reports.
    std::condition_variable stopCondition_;
    bool stopping_ = false;
    bool loadChanged_ = false;
    // Used by the sender thread only.
    routing::EngineLoads sentLoads_;
    TimePoint nextFullReportAt_;
    std::thread senderThread_;
};

} // namespace jasminewood::forward
