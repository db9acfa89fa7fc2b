#pragma once

// Reads resource usage of a running process from /proc.

namespace jasminewood::testbench::internal
{

// Returns the resident set size (VmRSS); 0 if there is no such process.
auto residentMegabytes(int pid) -> double;

// Returns the user and system CPU time since the process started.
auto processorSeconds(int pid) -> double;

} // namespace jasminewood::testbench::internal
