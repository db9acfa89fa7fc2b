#pragma once

#include <chrono>

// Time types shared by all packages. Decision code never reads a clock; it receives a TimePoint as an argument.
//
//     auto deadline = now + 250ms;

namespace jasminewood
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

} // namespace jasminewood
