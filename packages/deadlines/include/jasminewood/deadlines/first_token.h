#pragma once

#include <compare>
#include <cstdint>

#include "jasminewood/core/clock.h"

// Estimates when an engine emits the first output token of a prompt that is sent there now.
//
//     const auto engine = EngineState {.inTimeTokens_ = 9'000, .lateTokens_ = 30'000, .slots_ = 48};
//     const auto wait = estimateFirstToken(engine, 2'000, 25, PrefillScope::InTime);

namespace jasminewood::deadlines
{

// What an engine has to do before a further prompt.
struct EngineState
{
    // Pending prompt tokens of requests that were in time when they were sent, of the same or a more urgent rank.
    const std::uint64_t inTimeTokens_ = 0;
    // Pending prompt tokens of all other requests.
    const std::uint64_t lateTokens_ = 0;
    // Requests that run or wait at the engine.
    const std::uint32_t activeRequests_ = 0;
    const std::uint32_t slots_ = 1;
    // Latency relative to the usual latency; at least 1.
    const double slowness_ = 1;

    auto operator<=>(const EngineState &) const = default;
};

// Which pending prompts an engine prefills before a further one.
enum class PrefillScope : std::uint8_t
{
    // Those in EngineState::inTimeTokens_.
    InTime,
    All,
};

// Cost of each request at the engine: it delays a new one about as much as this many tokens of pending prefill.
constexpr double tokensPerRunningRequest = 20;
// Cost of each request that waits for a slot: it delays a new one by about this many tokens.
constexpr double tokensPerQueuedRequest = 4'000;

// Returns the work before the first output token of a prompt of which so many tokens are not cached, in prompt tokens
// that an engine of usual speed prefills in the same time, without the engine's slowness. Requests that wait for a slot
// are assumed to be in time in the proportion of the pending tokens.
auto tokensBeforeFirstToken(const EngineState &engine, std::uint64_t uncachedTokens, PrefillScope scope) -> double;

// Returns the time until the first output token. tokensPerMillisecond is the prefill rate of an engine of usual speed.
// The result is at most an hour.
auto estimateFirstToken(const EngineState &engine, std::uint64_t uncachedTokens, double tokensPerMillisecond,
    PrefillScope scope) -> Milliseconds;

} // namespace jasminewood::deadlines
