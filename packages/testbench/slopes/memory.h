#pragma once

// Measures the heap memory of the state that a router holds for each account and each replica.

namespace jasminewood::slopes
{

auto measureAccountMemory() -> void;
auto measureReplicaMemory() -> void;

} // namespace jasminewood::slopes
