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

// Service "crashing-requests": which prompt segments crash the engines, as this router and the others have seen it.
//
// The routers send each other their evidence, not their decisions: what is new at once, and the strongest of it again
// and again, since datagrams may be lost. A router that starts gets it from the others as soon as they hear it.

namespace jasminewood::forward
{

// Requires the service "environment"; exchanges evidence with other routers if there is a service "peer-network".
// Thread-safe.
class CrashingRequests
{
public:
    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Records that an upstream's process ended while a request with these shared segments waited there for its first
    // token.
    auto recordCrash(const membership::UpstreamRecord &upstream, const std::vector<std::uint64_t> &segments) -> void;

    // Records that a request with these shared segments got its first token.
    auto recordStart(const std::vector<std::uint64_t> &segments) -> void;

    // Returns how long requests with these shared segments are still refused; empty if this one may be sent. Must be
    // called before each attempt.
    auto admit(const std::vector<std::uint64_t> &segments) -> std::optional<Milliseconds>;

private:
    auto sendLoop() -> void;
    // Sends the news, or the strongest evidence if a repeated report is due.
    auto sendReport(TimePoint now) -> void;
    auto handleMessage(const wire::Message &message) -> void;
    // Sends the strongest evidence to a router that has started.
    auto greet(const NodeId &router) -> void;

    // Returns how long this router leaves trials of a segment to others, by a ranking that all routers share.
    auto trialTurn(std::uint64_t segment) const -> Milliseconds;

    // These require mutex_.
    auto makeReport(const routing::CrashEvidence &evidence) const -> wire::PromptCrashEvidence;
    auto applyChange(TimePoint now) -> void;
    auto nextRepeatAt() const -> TimePoint;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<PeerNetwork> network_;
    std::optional<observe::Counter> crashCounter_;
    mutable std::mutex mutex_;
    std::condition_variable changedCondition_;
    bool stopping_ = false;
    // When evidence was last new here, and when the strongest evidence was last sent.
    TimePoint changedAt_;
    TimePoint repeatedAt_;
    routing::CrashingRequestDetector detector_;
    // The segments that were refused after the last change, for the log.
    std::vector<std::uint64_t> refused_;
    // The incarnations of the other routers.
    std::map<std::string, std::uint64_t> greeted_;
    std::thread senderThread_;
};

} // namespace jasminewood::forward
