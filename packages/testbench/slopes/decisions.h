#pragma once

// Measures CPU time and memory of routing, scheduling and admission decisions as a function of the size of their input.

namespace jasminewood::slopes
{

auto measureRoutingDecisions() -> void;
auto measureSchedulingDecisions() -> void;
auto measureAdmissionDecisions() -> void;

} // namespace jasminewood::slopes
