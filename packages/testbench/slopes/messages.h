#pragma once

// Measures the size and the CPU time of control messages, and the CPU time of checking a manifest.

namespace jasminewood::slopes
{

auto measureHeartbeats() -> void;
auto measureUsageMessages() -> void;
auto measureManifests() -> void;

} // namespace jasminewood::slopes
