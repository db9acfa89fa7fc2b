#pragma once

#include <memory>
#include <string>
#include <variant>

#include "jasminewood/core/result.h"
#include "jasminewood/wire/messages.h"

// One TCP connection that carries messages, over nng's byte streams. docs/wire-format.md describes the bytes.
//
//     const auto connection = link::Connection::dial("127.0.0.1:7100", ownHello, 500ms);
//     if (connection) {
//         (*connection)->send(wire::Drain {});
//     }

namespace jasminewood::link
{

// Longest time that send() takes. Equal to heartbeatTimeout: a peer that reads nothing for so long is considered
// frozen.
constexpr auto sendTimeout = Milliseconds(1500);

// No complete message arrived within the timeout. The bytes of a partial one are kept for the next call.
struct TimedOut
{
    // True if bytes arrived during the call, which shows that the peer is alive.
    const bool receivedBytes_ = false;

    auto operator<=>(const TimedOut &) const = default;
};

// The connection is closed, and every later call returns the same failure.
struct Closed
{
    const Failure failure_;

    auto operator<=>(const Closed &) const = default;
};

using ReceiveOutcome = std::variant<wire::Message, TimedOut, Closed>;

// An open connection. send() and close() may be called from any thread; receive() and exchangeHello() by one thread at
// a time. Failures have the remote address as peer. The destructor closes the connection; no call may be in progress
// then.
class Connection
{
public:
    // Connects to "IP:PORT" and exchanges Hellos, all within the timeout. Fails with step "dial" or "hello".
    static auto dial(const std::string &address, const wire::Hello &ownHello, Milliseconds timeout)
        -> Result<std::shared_ptr<Connection>>;

    ~Connection();
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    // Exchanges Hellos. The accepting side calls it before any other function, on the connection's own thread.
    // Fails with step "hello" and closes the connection if the peer's Hello does not arrive within the timeout, if
    // another message arrives first or if the peer has another protocol version.
    auto exchangeHello(Milliseconds timeout) -> Status;

    // Sends the whole message, or fails. After a failure with step "send" the connection is closed. A failure with step
    // "encode" means that the message exceeds a limit of the format; nothing was sent and the connection stays open.
    auto send(const wire::Message &message) -> Status;

    // Waits for the next message. Bytes that cannot be decoded close the connection.
    auto receive(Milliseconds timeout) -> ReceiveOutcome;

    // Returns the peer's Hello. Precondition: dial() or exchangeHello() has succeeded.
    auto peer() const -> const wire::Hello &;

    // Returns the peer's "IP:PORT".
    auto remoteAddress() const -> const std::string &;

    // Closes the connection at once and wakes blocked calls. Repeated calls have no effect.
    auto close() -> void;

private:
    friend class Listener;
    struct State;

    explicit Connection(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::link
