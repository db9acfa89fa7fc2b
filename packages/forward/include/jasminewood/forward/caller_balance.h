#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/peer_network.h"
#include "jasminewood/forward/probes.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/processor_use.h"
#include "jasminewood/routing/caller_balance.h"
#include "jasminewood/routing/connection_shedding.h"
#include "jasminewood/wire/messages.h"

// Service "caller-balance": exchanges reports with the other routers about their open connections of callers, and makes
// callers reconnect while this router has clearly more of them than routers that have returned, or than its share by
// the size of its VM.
//
// A lost report is superseded by the next one, and the reports of a router that stopped expire.

namespace jasminewood::forward
{

struct CallerBalanceOptions
{
    // Processor time that the VM provides, in cores; 0 if unknown.
    const double capacity_ = 0;
};

// Requires the services "environment", "peer-network", "front" and "probes". Thread-safe.
class CallerBalance
{
public:
    explicit CallerBalance(const CallerBalanceOptions &options = {});

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

private:
    auto reportLoop() -> void;
    auto applyReport(const wire::CallerReport &report) -> void;
    // Returns what this router reports of its callers.
    auto ownCallers() const -> routing::RouterCallers;
    auto sendReport(const routing::RouterCallers &callers, TimePoint now) -> void;
    // Makes callers reconnect until the next report, as far as the reports of the others ask for it.
    auto releaseConnections(const routing::RouterCallers &callers, const std::vector<routing::RouterCallers> &others,
        Milliseconds interval, TimePoint now) -> void;
    // Decides whether this router makes callers connect to larger ones, and does so. Returns whether it does.
    auto shedConnections(const routing::RouterCallers &callers, const std::vector<routing::RouterCallers> &others,
        TimePoint now) -> bool;
    auto recordPhase(routing::SheddingPhase previous, const routing::RouterCallers &callers) -> void;
    // Waits for the given time; returns false if the service stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    const CallerBalanceOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<PeerNetwork> network_;
    std::shared_ptr<Frontend> frontend_;
    std::shared_ptr<ProbeServer> probes_;
    std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopping_ = false;
    routing::CallerReports reports_;
    // Used by the reporting thread only.
    routing::ConnectionShedding shedding_;
    node::ProcessorMeter processorMeter_;
    std::optional<observe::Gauge> utilisationGauge_;
    std::optional<observe::Gauge> sheddingGauge_;
    std::optional<observe::Counter> sheddingCounter_;
    std::thread reportThread_;
};

} // namespace jasminewood::forward
