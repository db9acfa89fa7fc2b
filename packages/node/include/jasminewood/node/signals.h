#pragma once

#include <functional>

// Signal handling: orderly shutdown on SIGTERM or SIGINT, and a callback on SIGHUP.
//
//     node::blockStopSignals();      // first in main(), before any thread starts
//     ...
//     node::waitForStopSignal();

namespace jasminewood::node
{

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all threads that it starts, and ignores SIGPIPE.
auto blockStopSignals() -> void;

// Waits for SIGTERM or SIGINT and returns the signal number. Calls onHangUp, unless empty, on this thread at each
// SIGHUP until then.
auto waitForStopSignal(const std::function<auto()->void> &onHangUp = {}) -> int;

} // namespace jasminewood::node
