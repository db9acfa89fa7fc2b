#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"

// A fake inference engine with an OpenAI-compatible HTTP interface that simulates the timing of continuous batching.
//
//     const auto engine = testbench::FakeEngine::start({.slots_ = 4, .timeScale_ = 0.01});
//
// POST /v1/chat/completions (with "stream", "max_tokens", "priority" and "continue_final_message"), GET /v1/models,
// GET /health, GET /metrics, GET /runs (number of runs by X-Request-Id) and POST /fault with one of
//     {"slow": FACTOR, "for_ms": N}      all times are multiplied; without for_ms until the next such command
//     {"crash": true}                    the engine terminates without ending its streams cleanly
//     {"stall": true | false}            only /fault gets a response, while connections stay open
//     {"drop_after_tokens": N, "count": M}   the next M responses (1 if not given) are truncated after N tokens
// max_tokens limits the new tokens of a call, also with continue_final_message, as vLLM does; "[tokens=N]" in the last
// user message is the length of the complete response and takes precedence. "[crash]" in it crashes the engine when
// the request gets a slot.

namespace jasminewood::testbench
{

struct FakeEngineOptions
{
    const std::uint16_t port_ = 0;
    const std::string model_ = "fake-model";
    // The number of sequences that run at the same time.
    const std::size_t slots_ = 8;
    // The time per token is baseTokenMs * (1 + running * batchSlowdown).
    const double baseTokenMs_ = 20.0;
    const double batchSlowdown_ = 0.02;
    // The prefill time of each prompt byte that is not cached.
    const double prefillMicrosecondsPerByte_ = 20.0;
    // The capacity of the prefix cache in blocks of 256 bytes.
    const std::size_t cacheBlocks_ = 4096;
    // Multiplies all times above and the report lag, but not the durations of faults.
    const double timeScale_ = 1.0;
    // The age of the load values in /metrics.
    const Milliseconds reportLag_ = Milliseconds(0);
    // Called upon a crash. By default all connections are closed and new ones are refused, so that a test can run the
    // engine within the process of the test.
    const std::function<auto()->void> onCrash_;
};

// Thread-safe.
class FakeEngine
{
public:
    // Fails as http::Server::start() does.
    static auto start(const FakeEngineOptions &options) -> Result<std::shared_ptr<FakeEngine>>;

    // Stops the engine as stop() does.
    ~FakeEngine();

    FakeEngine(const FakeEngine &) = delete;
    auto operator=(const FakeEngine &) -> FakeEngine & = delete;

    auto port() const -> std::uint16_t;

    // Aborts all responses and closes the port. May be called twice.
    auto stop() -> void;

private:
    class State;

    explicit FakeEngine(std::shared_ptr<State> state);

    const std::shared_ptr<State> state_;
};

} // namespace jasminewood::testbench
