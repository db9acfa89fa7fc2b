#pragma once

// Measures the calls to the key-value service per claim, sequentially and in bursts, against an in-process fake.

namespace jasminewood::slopes
{

auto measureClaimCalls() -> void;

} // namespace jasminewood::slopes
