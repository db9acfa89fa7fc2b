#pragma once

#include "jasminewood/core/clock.h"

// Waits for the peer of a connection to close it.

namespace jasminewood::http
{

// Blocks until the given time, or until the peer of the socket has closed the connection. Returns whether it has. Data
// that the peer sends does not end the wait. Without a socket (a negative descriptor) it only waits.
auto awaitHangUp(int socket, TimePoint until) -> bool;

} // namespace jasminewood::http
