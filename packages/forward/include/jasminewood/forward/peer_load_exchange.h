#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/store_watcher.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/wire/messages.h"

// Service "peers": exchanges reports with the other routers about the load and the prompts that each has routed to the
// model engines.
//
// Without the reports a router could route a long prompt to an engine to which another router has just routed one. The
// routers discover each other by leased entries in the store and exchange small datagrams. A lost datagram is
// superseded by the next one, and the reports of a router that stopped expire, so no connection state has to be
// recovered.

namespace jasminewood::forward
{

struct PeerLoadExchangeOptions
{
    // Numeric address and port on which the datagrams of the other routers arrive.
    const std::string address_;
    const std::uint16_t port_ = 0;
    // The key prefix of the routers' entries in the store.
    const std::string keyPrefix_ = "jasminewood/routers/";
};

// Requires the services "environment" and "upstreams". Thread-safe.
class PeerLoadExchange
{
public:
    PeerLoadExchange(
        std::shared_ptr<platform::KeyValueClient> store, const PeerLoadExchangeOptions &options, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Returns the port of the socket. The system chooses it if the options have port 0.
    auto port() const -> std::uint16_t;

    // Returns the number of other routers registered in the store.
    auto peerCount() const -> std::size_t;

private:
    auto openSocket() -> Status;
    auto receiveLoop() -> void;
    auto sendLoop() -> void;
    auto registrationLoop() -> void;
    auto renewRegistration() -> Status;
    // Sends the loads, the routed prompts and the prompt statistics of this router to all other routers.
    auto sendReport(bool isFullReport, const routing::EngineLoads &loads, const std::vector<RoutedPrompt> &prompts)
        -> void;
    auto broadcastReport(const wire::EngineUsageReport &report) -> void;
    auto applyReport(const wire::EngineUsageReport &report) -> void;
    // Sends a datagram to all other routers.
    auto broadcastDatagram(const std::string &datagram) -> void;
    auto updatePeer(const std::string &key, const std::string &newAddress) -> void;
    // Waits for the given time; returns false if the service stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const PeerLoadExchangeOptions options_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    platform::LeaseId lease_ = platform::noLease;
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    bool stopping_ = false;
    bool loadChanged_ = false;
    // Addresses of the other routers by key.
    std::map<std::string, std::string> peers_;
    std::unique_ptr<StoreWatcher> peerWatcher_;
    std::thread receiverThread_;
    std::thread senderThread_;
    std::thread registrationThread_;
};

} // namespace jasminewood::forward
