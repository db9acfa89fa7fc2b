#pragma once

#include <cstdint>

#include "jasminewood/core/result.h"

// What the programs of the fakes have in common.

namespace jasminewood::testbench::internal
{

// Blocks SIGTERM and SIGINT in this thread and all later ones, so that waitForTermination() receives them.
auto blockTermination() -> void;

// Prints "listening PORT" and waits for SIGTERM or SIGINT.
auto waitForTermination(std::uint16_t port) -> void;

// Prints the failure to standard error and returns the exit status.
auto reportFailure(const Failure &failure) -> int;

} // namespace jasminewood::testbench::internal
