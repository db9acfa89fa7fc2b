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

auto totalsOf(const wire::AccountUsageReport &usage) -> admission::UsageTotals
{
    auto totals = admission::UsageTotals();
    for (const auto &[account, used] : usage.accounts_) {
        totals.emplace(account, admission::AccountUsage {.requests_ = used.requests_, .work_ = used.work_});
    }
    return totals;
}

auto suspicionsMessage(const std::vector<routing::CrashReport> &reports) -> wire::CrashReports
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

auto reportsOf(const wire::CrashReports &suspicions) -> std::vector<routing::CrashReport>
{
    auto reports = std::vector<routing::CrashReport>();
    for (const auto &report : suspicions.reports_) {
        reports.push_back(routing::CrashReport {.fingerprint_ = report.fingerprint_,
            .crashId_ = report.crashId_,
            .age_ = report.age_,
            .cleared_ = report.cleared_});
    }
    return reports;
}

} // namespace

RouterPeers::RouterPeers(std::string boundAddress)
    : requestedAddress_(std::move(boundAddress))
{
}

auto RouterPeers::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifests_)) {
        return failure;
    }
    if (const auto failure = services.require("limits", limits_)) {
        return failure;
    }
    if (const auto failure = services.require("timelines", timelines_)) {
        return failure;
    }
    timelines_->addBroadcaster([this](const wire::Message &message) -> std::size_t {
        return broadcast(message);
    });
    const auto listener = link::Listener::listen(requestedAddress_, node::createHello(environment_->identity()));
    if (!listener) {
        return listener.failure();
    }
    listener_ = *listener;
    environment_->log().info("listening for routers", {{"address", listener_->address()}});
    manifests_->subscribe([this](const node::ManifestPointer &manifest) -> void {
        broadcast(wire::ManifestUpdate {.revision_ = manifest->revision_, .text_ = manifest->text_});
    });
    // A caller who is told of a crash may repeat the request over another router at once.
    limits_->setCrashHandler([this]() -> void {
        broadcast(suspicionsMessage(limits_->crashReports()));
    });
    acceptor_ = std::thread([this]() -> void {
        acceptRouters();
    });
    sender_ = std::thread([this]() -> void {
        sendState();
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
        for (const auto &connection : accepted_) {
            connection->close();
        }
        changed_.notify_all();
    }
    for (const auto &[name, peer] : peers) {
        peer->link_->stop();
    }
    acceptor_.join();
    sender_.join();
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [this]() -> bool {
        return tasks_ == 0;
    });
}

auto RouterPeers::boundAddress() const -> const std::string &
{
    return listener_->address();
}

auto RouterPeers::updateRouters(const std::vector<membership::VmEntry> &routers) -> void
{
    limits_->setRouterCount(static_cast<std::uint32_t>(routers.size()));
    auto added = std::map<std::string, std::string>();
    {
        const auto lock = std::lock_guard(mutex_);
        for (const auto &router : routers) {
            const auto own = router.name_ == environment_->identity().node_.name_;
            const auto known = peers_.find(router.name_);
            const auto moved = known != peers_.end() && known->second->address_ != router.address_;
            if (!own && !stopping_ && (known == peers_.end() || moved)) {
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
                                onUp(name, connection);
                            },
            .onMessage_ = [this, name](const wire::Message &message) -> void {
                handle(message, connectionTo(name));
            },
            .onDisconnected_ = [this, name](const Failure & /*failure*/, link::Reachability /*reachability*/) -> void {
                onDown(name);
            }});
    const auto lock = std::lock_guard(mutex_);
    peer->link_ = std::move(link);
}

auto RouterPeers::onUp(const std::string &name, const std::shared_ptr<link::Connection> &connection) -> void
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

auto RouterPeers::onDown(const std::string &name) -> void
{
    const auto lock = std::lock_guard(mutex_);
    peers_[name]->connection_.reset();
}

auto RouterPeers::connectionTo(const std::string &name) -> std::shared_ptr<link::Connection>
{
    const auto lock = std::lock_guard(mutex_);
    return peers_[name]->connection_;
}

auto RouterPeers::acceptRouters() -> void
{
    while (const auto accepted = listener_->accept()) {
        const auto lock = std::lock_guard(mutex_);
        if (stopping_) {
            return;
        }
        ++tasks_;
        std::thread([this, connection = *accepted]() -> void {
            serve(connection);
        }).detach();
    }
}

auto RouterPeers::serve(const std::shared_ptr<link::Connection> &connection) -> void
{
    static_cast<void>(link::serveConnection(connection,
        link::ServeHandlers {.onConnected_ = [this](const std::shared_ptr<link::Connection> &opened) -> void {
                                 const auto lock = std::lock_guard(mutex_);
                                 stopping_ ? opened->close() : void(accepted_.insert(opened));
                             },
            .onMessage_ = [this, &connection](const wire::Message &message) -> void {
                handle(message, connection);
            }}));
    const auto lock = std::lock_guard(mutex_);
    accepted_.erase(connection);
    --tasks_;
    changed_.notify_all();
}

auto RouterPeers::handle(const wire::Message &message, const std::shared_ptr<link::Connection> &connection) -> void
{
    std::visit(Overloaded {[&](const wire::AccountUsageReport &usage) -> void {
                               limits_->mergeUsage(usage.router_, totalsOf(usage));
                           },
                   [&](const wire::CrashReports &suspicions) -> void {
                       limits_->mergeCrashReports(reportsOf(suspicions));
                   },
                   [&](const wire::ManifestUpdate &update) -> void {
                       manifests_->update(update.revision_, update.text_);
                   },
                   [](const wire::Heartbeat & /*heartbeat*/) -> void {},
                   [&](const wire::TimelineQuery &query) -> void {
                       if (connection) {
                           static_cast<void>(connection->send(timelines_->localReply(query)));
                       }
                   },
                   [&](const wire::TimelineReply &reply) -> void {
                       timelines_->onReply(reply);
                   },
                   [&](const auto & /*other*/) -> void {
                       environment_->log().warning(
                           "a router sent a message that only agents and routers of agents send");
                   }},
        message);
}

auto RouterPeers::stateMessages() -> std::vector<wire::Message>
{
    auto messages = std::vector<wire::Message>();
    if (const auto manifest = manifests_->current()) {
        messages.emplace_back(wire::ManifestUpdate {.revision_ = manifest->revision_, .text_ = manifest->text_});
    }
    messages.emplace_back(usageMessage(environment_->identity().node_, limits_->usageTotals()));
    messages.emplace_back(suspicionsMessage(limits_->crashReports()));
    return messages;
}

auto RouterPeers::sendState() -> void
{
    while (true) {
        {
            auto lock = std::unique_lock(mutex_);
            changed_.wait_for(lock, admission::usageSendInterval, [this]() -> bool {
                return stopping_;
            });
            if (stopping_) {
                return;
            }
        }
        const auto usage = limits_->usageTotals();
        const auto reports = limits_->crashReports();
        if (!usage.empty()) {
            broadcast(usageMessage(environment_->identity().node_, usage));
        }
        if (!reports.empty()) {
            broadcast(suspicionsMessage(reports));
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
