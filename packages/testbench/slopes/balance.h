#pragma once

// Measures how evenly load is balanced if each router has only a subset of the replicas. The model is balls into bins
// with the two random choices of the weighted policy.

namespace jasminewood::slopes
{

auto measureBalance() -> void;
auto measureChurn() -> void;

} // namespace jasminewood::slopes
