#pragma once

#include <functional>

// Orderly end of a program on SIGTERM or SIGINT, and its reaction to SIGHUP.
//
//     node::blockStopSignals();      // first in main(), before any thread starts
//     ...
//     node::waitForStopSignal();

namespace jasminewood::node
{

// Blocks the stop signals and SIGHUP in this thread and in all that it starts, and ignores SIGPIPE.
auto blockStopSignals() -> void;

// Waits for a stop signal and returns its number. At each SIGHUP until then it calls onHangUp on this thread, if given.
auto waitForStopSignal(const std::function<auto()->void> &onHangUp = {}) -> int;

} // namespace jasminewood::node
