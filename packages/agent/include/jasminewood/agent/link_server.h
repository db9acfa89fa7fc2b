#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "jasminewood/agent/gate.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/link/listener.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"

// Service "links" of the agent: accepts connections from routers and passes their messages to the gate.

namespace jasminewood::agent
{

// A load change is reported to the routers immediately, but at most once per interval.
constexpr Milliseconds minimumLoadReportInterval = Milliseconds(20);

// Runs one thread that accepts connections, one for each connection, and one that reports load changes.
class LinkServer
{
public:
    explicit LinkServer(std::string address);

    auto start(const kernel::ServiceRegistry &services) -> Status;

    // Closes all connections and waits for their threads.
    auto stop() -> void;

    // Sends Leaving to all connected routers: this agent accepts no new attempts.
    auto announceLeaving() -> void;

    // Returns the bound "IP:PORT".
    auto address() const -> const std::string &;

private:
    auto acceptConnections() -> void;
    auto serveRouter(const RouterConnection &router) -> void;
    auto handle(const wire::Message &message, const RouterConnection &router) -> void;
    auto sendTimeline(const wire::TimelineQuery &query, const RouterConnection &router) const -> void;
    auto reportLoadChanges() -> void;
    auto broadcast(const wire::Message &message) -> void;

    const std::string listenAddress_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<Gate> gate_;
    std::shared_ptr<link::Listener> listener_;

    std::mutex mutex_;
    std::condition_variable stateChanged_;
    std::set<RouterConnection> connections_;
    std::size_t connectionThreads_ = 0;
    bool stopping_ = false;
    std::thread acceptThread_;
    std::thread loadReportThread_;
};

} // namespace jasminewood::agent
