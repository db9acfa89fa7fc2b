#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/peer_network.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/upstream_directory.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/routing/crashing_request_detector.h"
#include "jasminewood/wire/messages.h"

// Service "crashing-requests": which requests crash the upstreams, as this router and the others have seen it.
//
// The routers send each other their evidence, not their decisions: what is new at once, and the strongest of it again
// and again, since datagrams may be lost. A router that starts gets it from the others as soon as they hear it.

namespace jasminewood::forward
{

// A request that was lost when its upstream's process ended.
struct LostRequest
{
    // Those that may have been the cause.
    const routing::RequestFeatures features_;
    // The crash in which the attempt before was lost, if there was one.
    const routing::CrashId previous_ = routing::noCrash;
    // Whether the answer had begun.
    const bool answerBegan_ = false;

    auto operator<=>(const LostRequest &) const = default;
};

// Requires the service "environment"; exchanges evidence with other routers if there is a service "peer-network".
// Thread-safe.
class CrashingRequests
{
public:
    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Records that an upstream's process ended under a request. Returns the crash.
    auto recordCrash(const membership::UpstreamRecord &upstream, const LostRequest &lost) -> routing::CrashId;

    // Records that a request went so well that these features of it crash no upstream.
    auto recordSuccess(const routing::RequestFeatures &features) -> void;

    // Returns how long requests with these features are still refused; empty if this one may be sent. Must be called
    // before each attempt.
    auto admit(const routing::RequestFeatures &features) -> std::optional<Milliseconds>;

private:
    auto sendLoop() -> void;
    // Sends the news, or the strongest evidence if a repeated report is due.
    auto sendReport(TimePoint now) -> void;
    auto handleMessage(const wire::Message &message) -> void;
    // Sends the strongest evidence to a router that has started.
    auto greet(const NodeId &router) -> void;

    // Returns how many routers try a feature before this one, by a ranking that all routers share.
    auto trialRank(const routing::RequestFeature &feature) const -> std::size_t;

    // These require mutex_.
    auto makeReport(const routing::CrashEvidence &evidence) const -> wire::RequestCrashEvidence;
    auto applyChange(TimePoint now) -> void;
    auto nextRepeatAt() const -> TimePoint;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<PeerNetwork> network_;
    std::optional<observe::Counter> promptCrashCounter_;
    std::optional<observe::Counter> requestCrashCounter_;
    mutable std::mutex mutex_;
    std::condition_variable changedCondition_;
    bool stopping_ = false;
    // When evidence was last new here, and when the strongest evidence was last sent.
    TimePoint changedAt_;
    TimePoint repeatedAt_;
    routing::CrashingRequestDetector detector_;
    // The features that were refused after the last change, for the log.
    routing::RequestFeatures refused_;
    // The incarnations of the other routers.
    std::map<std::string, std::uint64_t> greeted_;
    std::thread senderThread_;
};

} // namespace jasminewood::forward
