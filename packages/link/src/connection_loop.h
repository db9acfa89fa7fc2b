#pragma once

#include <functional>

#include "jasminewood/link/connection.h"

namespace jasminewood::link::internal
{

using MessageHandler = std::function<auto(const wire::Message &)->void>;
using LoadProvider = std::function<auto()->wire::LoadReport>;

// Receives messages and sends heartbeats until the connection is closed or nothing is received for heartbeatTimeout.
// Closes the connection and returns the reason. The load provider may be empty. Precondition: Hellos were exchanged.
auto runConnection(Connection &connection, const MessageHandler &onMessage, const LoadProvider &load) -> Failure;

} // namespace jasminewood::link::internal
