#pragma once

// Processor time and memory of one decision against its input: routing, scheduling and admission.

namespace jasminewood::slopes
{

auto measureRoutingDecisions() -> void;
auto measureSchedulingDecisions() -> void;
auto measureAdmissionDecisions() -> void;

} // namespace jasminewood::slopes
