#include "jasminewood/link/peer_link.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include "connection_loop.h"
#include "jasminewood/link/backoff.h"
#include "jasminewood/link/heartbeat.h"

namespace jasminewood::link
{

struct PeerLink::State
{
    State(const std::string &address, const wire::Hello &own, const PeerHandlers &handlers, Milliseconds dialTimeout)
        : address_(address)
        , own_(own)
        , handlers_(handlers)
        , dialTimeout_(dialTimeout)
    {
    }

    // The link's task.
    auto run() -> void;

    // Reports how the peer stands after the loss, if there was one.
    auto reportLoss(const Connection &replacement) -> void;

    auto reportUnreachable(const Failure &failure) -> void;

    // Makes the connection current; returns false if the link has been stopped meanwhile.
    auto publish(const std::shared_ptr<Connection> &connection) -> bool;

    auto current() -> std::shared_ptr<Connection>;

    // Waits for the pause or for stop(); returns whether the link is stopped.
    auto stoppedAfter(Milliseconds pause) -> bool;

    auto stop() -> void;

    const std::string address_;
    const wire::Hello own_;
    const PeerHandlers handlers_;
    const Milliseconds dialTimeout_;

    // Used by the link's task only.
    std::optional<Failure> lost_;
    std::optional<NodeId> lastPeer_;
    bool unreachable_ = false;

    std::mutex mutex_;
    std::condition_variable stopping_;
    bool stopped_ = false;
    std::shared_ptr<Connection> connection_;

    std::mutex joining_;
    std::thread task_;
};

auto PeerLink::State::run() -> void
{
    auto backoff = Backoff(std::random_device()());
    auto pause = Milliseconds(0);
    while (!stoppedAfter(pause)) {
        const auto connection = Connection::dial(address_, own_, dialTimeout_);
        if (!connection) {
            reportUnreachable(connection.failure());
            pause = backoff.nextDelay();
            continue;
        }
        // The loss is reported while send() still fails, so that nothing sent on the new connection counts as lost.
        reportLoss(**connection);
        if (!publish(*connection)) {
            return;
        }
        const auto opened = Clock::now();
        handlers_.onConnected_(*connection);
        lost_.emplace(internal::runConnection(**connection, handlers_.onMessage_, nullptr));
        publish(nullptr);
        // A peer that accepts and then closes at once must not be dialled in a tight loop.
        const auto lasted = Clock::now() - opened >= heartbeatTimeout;
        if (lasted) {
            backoff.reset();
        }
        pause = lasted ? Milliseconds(0) : backoff.nextDelay();
    }
}

auto PeerLink::State::reportLoss(const Connection &replacement) -> void
{
    const auto &node = replacement.peer().node_;
    if (lost_ && !unreachable_) {
        handlers_.onDisconnected_(*lost_, lastPeer_ == node ? Reachability::Reconnected : Reachability::Restarted);
    }
    lost_.reset();
    unreachable_ = false;
    lastPeer_.emplace(node);
}

auto PeerLink::State::reportUnreachable(const Failure &failure) -> void
{
    if (!unreachable_) {
        unreachable_ = true;
        handlers_.onDisconnected_(failure, Reachability::Unreachable);
    }
}

auto PeerLink::State::publish(const std::shared_ptr<Connection> &connection) -> bool
{
    const auto lock = std::lock_guard(mutex_);
    connection_ = connection;
    return !stopped_;
}

auto PeerLink::State::current() -> std::shared_ptr<Connection>
{
    const auto lock = std::lock_guard(mutex_);
    return connection_;
}

auto PeerLink::State::stoppedAfter(Milliseconds pause) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return stopping_.wait_for(lock, pause, [this] {
        return stopped_;
    });
}

auto PeerLink::State::stop() -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        stopped_ = true;
        if (connection_) {
            connection_->close();
        }
    }
    stopping_.notify_all();
    const auto lock = std::lock_guard(joining_);
    if (task_.joinable()) {
        task_.join();
    }
}

PeerLink::PeerLink(
    const std::string &address, const wire::Hello &own, const PeerHandlers &handlers, Milliseconds dialTimeout)
    : state_(std::make_unique<State>(address, own, handlers, dialTimeout))
{
    state_->task_ = std::thread([state = state_.get()] {
        state->run();
    });
}

PeerLink::~PeerLink()
{
    stop();
}

auto PeerLink::send(const wire::Message &message) -> Status
{
    const auto connection = state_->current();
    if (!connection) {
        return Failure {.step_ = "send", .peer_ = state_->address_, .reason_ = "not connected"};
    }
    return connection->send(message);
}

auto PeerLink::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::link
