#pragma once

// What the kernel reports of a running process in /proc.

namespace jasminewood::testbench::internal
{

// VmRSS; 0 if there is no such process.
auto residentMegabytes(int pid) -> double;

// User and system time since its start.
auto processorSeconds(int pid) -> double;

} // namespace jasminewood::testbench::internal
