#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminewood/link/connection.h"

// The dialling side of a link that is kept open: one task for one peer.
//
//     auto peer = link::PeerLink("127.0.0.1:7100", own, {
//         .onConnected_ = [](const std::shared_ptr<link::Connection> &connection) { ... },
//         .onMessage_ = [](const wire::Message &message) { ... },
//         .onDisconnected_ = [](const Failure &failure, link::Reachability reachability) { ... },
//     });
//     peer.send(message);

namespace jasminewood::link
{

// Longest time for one dial with its Hello: with heartbeatTimeout it adds up to 2 s.
constexpr auto redialTimeout = Milliseconds(500);

// What is known of the peer after its connection was lost.
enum class Reachability : std::uint8_t
{
    // A new connection to the same incarnation is open: attempts can be attached again.
    Reconnected,
    // A new connection is open, to a successor that knows nothing of earlier attempts.
    Restarted,
    // A new connection could not be opened.
    Unreachable,
};

// All called by the link's task, one at a time. While one runs, nothing is received, so it must not block for long.
// None may call PeerLink::stop().
struct PeerHandlers
{
    // A connection is open; it may be used to send until onDisconnected_.
    const std::function<auto(const std::shared_ptr<Connection> &)->void> onConnected_;
    // Every message but Hello; heartbeats are included because they carry load.
    const std::function<auto(const wire::Message &)->void> onMessage_;
    // The connection was lost, or the first attempts to dial failed. Called once for each loss, after the first new
    // dial has shown how the peer stands and before onConnected_ of the new connection.
    const std::function<auto(const Failure &, Reachability)->void> onDisconnected_;
};

// Keeps a connection to one peer open until stop(). A connection that fails or is silent for heartbeatTimeout is closed and
// dialled anew at once, which takes at most the dial timeout; after that, and after a connection that lasted less than
// heartbeatTimeout, dialling waits with Backoff. Thread-safe.
class PeerLink
{
public:
    // Starts the task. The destructor stops it.
    PeerLink(const std::string &address, const wire::Hello &own, const PeerHandlers &handlers,
        Milliseconds dialTimeout = redialTimeout);

    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    // Sends on the current connection; fails with step "send" and NotRun if there is none. See Connection::send().
    auto send(const wire::Message &message) -> Status;

    // Ends the task and waits for it, at most for the dial timeout and a running handler. No handler is called
    // afterwards.
    auto stop() -> void;

private:
    struct State;

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::link
