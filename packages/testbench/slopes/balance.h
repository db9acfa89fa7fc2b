#pragma once

// What routers lose by seeing only a subset of the replicas: balls into bins with the weighted policy's two draws.

namespace jasminewood::slopes
{

auto measureBalance() -> void;
auto measureChurn() -> void;

} // namespace jasminewood::slopes
