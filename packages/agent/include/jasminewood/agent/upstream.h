#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/http/client.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/wire/messages.h"

// Service "upstream" of the agent: performs calls to the agent's upstream, measures their latency and detects crashes.
//
//     const auto outcome = upstream->call(dispatch, streamCall, [&](std::string_view text, std::uint32_t tokens) {
//         return forward(text);
//     });

namespace jasminewood::agent
{

// A model engine with an OpenAI-compatible HTTP API, at a base URL such as "http://127.0.0.1:8000".
struct EngineUpstream
{
    const std::string baseUrl_;

    auto operator<=>(const EngineUpstream &) const = default;
};

// A plain HTTP service; its responses are passed through.
struct ServiceUpstream
{
    const std::string baseUrl_;

    auto operator<=>(const ServiceUpstream &) const = default;
};

using UpstreamTarget = std::variant<EngineUpstream, ServiceUpstream>;

// The upstream sent a complete response.
struct CallCompleted
{
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    // The engine's finish reason, for example "stop" or "length"; empty for services.
    const std::string finishReason_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const CallCompleted &) const = default;
};

// The call ended without a complete response.
struct CallFailed
{
    const Failure failure_;
    // Identifies the crash, "AGENT@INCARNATION/COUNT", if the upstream refuses connections after the call failed or its
    // engine process has restarted; otherwise empty. All calls that fail in the same crash have the same value.
    const std::string crashId_;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const CallFailed &) const = default;
};

using CallOutcome = std::variant<CallCompleted, CallFailed>;

// Called for each piece of output as it arrives, with the number of output tokens so far. Returning false cancels the
// call.
using OutputCallback = std::function<auto(std::string_view text, std::uint32_t outputTokens)->bool>;

// Moving averages of the time to first token and of the inter-token latency over this agent's calls; zero before the
// first sample.
struct UpstreamLatencies
{
    const Microseconds timeToFirstToken_ = Microseconds(0);
    const Microseconds interTokenLatency_ = Microseconds(0);

    auto operator<=>(const UpstreamLatencies &) const = default;
};

// Thread-safe; call() runs on the attempt's thread.
class Upstream
{
public:
    Upstream(UpstreamTarget target, Milliseconds connectTimeout, Milliseconds idleTimeout);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Performs the attempt's call. The run state of a failure is NotRun only if no connection to the upstream was
    // established.
    auto call(const wire::Dispatch &dispatch, http::StreamCall &streamCall, const OutputCallback &onOutput)
        -> CallOutcome;

    auto latencies() const -> UpstreamLatencies;

private:
    auto call(const EngineUpstream &engine, const wire::Dispatch &dispatch, http::StreamCall &streamCall,
        const OutputCallback &onOutput) -> CallOutcome;
    auto call(const ServiceUpstream &service, const wire::Dispatch &dispatch, http::StreamCall &streamCall,
        const OutputCallback &onOutput) -> CallOutcome;
    auto makeServiceRequest(const std::string &baseUrl, const wire::Dispatch &dispatch) const -> http::ClientRequest;
    // Returns the outcome of a failed call and counts a crash if it was the cause. startTimeBefore is the start time of
    // the engine process that the call was sent to, if known.
    auto handleFailedCall(const std::string &baseUrl, std::uint64_t crashCountBefore,
        const std::optional<std::string> &startTimeBefore, const Failure &failure, std::uint32_t outputTokens) const
        -> CallFailed;
    // Returns the start time of the engine process; empty if the engine does not report it.
    auto engineStartTime(const std::string &baseUrl) const -> std::optional<std::string>;
    // Returns whether the engine process has ended or has been restarted since startTimeBefore.
    auto detectCrash(const std::string &baseUrl, const std::optional<std::string> &startTimeBefore) const -> bool;
    // Counts the crash, unless it is already counted, and returns its identifier. crashCountBefore is the crash count
    // at the start of the failed call.
    auto recordCrash(std::uint64_t crashCountBefore) const -> std::string;
    // Returns the number of crashes detected so far.
    auto crashCount() const -> std::uint64_t;
    auto recordTimeToFirstToken(Microseconds elapsed) -> void;
    auto recordInterTokenLatency(Microseconds elapsed) -> void;

    const UpstreamTarget target_;
    const Milliseconds connectTimeout_;
    const Milliseconds idleTimeout_;
    std::shared_ptr<node::Environment> environment_;
    mutable std::mutex mutex_;
    double averageTimeToFirstTokenMicros_ = 0;
    double averageInterTokenLatencyMicros_ = 0;
    // Number of detected crashes. A crash counts once, however many calls fail because of it.
    mutable std::uint64_t crashCount_ = 0;
    // Cached start time of the current engine process; empty until it is fetched, and after a crash.
    mutable std::optional<std::string> engineStartTime_;
};

} // namespace jasminewood::agent
