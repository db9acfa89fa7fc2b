#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>

#include "jasminewood/core/result.h"
#include "jasminewood/http/server.h"

// A listening TCP socket.

namespace jasminewood::http::internal
{

// The caller owns the socket.
struct AcceptedConnection
{
    const int socket_ = -1;

    auto operator<=>(const AcceptedConnection &) const = default;
};

// No connection can be accepted at present, for example because the process has no free descriptor.
struct AcceptFailure
{
    // The value of errno.
    const int error_ = 0;

    auto operator<=>(const AcceptFailure &) const = default;
};

// stop() was called.
struct ListenerStopped
{
    auto operator<=>(const ListenerStopped &) const = default;
};

using AcceptResult = std::variant<AcceptedConnection, AcceptFailure, ListenerStopped>;

// Thread-safe.
class Listener
{
public:
    // Binds the address of the options. Fails with step "bind" and peer "ADDRESS:PORT".
    static auto open(const ServerOptions &options) -> Result<std::shared_ptr<Listener>>;

    ~Listener();

    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    // The port on which it listens.
    auto port() const -> std::uint16_t;

    // Waits for the next connection, or until stop().
    auto accept() const -> AcceptResult;

    // Refuses connections from now on, also those that have not been accepted yet. May be called twice.
    auto stop() const -> void;

private:
    Listener(int socket, int stopEvent);

    const int socket_;
    // An eventfd that becomes readable with stop().
    const int stopEvent_;
};

} // namespace jasminewood::http::internal
