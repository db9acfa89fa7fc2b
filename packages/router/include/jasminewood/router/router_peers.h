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

// Service "peers" of the router: links to all other routers, over which they share account usage, crash reports and
// manifests.

namespace jasminewood::router
{

// Thread-safe. Runs one task for each connection, one that accepts and one that sends usage.
class RouterPeers
{
public:
    explicit RouterPeers(std::string boundAddress);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Takes over the routers of a new VM list, this one included.
    auto updateRouters(const std::vector<membership::VmEntry> &routers) -> void;

    // Sends to all routers to which there is a connection and returns to how many.
    auto broadcast(const wire::Message &message) -> std::size_t;

    // The bound "IP:PORT".
    auto boundAddress() const -> const std::string &;

private:
    struct Peer
    {
        std::string address_;
        std::unique_ptr<link::PeerLink> link_;
        std::shared_ptr<link::Connection> connection_;
    };

    auto acceptRouters() -> void;
    auto serve(const std::shared_ptr<link::Connection> &connection) -> void;
    auto connect(const std::string &name, const std::string &address) -> void;
    auto onUp(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void;
    auto onDown(const std::string &name) -> void;
    auto connectionTo(const std::string &name) -> std::shared_ptr<link::Connection>;
    auto handle(const wire::Message &message, const std::shared_ptr<link::Connection> &connection) -> void;
    auto sendState() -> void;
    auto stateMessages() -> std::vector<wire::Message>;

    const std::string requestedAddress_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<RequestLimits> limits_;
    std::shared_ptr<TimelineCollector> timelines_;
    std::shared_ptr<link::Listener> listener_;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::shared_ptr<Peer>> peers_;
    std::set<std::shared_ptr<link::Connection>> accepted_;
    std::size_t tasks_ = 0;
    bool stopping_ = false;
    std::thread acceptor_;
    std::thread sender_;
};

} // namespace jasminewood::router
