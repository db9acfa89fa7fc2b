#pragma once

// Calls to the key-value service per claim, one at a time and in bursts, against an in-process stand-in.

namespace jasminewood::slopes
{

auto measureClaimCalls() -> void;

} // namespace jasminewood::slopes
