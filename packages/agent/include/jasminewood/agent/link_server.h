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

// Service "links" of the agent: accepts routers and hands their messages to the gate.

namespace jasminewood::agent
{

// Load is told to the routers at once when it changes, but not more often than this.
constexpr Milliseconds minimumLoadReportInterval = Milliseconds(20);

// Runs one task that accepts, one for each connection, and one that tells changes of load.
class LinkServer
{
public:
    explicit LinkServer(std::string address);

    auto start(const kernel::ServiceRegistry &services) -> Status;

    // Closes all connections and waits for their tasks.
    auto stop() -> void;

    // Tells all routers that this agent takes no new work.
    auto announceLeaving() -> void;

    // The bound "IP:PORT".
    auto address() const -> const std::string &;

private:
    auto acceptRouters() -> void;
    auto serve(const RouterConnection &router) -> void;
    auto handle(const wire::Message &message, const RouterConnection &router) -> void;
    auto answerTimeline(const wire::TimelineQuery &query, const RouterConnection &router) const -> void;
    auto tellLoad() -> void;
    auto broadcast(const wire::Message &message) -> void;

    const std::string requestedAddress_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<Gate> gate_;
    std::shared_ptr<link::Listener> listener_;

    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<RouterConnection> routers_;
    std::size_t tasks_ = 0;
    bool stopping_ = false;
    std::thread acceptor_;
    std::thread loadTeller_;
};

} // namespace jasminewood::agent
