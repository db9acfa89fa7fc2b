#pragma once

// Orderly end of a program on SIGTERM or SIGINT.
//
//     node::blockStopSignals();      // first in main(), before any thread starts
//     ...
//     node::waitForStopSignal();

namespace jasminewood::node
{

// Blocks the stop signals in this thread and in all that it starts, and ignores SIGPIPE.
auto blockStopSignals() -> void;

// Waits for a stop signal and returns its number.
auto waitForStopSignal() -> int;

} // namespace jasminewood::node
