#pragma once

#include <functional>

#include "jasminewood/link/connection.h"

namespace jasminewood::link::internal
{

using MessageHandler = std::function<auto(const wire::Message &)->void>;
using LoadProvider = std::function<auto()->wire::LoadReport>;

// Receives messages and sends heartbeats on a greeted connection until it is closed or silent, and returns the reason
// with the connection closed. The load provider may be empty.
auto runConnection(Connection &connection, const MessageHandler &onMessage, const LoadProvider &load) -> Failure;

} // namespace jasminewood::link::internal
