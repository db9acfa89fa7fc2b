#include "jasminewood/router/router_peers.h"

#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/link/serve_connection.h"

namespace jasminewood::router
{

namespace
{

auto usageMessage(const NodeId &router, const admission::UsageTotals &totals) -> wire::AccountUsageReport
{
    auto accounts = std::map<std::string, wire::AccountUsage>();
    for (const auto &[account, total] : totals) {
        accounts.emplace(account, wire::AccountUsage {.requests_ = total.requests_, .work_ = total.work_});
    }
    return wire::AccountUsageReport {.router_ = router, .accounts_ = std::move(accounts)};
}

auto usageTotalsFrom(const wire::AccountUsageReport &usage) -> admission::UsageTotals
{
    auto totals = admission::UsageTotals();
    for (const auto &[account, used] : usage.accounts_) {
        totals.emplace(account, admission::AccountUsage {.requests_ = used.requests_, .work_ = used.work_});
    }
    return totals;
}

auto crashReportsMessage(const std::vector<routing::CrashReport> &reports) -> wire::CrashReports
{
    auto sent = std::vector<wire::CrashReport>();
    for (const auto &report : reports) {
        sent.push_back(wire::CrashReport {.fingerprint_ = report.fingerprint_,
            .crashId_ = report.crashId_,
            .age_ = report.age_,
            .cleared_ = report.cleared_});
    }
    return wire::CrashReports {.reports_ = std::move(sent)};
}

auto crashReportsFrom(const wire::CrashReports &message) -> std::vector<routing::CrashReport>
{
    auto reports = std::vector<routing::CrashReport>();
    for (const auto &report : message.reports_) {
        reports.push_back(routing::CrashReport {.fingerprint_ = report.fingerprint_,
            .crashId_ = report.crashId_,
            .age_ = report.age_,
            .cleared_ = report.cleared_});
    }
    return reports;
}

} // namespace

RouterPeers::RouterPeers(std::string requestedAddress)
    : requestedAddress_(std::move(requestedAddress))
{
}

auto RouterPeers::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("limits", requestLimits_)) {
        return failure;
    }
    if (const auto failure = services.require("timelines", timelineCollector_)) {
        return failure;
    }
    timelineCollector_->addBroadcaster([this](const wire::Message &message) -> std::size_t {
        return broadcast(message);
    });
    const auto listener = link::Listener::listen(requestedAddress_, node::createHello(environment_->identity()));
    if (!listener) {
        return listener.failure();
    }
    listener_ = *listener;
    environment_->log().info("listening for routers", {{"address", listener_->address()}});
    manifestStore_->subscribe([this](const node::ManifestPointer &manifest) -> void {
        broadcast(wire::ManifestUpdate {.revision_ = manifest->revision_, .text_ = manifest->text_});
    });
    // A caller whose request crashed an upstream may retry it immediately through another router.
    requestLimits_->setCrashHandler([this]() -> void {
        broadcast(crashReportsMessage(requestLimits_->crashReports()));
    });
    acceptThread_ = std::thread([this]() -> void {
        acceptConnections();
    });
    stateThread_ = std::thread([this]() -> void {
        sendStatePeriodically();
    });
    return std::nullopt;
}

auto RouterPeers::stop() -> void
{
    if (!listener_) {
        return;
    }
    listener_->close();
    auto peers = std::map<std::string, std::shared_ptr<Peer>>();
    {
        const auto lock = std::lock_guard(mutex_);
        stopping_ = true;
        peers = peers_;
        for (const auto &connection : acceptedConnections_) {
            connection->close();
        }
        stateChanged_.notify_all();
    }
    for (const auto &[name, peer] : peers) {
        peer->link_->stop();
    }
    acceptThread_.join();
    stateThread_.join();
    auto lock = std::unique_lock(mutex_);
    stateChanged_.wait(lock, [this]() -> bool {
        return connectionThreads_ == 0;
    });
}

auto RouterPeers::boundAddress() const -> const std::string &
{
    return listener_->address();
}

auto RouterPeers::updateRouters(const std::vector<membership::VmEntry> &routers) -> void
{
    requestLimits_->setRouterCount(static_cast<std::uint32_t>(routers.size()));
    auto added = std::map<std::string, std::string>();
    {
        const auto lock = std::lock_guard(mutex_);
        for (const auto &router : routers) {
            const auto isThisRouter = router.name_ == environment_->identity().node_.name_;
            const auto known = peers_.find(router.name_);
            const auto addressChanged = known != peers_.end() && known->second->address_ != router.address_;
            if (!isThisRouter && !stopping_ && (known == peers_.end() || addressChanged)) {
                added.emplace(router.name_, router.address_);
            }
        }
    }
    for (const auto &[name, address] : added) {
        connect(name, address);
    }
}

