#pragma once

#include <functional>
#include <memory>

#include "jasminewood/link/connection.h"

// The accepting side of a connection, run by the connection's own task.
//
//     const auto end = link::serveConnection(connection, {.onMessage_ = handle, .loadReport_ = [&] { return gate.loadReport(); }});

namespace jasminewood::link
{

// All called by the connection's task, one at a time. onConnected_ and loadReport_ may be empty.
struct ServeHandlers
{
    // The Hello of the peer was accepted.
    const std::function<auto(const std::shared_ptr<Connection> &)->void> onConnected_;
    // Every message but Hello; heartbeats are included.
    const std::function<auto(const wire::Message &)->void> onMessage_;
    // The load that goes into each heartbeat.
    const std::function<auto()->wire::LoadReport> loadReport_;
};

// Longest time for the Hello exchange of an accepted connection.
constexpr auto helloTimeout = Milliseconds(500);

// Exchanges Hellos, then receives messages and sends heartbeats until the connection is closed by either side or
// silent. Returns the reason, with the connection closed. Call Connection::close() from any task to end it.
auto serveConnection(const std::shared_ptr<Connection> &connection, const ServeHandlers &handlers) -> Failure;

} // namespace jasminewood::link
