#pragma once

#include <cstdint>

#include "jasminewood/core/result.h"

// Functions shared by the main programs of the fake services.

namespace jasminewood::testbench::internal
{

// Blocks SIGTERM and SIGINT in this thread and in threads that it starts later, so that waitForTermination() receives
// them.
auto blockTermination() -> void;

// Prints "listening PORT" and waits for SIGTERM or SIGINT.
auto waitForTermination(std::uint16_t port) -> void;

// Prints the failure to standard error and returns the exit status for main().
auto reportFailure(const Failure &failure) -> int;

} // namespace jasminewood::testbench::internal
