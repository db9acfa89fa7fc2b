#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/peer_network.h"
#include "jasminewood/forward/probes.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/routing/caller_balance.h"
#include "jasminewood/wire/messages.h"

// Service "caller-balance": exchanges reports with the other routers about their open connections of callers, and makes
// callers reconnect while this router has clearly more of them than routers that have returned.
//
// A lost report is superseded by the next one, and the reports of a router that stopped expire.

namespace jasminewood::forward
{

// Requires the services "environment", "peer-network", "front" and "probes". Thread-safe.
class CallerBalance
{
public:
    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

private:
    auto reportLoop() -> void;
    auto applyReport(const wire::CallerReport &report) -> void;
    auto sendReport(const routing::RouterCallers &callers, TimePoint now) -> void;
    // Makes callers reconnect until the next report, as far as the reports of the others ask for it.
    auto releaseConnections(const routing::RouterCallers &callers, Milliseconds interval, TimePoint now) -> void;
    // Waits for the given time; returns false if the service stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<PeerNetwork> network_;
    std::shared_ptr<Frontend> frontend_;
    std::shared_ptr<ProbeServer> probes_;
    std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopping_ = false;
    routing::CallerReports reports_;
    std::thread reportThread_;
};

} // namespace jasminewood::forward
