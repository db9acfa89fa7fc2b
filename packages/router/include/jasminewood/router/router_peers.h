#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/link/listener.h"
#include "jasminewood/link/peer_link.h"
#include "jasminewood/membership/member_table.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/router/request_limits.h"
#include "jasminewood/router/timeline_collector.h"

// Service "peers" of the router: links to all other routers, over which the routers exchange account usage, crash
// reports and manifests.

namespace jasminewood::router
{

// Thread-safe. Runs one thread for each connection, one that accepts connections and one that sends state periodically.
class RouterPeers
{
public:
    explicit RouterPeers(std::string requestedAddress);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Replaces the routers by those of a new VM list, which includes this router.
    auto updateRouters(const std::vector<membership::VmEntry> &routers) -> void;

    // Sends a message to all connected routers and returns their number.
    auto broadcast(const wire::Message &message) -> std::size_t;

    // Returns the bound "IP:PORT".
    auto boundAddress() const -> const std::string &;

private:
    struct Peer
    {
        std::string address_;
        std::unique_ptr<link::PeerLink> link_;
        std::shared_ptr<link::Connection> connection_;
    };

    auto acceptConnections() -> void;
    auto serveConnection(const std::shared_ptr<link::Connection> &connection) -> void;
    auto connect(const std::string &name, const std::string &address) -> void;
    auto onConnected(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void;
    auto onDisconnected(const std::string &name) -> void;
    auto connectionTo(const std::string &name) -> std::shared_ptr<link::Connection>;
    auto onMessage(const wire::Message &message, const std::shared_ptr<link::Connection> &connection) -> void;
    auto sendStatePeriodically() -> void;
    auto stateMessages() -> std::vector<wire::Message>;

    const std::string requestedAddress_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<RequestLimits> requestLimits_;
    std::shared_ptr<TimelineCollector> timelineCollector_;
    std::shared_ptr<link::Listener> listener_;

    std::mutex mutex_;
    std::condition_variable stateChanged_;
    std::map<std::string, std::shared_ptr<Peer>> peers_;
    std::set<std::shared_ptr<link::Connection>> acceptedConnections_;
    std::size_t connectionThreads_ = 0;
    bool stopping_ = false;
    std::thread acceptThread_;
    std::thread stateThread_;
};

} // namespace jasminewood::router
