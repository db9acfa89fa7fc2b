#pragma once

#include "jasminewood/core/clock.h"

// Whether the peer of a connection has closed it.

namespace jasminewood::http
{

// Returns whether the peer of the socket closed the connection, or reception was shut down, also if there is unread
// data.
auto hasHungUp(int socket) -> bool;

// Blocks until the given time, or until the peer of the socket has closed the connection. Returns whether it has. Data
// that the peer sends does not end the wait. Without a socket (a negative descriptor) it only waits.
auto awaitHangUp(int socket, TimePoint until) -> bool;

} // namespace jasminewood::http
