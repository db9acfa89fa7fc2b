#pragma once

// Bytes and processor time of control messages, and of checking a manifest.

namespace jasminewood::slopes
{

auto measureHeartbeats() -> void;
auto measureUsageMessages() -> void;
auto measureManifests() -> void;

} // namespace jasminewood::slopes
