#pragma once

#include <cstdint>
#include <string>

#include "jasminewood/core/clock.h"

// Finds out whether a process listens on an address, without sending a request.

namespace jasminewood::http
{

enum class ListenerState : std::uint8_t
{
    Listening,
    // The host is up, and no process listens on the port.
    Refused,
    // No answer within the timeout, or the address is malformed.
    Unknown,
};

// Opens a connection to "IP:PORT" and closes it at once.
auto probeListener(const std::string &address, Milliseconds timeout) -> ListenerState;

} // namespace jasminewood::http
