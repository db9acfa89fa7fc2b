#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminewood/link/connection.h"

// The dialling side of a connection that is reopened when it is lost; one thread per peer.
//
//     auto peer = link::PeerLink("127.0.0.1:7100", ownHello, {
//         .onConnected_ = [](const std::shared_ptr<link::Connection> &connection) { ... },
//         .onMessage_ = [](const wire::Message &message) { ... },
//         .onDisconnected_ = [](const Failure &failure, link::Reachability reachability) { ... },
//     });
//     peer.send(message);

namespace jasminewood::link
{

// Longest time to connect and exchange Hellos. Together with heartbeatTimeout it is 2 s, the time allowed for recovery.
constexpr auto redialTimeout = Milliseconds(500);

// The state of the peer after its connection was lost.
enum class Reachability : std::uint8_t
{
    // A new connection to the same incarnation is open: attempts can be attached again.
    Reconnected,
    // A new connection is open, but to a new incarnation, which has no state of earlier attempts.
    Restarted,
    // A new connection could not be opened.
    Unreachable,
};

// All are called on the link's thread, one at a time. While one runs, nothing is received, so it must not block for
// long. None may call PeerLink::stop().
struct PeerHandlers
{
    // A connection was opened; it may be used to send until onDisconnected_ is called.
    const std::function<auto(const std::shared_ptr<Connection> &)->void> onConnected_;
    // Called for every message except Hello; heartbeats are included because they carry load reports.
    const std::function<auto(const wire::Message &)->void> onMessage_;
    // The connection was lost, or the first connection could not be opened. Called once for each loss: after the first
    // new dial has determined the reachability and before onConnected_ of the new connection.
    const std::function<auto(const Failure &, Reachability)->void> onDisconnected_;
};

// Keeps a connection to one peer open until stop(). If a connection fails or receives nothing for heartbeatTimeout, it
// is closed and the peer is dialled again at once, which takes at most the dial timeout. After a failed dial, and after
// a connection that lasted less than heartbeatTimeout, the next dial is delayed by Backoff. Thread-safe.
class PeerLink
{
public:
    // Starts the thread. The destructor stops it.
    PeerLink(const std::string &address, const wire::Hello &ownHello, const PeerHandlers &handlers,
        Milliseconds dialTimeout = redialTimeout);

    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    // Sends on the current connection; fails with step "send" and NotRun if there is none. See Connection::send().
    auto send(const wire::Message &message) -> Status;

    // Stops the thread and waits for it, at most for the dial timeout and a running handler. No handler is called
    // afterwards.
    auto stop() -> void;

private:
    struct State;

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::link