auto RouterPeers::connect(const std::string &name, const std::string &address) -> void
{
    auto peer = std::make_shared<Peer>();
    peer->address_ = address;
    auto replaced = std::shared_ptr<Peer>();
    {
        const auto lock = std::lock_guard(mutex_);
        replaced = std::exchange(peers_[name], peer);
    }
    if (replaced) {
        replaced->link_->stop();
    }
    auto link = std::make_unique<link::PeerLink>(address, node::createHello(environment_->identity()),
        link::PeerHandlers {.onConnected_ = [this, name](const std::shared_ptr<link::Connection> &connection) -> void {
                                onConnected(name, connection);
                            },
            .onMessage_ = [this, name](const wire::Message &message) -> void {
                onMessage(message, connectionTo(name));
            },
            .onDisconnected_ = [this, name](const Failure & /*failure*/, link::Reachability /*reachability*/) -> void {
                onDisconnected(name);
            }});
    const auto lock = std::lock_guard(mutex_);
    peer->link_ = std::move(link);
}

auto RouterPeers::onConnected(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        peers_[name]->connection_ = connection;
    }
    environment_->log().info("router connected", {{"peer", toString(connection->peer().node_)}});
    for (const auto &message : stateMessages()) {
        static_cast<void>(connection->send(message));
    }
}

auto RouterPeers::onDisconnected(const std::string &name) -> void
{
    const auto lock = std::lock_guard(mutex_);
    peers_[name]->connection_.reset();
}

auto RouterPeers::connectionTo(const std::string &name) -> std::shared_ptr<link::Connection>
{
    const auto lock = std::lock_guard(mutex_);
    return peers_[name]->connection_;
}

auto RouterPeers::acceptConnections() -> void
{
    while (const auto accepted = listener_->accept()) {
        const auto lock = std::lock_guard(mutex_);
        if (stopping_) {
            return;
        }
        ++connectionThreads_;
        std::thread([this, connection = *accepted]() -> void {
            serveConnection(connection);
        }).detach();
    }
}

auto RouterPeers::serveConnection(const std::shared_ptr<link::Connection> &connection) -> void
{
    static_cast<void>(link::serveConnection(connection,
        link::ServeHandlers {.onConnected_ = [this](const std::shared_ptr<link::Connection> &opened) -> void {
                                 const auto lock = std::lock_guard(mutex_);
                                 stopping_ ? opened->close() : void(acceptedConnections_.insert(opened));
                             },
            .onMessage_ = [this, &connection](const wire::Message &message) -> void {
                onMessage(message, connection);
            }}));
    const auto lock = std::lock_guard(mutex_);
    acceptedConnections_.erase(connection);
    --connectionThreads_;
    stateChanged_.notify_all();
}

auto RouterPeers::onMessage(const wire::Message &message, const std::shared_ptr<link::Connection> &connection) -> void
{
    std::visit(Overloaded {[&](const wire::AccountUsageReport &usage) -> void {
                               requestLimits_->mergeUsage(usage.router_, usageTotalsFrom(usage));
                           },
                   [&](const wire::CrashReports &reports) -> void {
                       requestLimits_->mergeCrashReports(crashReportsFrom(reports));
                   },
                   [&](const wire::ManifestUpdate &update) -> void {
                       manifestStore_->update(update.revision_, update.text_);
                   },
                   [](const wire::Heartbeat & /*heartbeat*/) -> void {},
                   [&](const wire::TimelineQuery &query) -> void {
                       if (connection) {
                           static_cast<void>(connection->send(timelineCollector_->localReply(query)));
                       }
                   },
                   [&](const wire::TimelineReply &reply) -> void {
                       timelineCollector_->onReply(reply);
                   },
                   [&](const auto & /*other*/) -> void {
                       environment_->log().warning("unexpected message type from a router");
                   }},
        message);
}

auto RouterPeers::stateMessages() -> std::vector<wire::Message>
{
    auto messages = std::vector<wire::Message>();
    if (const auto manifest = manifestStore_->current()) {
        messages.emplace_back(wire::ManifestUpdate {.revision_ = manifest->revision_, .text_ = manifest->text_});
    }
    messages.emplace_back(usageMessage(environment_->identity().node_, requestLimits_->usageTotals()));
    messages.emplace_back(crashReportsMessage(requestLimits_->crashReports()));
    return messages;
}

auto RouterPeers::sendStatePeriodically() -> void
{
    while (true) {
        {
            auto lock = std::unique_lock(mutex_);
            stateChanged_.wait_for(lock, admission::usageSendInterval, [this]() -> bool {
                return stopping_;
            });
            if (stopping_) {
                return;
            }
        }
        const auto usage = requestLimits_->usageTotals();
        const auto reports = requestLimits_->crashReports();
        if (!usage.empty()) {
            broadcast(usageMessage(environment_->identity().node_, usage));
        }
        if (!reports.empty()) {
            broadcast(crashReportsMessage(reports));
        }
    }
}

auto RouterPeers::broadcast(const wire::Message &message) -> std::size_t
{
    auto connections = std::vector<std::shared_ptr<link::Connection>>();
    {
        const auto lock = std::lock_guard(mutex_);
        for (const auto &[name, peer] : peers_) {
            if (peer->connection_) {
                connections.push_back(peer->connection_);
            }
        }
    }
    auto sent = std::size_t(0);
    for (const auto &connection : connections) {
        sent += connection->send(message) ? 0 : 1;
    }
    return sent;
}

} // namespace jasminewood::router
