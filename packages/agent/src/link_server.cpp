#include "jasminewood/agent/link_server.h"

#include <utility>
#include <vector>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/link/serve_connection.h"

namespace jasminewood::agent
{

LinkServer::LinkServer(std::string address)
    : listenAddress_(std::move(address))
{
}

auto LinkServer::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("gate", gate_)) {
        return failure;
    }
    const auto listener = link::Listener::listen(listenAddress_, node::createHello(environment_->identity()));
    if (!listener) {
        return listener.failure();
    }
    listener_ = *listener;
    environment_->log().info("listening for routers", {{"address", listener_->address()}});
    acceptThread_ = std::thread([this]() -> void {
        acceptConnections();
    });
    loadReportThread_ = std::thread([this]() -> void {
        reportLoadChanges();
    });
    return std::nullopt;
}

auto LinkServer::stop() -> void
{
    if (!listener_) {
        return;
    }
    listener_->close();
    {
        const auto lock = std::lock_guard(mutex_);
        stopping_ = true;
        for (const auto &router : connections_) {
            router->close();
        }
        stateChanged_.notify_all();
    }
    gate_->wakeLoadWaiters();
    acceptThread_.join();
    loadReportThread_.join();
    auto lock = std::unique_lock(mutex_);
    stateChanged_.wait(lock, [this]() -> bool {
        return connectionThreads_ == 0;
    });
}

auto LinkServer::announceLeaving() -> void
{
    broadcast(wire::Leaving {});
}

auto LinkServer::address() const -> const std::string &
{
    return listener_->address();
}

auto LinkServer::acceptConnections() -> void
{
    while (const auto accepted = listener_->accept()) {
        const auto lock = std::lock_guard(mutex_);
        if (stopping_) {
            return;
        }
        ++connectionThreads_;
        std::thread([this, router = *accepted]() -> void {
            serveRouter(router);
        }).detach();
    }
}

auto LinkServer::serveRouter(const RouterConnection &router) -> void
{
    const auto failure = link::serveConnection(router,
        link::ServeHandlers {.onConnected_ = [this](const RouterConnection &connection) -> void {
                                 const auto lock = std::lock_guard(mutex_);
                                 stopping_ ? connection->close() : void(connections_.insert(connection));
                             },
            .onMessage_ = [this, &router](const wire::Message &message) -> void {
                handle(message, router);
            },
            .loadReport_ = [this]() -> wire::LoadReport {
                return gate_->loadReport();
            }});
    environment_->log().info("router disconnected", observe::fieldsOf(failure));
    gate_->handleDisconnect(router);
    const auto lock = std::lock_guard(mutex_);
    connections_.erase(router);
    --connectionThreads_;
    stateChanged_.notify_all();
}

auto LinkServer::handle(const wire::Message &message, const RouterConnection &router) -> void
{
    std::visit(
        Overloaded {[&](const wire::Dispatch &dispatch) -> void {
                        gate_->handleDispatch(dispatch, router);
                    },
            [&](const wire::Cancel &cancel) -> void {
                gate_->handleCancel(cancel, router);
            },
            [&](const wire::Attach &attach) -> void {
                gate_->handleAttach(attach, router);
            },
            [&](const wire::Void &voidMessage) -> void {
                gate_->handleVoid(voidMessage, router);
            },
            [&](const wire::ManifestUpdate &update) -> void {
                manifestStore_->update(update.revision_, update.text_);
            },
            [&](const wire::TimelineQuery &query) -> void {
                sendTimeline(query, router);
            },
            [&](const wire::Drain & /*drain*/) -> void {
                environment_->log().info("draining", {{"peer", router->peer().node_.name_}});
                gate_->leave();
                announceLeaving();
            },
            [](const wire::Heartbeat & /*heartbeat*/) -> void {},
            [&](const auto & /*other*/) -> void {
                environment_->log().warning("unexpected message from a router", {{"peer", router->peer().node_.name_}});
            }},
        message);
}

auto LinkServer::sendTimeline(const wire::TimelineQuery &query, const RouterConnection &router) const -> void
{
    const auto events = query.requestId_.empty() ? environment_->timeline().selectSpan(
                            static_cast<std::int64_t>(query.fromMicros_), static_cast<std::int64_t>(query.toMicros_))
                                                 : environment_->timeline().select(query.requestId_);
    static_cast<void>(
        router->send(wire::TimelineReply {.queryId_ = query.queryId_, .events_ = observe::toJson(events)}));
}

auto LinkServer::reportLoadChanges() -> void
{
    auto reportedVersion = std::uint64_t(0);
    while (true) {
        reportedVersion = gate_->waitForLoadChange(reportedVersion);
        auto lock = std::unique_lock(mutex_);
        if (stopping_) {
            return;
        }
        lock.unlock();
        broadcast(wire::Heartbeat {.load_ = gate_->loadReport()});
        lock.lock();
        stateChanged_.wait_for(lock, minimumLoadReportInterval, [this]() -> bool {
            return stopping_;
        });
    }
}

auto LinkServer::broadcast(const wire::Message &message) -> void
{
    auto connections = std::vector<RouterConnection>();
    {
        const auto lock = std::lock_guard(mutex_);
        connections.assign(connections_.begin(), connections_.end());
    }
    for (const auto &router : connections) {
        static_cast<void>(router->send(message));
    }
}

} // namespace jasminewood::agent
