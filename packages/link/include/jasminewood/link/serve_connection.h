#pragma once

#include <functional>
#include <memory>

#include "jasminewood/link/connection.h"

// The accepting side of a connection, run on the connection's own thread.
//
//     const auto failure = link::serveConnection(
//         connection, {.onMessage_ = handle, .loadReport_ = [&] { return gate.loadReport(); }});

namespace jasminewood::link
{

// All are called on the connection's thread, one at a time. onConnected_ and loadReport_ may be empty.
struct ServeHandlers
{
    // Called when the peer's Hello has been accepted.
    const std::function<auto(const std::shared_ptr<Connection> &)->void> onConnected_;
    // Called for every message except Hello; heartbeats are included.
    const std::function<auto(const wire::Message &)->void> onMessage_;
    // Returns the load to send in each heartbeat. If empty, heartbeats carry no load.
    const std::function<auto()->wire::LoadReport> loadReport_;
};

// Longest time for the Hello exchange of an accepted connection.
constexpr auto helloTimeout = Milliseconds(500);

// Exchanges Hellos, then receives messages and sends heartbeats until either side closes the connection or nothing is
// received for heartbeatTimeout. Closes the connection and returns the reason. To end it, call Connection::close() from
// any thread.
auto serveConnection(const std::shared_ptr<Connection> &connection, const ServeHandlers &handlers) -> Failure;

} // namespace jasminewood::link
