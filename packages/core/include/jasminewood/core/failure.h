#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/clock.h"

// The failure of a request or of one of its steps, and the run state of the request.

namespace jasminewood
{

// Whether a request ran. NotRun guarantees that it did not run and never will. MayHaveRun is used whenever the outcome
// is not certain.
enum class RunState : std::uint8_t
{
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns "not_run", "may_have_run" or "ran", the values that the callers' API uses.
auto toString(RunState state) -> std::string_view;

// Describes which step failed, where and why, and whether the request may have run.
//
//     return Failure{.step_ = "dial", .peer_ = "10.0.0.4:7100", .reason_ = "connection refused"};
struct Failure
{
    // The step that failed, for example "dial", "claim" or "dispatch".
    const std::string step_;
    // The process or address at which the step failed; empty if it failed in this process.
    const std::string peer_;
    const std::string reason_;
    const RunState runState_ = RunState::NotRun;
    // The delay after which a retry may succeed; empty if retrying the same request cannot succeed.
    const std::optional<Milliseconds> retryAfter_ = std::nullopt;

    auto operator<=>(const Failure &) const = default;
};

// Returns "STEP at PEER: REASON (RUN STATE)".
auto toString(const Failure &failure) -> std::string;

} // namespace jasminewood
