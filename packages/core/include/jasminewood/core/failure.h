#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/clock.h"

// What is known of a request or a step that did not succeed.

namespace jasminewood
{

// Whether a request's work was done. NotRun is a promise: the work did not run and never will. MayHaveRun is the answer
// whenever that is not certain.
enum class RunState : std::uint8_t
{
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns "not_run", "may_have_run" or "ran", the names of the callers' API.
auto toString(RunState state) -> std::string_view;

// Why a step failed, where, and what that means for the request.
//
//     return Failure{.step_ = "dial", .peer_ = "10.0.0.4:7100", .reason_ = "connection refused"};
struct Failure
{
    // The step that failed, for example "dial", "claim" or "dispatch".
    const std::string step_;
    // The process or address at which it failed; empty if it failed in this process.
    const std::string peer_;
    const std::string reason_;
    const RunState runState_ = RunState::NotRun;
    // When a retry may succeed; empty if a retry of the same request is useless.
    const std::optional<Milliseconds> retryAfter_ = std::nullopt;

    auto operator<=>(const Failure &) const = default;
};

// Returns "STEP at PEER: REASON (RUN STATE)".
auto toString(const Failure &failure) -> std::string;

} // namespace jasminewood
