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
    State(
        const std::string &address, const wire::Hello &ownHello, const PeerHandlers &handlers, Milliseconds dialTimeout)
        : address_(address)
        , ownHello_(ownHello)
        , handlers_(handlers)
        , dialTimeout_(dialTimeout)
    {
    }

    // Runs on the link's thread until stop().
    auto run() -> void;

    // Calls onDisconnected_ with the reachability of the peer if a connection was lost, unless the peer was already
    // reported unreachable.
    auto reportLoss(const Connection &replacement) -> void;

    // Calls onDisconnected_ unless the peer was already reported unreachable.
    auto reportUnreachable(const Failure &failure) -> void;

    // Sets the connection that send() uses; returns false if the link has been stopped.
    auto setConnection(const std::shared_ptr<Connection> &connection) -> bool;

    auto currentConnection() -> std::shared_ptr<Connection>;

    // Waits until the delay has passed or stop() is called; returns whether the link is stopped.
    auto waitForStop(Milliseconds delay) -> bool;

    auto stop() -> void;

    const std::string address_;
    const wire::Hello ownHello_;
    const PeerHandlers handlers_;
    const Milliseconds dialTimeout_;

    // Used only by the link's thread.
    std::optional<Failure> lossReason_;
    std::optional<NodeId> lastPeerNode_;
    bool reportedUnreachable_ = false;

    // Guards the members up to connection_.
    std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopped_ = false;
    std::shared_ptr<Connection> connection_;

    // Serialises calls of thread_.join().
    std::mutex joinMutex_;
    std::thread thread_;
};

auto PeerLink::State::run() -> void
{
    auto backoff = Backoff(std::random_device()());
    auto delay = Milliseconds(0);
    while (!waitForStop(delay)) {
        const auto connection = Connection::dial(address_, ownHello_, dialTimeout_);
        if (!connection) {
            reportUnreachable(connection.failure());
            delay = backoff.nextDelay();
            continue;
        }
        // The loss is reported while send() still fails, so that nothing sent on the new connection is treated as lost.
        reportLoss(**connection);
        if (!setConnection(*connection)) {
            return;
        }
        const auto openedAt = Clock::now();
        handlers_.onConnected_(*connection);
        lossReason_.emplace(internal::runConnection(**connection, handlers_.onMessage_, nullptr));
        setConnection(nullptr);
        // A peer that accepts and then closes at once must not be dialled in a tight loop.
        const auto wasStable = Clock::now() - openedAt >= heartbeatTimeout;
        if (wasStable) {
            backoff.reset();
        }
        delay = wasStable ? Milliseconds(0) : backoff.nextDelay();
    }
}

auto PeerLink::State::reportLoss(const Connection &replacement) -> void
{
    const auto &node = replacement.peer().node_;
    if (lossReason_ && !reportedUnreachable_) {
        handlers_.onDisconnected_(
            *lossReason_, lastPeerNode_ == node ? Reachability::Reconnected : Reachability::Restarted);
    }
    lossReason_.reset();
    reportedUnreachable_ = false;
    lastPeerNode_.emplace(node);
}

auto PeerLink::State::reportUnreachable(const Failure &failure) -> void
{
    if (!reportedUnreachable_) {
        reportedUnreachable_ = true;
        handlers_.onDisconnected_(failure, Reachability::Unreachable);
    }
}

auto PeerLink::State::setConnection(const std::shared_ptr<Connection> &connection) -> bool
{
    const auto lock = std::lock_guard(mutex_);
    connection_ = connection;
    return !stopped_;
}

auto PeerLink::State::currentConnection() -> std::shared_ptr<Connection>
{
    const auto lock = std::lock_guard(mutex_);
    return connection_;
}

auto PeerLink::State::waitForStop(Milliseconds delay) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return stopCondition_.wait_for(lock, delay, [this] {
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
    stopCondition_.notify_all();
    const auto lock = std::lock_guard(joinMutex_);
    if (thread_.joinable()) {
        thread_.join();
    }
}

PeerLink::PeerLink(
    const std::string &address, const wire::Hello &ownHello, const PeerHandlers &handlers, Milliseconds dialTimeout)
    : state_(std::make_unique<State>(address, ownHello, handlers, dialTimeout))
{
    state_->thread_ = std::thread([state = state_.get()] {
        state->run();
    });
}

PeerLink::~PeerLink()
{
    stop();
}

auto PeerLink::send(const wire::Message &message) -> Status
{
    const auto connection = state_->currentConnection();
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
