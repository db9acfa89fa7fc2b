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

// Service "peers": tells the other routers what this one gave to model engines, and learns the same of them.
//
// A router that knows only its own requests sends a long prompt to an engine that others have just filled. The routers
// find each other by entries under a lease in the store and send each other small datagrams: a lost one is replaced by
// the next, and a router that is gone simply stops to count, so that no connection has state to be mended.

namespace jasminewood::forward
{

struct PeerLoadExchangeOptions
{
    // Numeric address and port for the datagrams of the other routers.
    const std::string address_;
    const std::uint16_t port_ = 0;
    // The prefix of the routers' entries in the store.
    const std::string keyPrefix_ = "jasminewood/routers/";
};

// Needs the services "environment" and "upstreams". Thread-safe.
class PeerLoadExchange
{
public:
    PeerLoadExchange(
        std::shared_ptr<platform::KeyValueClient> store, const PeerLoadExchangeOptions &options, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // The port of the socket.
    auto port() const -> std::uint16_t;

    // The number of routers in the store besides this one.
    auto peerCount() const -> std::size_t;

private:
    auto openSocket() -> Status;
    auto receiveAll() -> void;
    auto sendAll() -> void;
    auto keepRegistered() -> void;
    auto registerOnce() -> Status;
    // Sends the loads, the prompts and the mix of prompts to all other routers.
    auto report(bool complete, const routing::EngineLoads &loads, const std::vector<RoutedPrompt> &prompts) -> void;
    auto send(const wire::EngineUsageReport &use) -> void;
    auto take(const wire::EngineUsageReport &use) -> void;
    // Sends a datagram to all other routers.
    auto broadcast(const std::string &datagram) -> void;
    auto note(const std::string &key, const std::string &address) -> void;
    // Waits until the time is over or the service stops; returns false if it stops.
    auto pause(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const PeerLoadExchangeOptions options_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    platform::LeaseId lease_ = platform::noLease;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool changed_ = false;
    // Addresses of the other routers by key.
    std::map<std::string, std::string> peers_;
    std::unique_ptr<StoreWatcher> feed_;
    std::thread receiver_;
    std::thread sender_;
    std::thread registrar_;
};

} // namespace jasminewood::forward
