#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/store_feed.h"
#include "jasminewood/forward/upstream_feed.h"
#include "jasminewood/kernel/registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/wire/messages.h"

// Service "peers": tells the other routers what this one gave to model engines, and learns the same of them.
//
// A router that knows only its own requests sends a long prompt to an engine that others have just filled. The routers
// find each other by entries under a lease in the store and send each other small datagrams: a lost one is replaced by
// the next, and a router that is gone simply stops to count, so that no connection has state to be mended.

namespace jasminewood::forward
{

struct PeerExchangeOptions
{
    // Numeric address and port for the datagrams of the other routers.
    const std::string address_;
    const std::uint16_t port_ = 0;
    // The prefix of the routers' entries in the store.
    const std::string prefix_ = "jasminewood/routers/";
};

// Needs the services "environment" and "upstreams". Thread-safe.
class PeerExchange
{
public:
    PeerExchange(
        std::shared_ptr<platform::KeyValueClient> store, const PeerExchangeOptions &options, std::uint64_t seed);

    auto start(const kernel::Registry &services) -> Status;
    auto stop() -> void;

    // The port of the socket.
    auto port() const -> std::uint16_t;

    // The number of routers in the store besides this one.
    auto peers() const -> std::size_t;

private:
    auto openSocket() -> Status;
    auto receiveLoop() -> void;
    auto sendLoop() -> void;
    auto registrationLoop() -> void;
    auto renewRegistration() -> Status;
    // Sends the loads, the prompts and the mix of prompts to all other routers.
    auto sendReport(bool complete, const routing::EngineLoads &loads, const std::vector<GivenPrompt> &prompts) -> void;
    auto broadcastReport(const wire::EngineUse &report) -> void;
    auto applyReport(const wire::EngineUse &report) -> void;
    // Sends a datagram to all other routers.
    auto broadcastDatagram(const std::string &datagram) -> void;
    auto updatePeer(const std::string &key, const std::string &newAddress) -> void;
    // Waits until the time is over or the service stops; returns false if it stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const PeerExchangeOptions options_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<UpstreamFeed> upstreams_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    platform::LeaseId lease_ = platform::noLease;
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    bool stopping_ = false;
    bool loadChanged_ = false;
    // Addresses of the other routers by key.
    std::map<std::string, std::string> peers_;
    std::unique_ptr<StoreFeed> peerWatcher_;
    std::thread receiverThread_;
    std::thread senderThread_;
    std::thread registrationThread_;
};

} // namespace jasminewood::forward
