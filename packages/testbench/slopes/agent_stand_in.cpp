#include "agent_stand_in.h"

#include "jasminewood/link/serve_connection.h"
#include "sample.h"

namespace jasminewood::slopes
{

auto AgentCounters::onConnected() -> void
{
    const auto lock = std::lock_guard(mutex_);
    ++connections_;
    changed_.notify_all();
}

auto AgentCounters::onManifest(std::uint64_t /*revision*/) -> void
{
    const auto lock = std::lock_guard(mutex_);
    ++manifests_;
    changed_.notify_all();
}

auto AgentCounters::awaitConnections(std::size_t count, TimePoint deadline) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return changed_.wait_until(lock, deadline, [&]() -> bool {
        return connections_ >= count;
    });
}

auto AgentCounters::awaitManifests(std::size_t count, TimePoint deadline) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return changed_.wait_until(lock, deadline, [&]() -> bool {
        return manifests_ >= count;
    });
}

auto AgentCounters::manifests() const -> std::size_t
{
    const auto lock = std::lock_guard(mutex_);
    return manifests_;
}

AgentStandIn::AgentStandIn(const std::string &name, std::shared_ptr<AgentCounters> counters)
    : name_(name)
    , counters_(std::move(counters))
{
    const auto listener = link::Listener::listen("127.0.0.1:0",
        wire::Hello {.node_ = {.name_ = name, .incarnation_ = 1},
            .role_ = wire::Role::Agent,
            .dataCentre_ = "lj-a",
            .pool_ = "engines-00"});
    if (!listener) {
        return;
    }
    listener_ = *listener;
    acceptor_ = std::thread([this]() -> void {
        acceptRouters();
    });
}

AgentStandIn::~AgentStandIn()
{
    if (!listener_) {
        return;
    }
    listener_->close();
    acceptor_.join();
    for (const auto &connection : connections_) {
        connection->close();
    }
    for (auto &thread : connectionThreads_) {
        thread.join();
    }
}

auto AgentStandIn::name() const -> const std::string &
{
    return name_;
}

auto AgentStandIn::address() const -> std::string
{
    return listener_ ? listener_->address() : std::string();
}

auto AgentStandIn::acceptRouters() -> void
{
    while (const auto accepted = listener_->accept()) {
        const auto lock = std::lock_guard(mutex_);
        connections_.push_back(*accepted);
        connectionThreads_.emplace_back([this, connection = *accepted]() -> void {
            serve(connection);
        });
    }
}

auto AgentStandIn::serve(const std::shared_ptr<link::Connection> &connection) -> void
{
    static_cast<void>(link::serveConnection(connection,
        link::ServeHandlers {.onConnected_ = [this](const std::shared_ptr<link::Connection> & /*connection*/) -> void {
                                 counters_->onConnected();
                             },
            .onMessage_ = [this](const wire::Message &message) -> void {
                if (const auto *update = std::get_if<wire::ManifestUpdate>(&message)) {
                    counters_->onManifest(update->revision_);
                }
            },
            .loadReport_ = []() -> wire::LoadReport {
                return *loadedHeartbeat().load_;
            }}));
}

} // namespace jasminewood::slopes
