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

// Service "upstream" of the agent: calls the one upstream beside which the agent runs, and measures it.
//
//     const auto outcome = upstream->call(dispatch, streamCall, [&](std::string_view text, std::uint32_t tokens) {
//         return keep(text);
//     });

namespace jasminewood::agent
{

// A model engine behind the OpenAI-compatible HTTP calls, at a base URL such as "http://127.0.0.1:8000".
struct EngineUpstream
{
    const std::string baseUrl_;

    auto operator<=>(const EngineUpstream &) const = default;
};

// A plain HTTP service; its answers are passed through.
struct ServiceUpstream
{
    const std::string baseUrl_;

    auto operator<=>(const ServiceUpstream &) const = default;
};

using UpstreamType = std::variant<EngineUpstream, ServiceUpstream>;

// The upstream gave a whole answer.
struct CallCompleted
{
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    // The engine's reason, for example "stop" or "length"; empty for services.
    const std::string finishReason_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const CallCompleted &) const = default;
};

// The call ended without a whole answer.
struct CallFailed
{
    const Failure failure_;
    // Identifies the crash, "AGENT@INCARNATION/COUNT", if after the call broke the upstream refuses connections or is
    // another run of the engine's process; else empty. All calls that one crash broke name the same.
    const std::string crashId_;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const CallFailed &) const = default;
};

using CallOutcome = std::variant<CallCompleted, CallFailed>;

// Receives output as it arrives, with the number of output tokens so far. Returning false ends the call.
using OutputCallback = std::function<auto(std::string_view text, std::uint32_t outputTokens)->bool>;

// Moving averages over this agent's own calls; zero before the first.
struct UpstreamLatencies
{
    const Microseconds timeToFirstToken_ = Microseconds(0);
    const Microseconds interTokenLatency_ = Microseconds(0);

    auto operator<=>(const UpstreamLatencies &) const = default;
};

// Thread-safe; call() runs on the attempt's task.
class Upstream
{
public:
    Upstream(UpstreamType kind, Milliseconds connectTimeout, Milliseconds idleTimeout);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Performs the attempt's call. A failure is NotRun only if no connection to the upstream came about.
    auto call(const wire::Dispatch &dispatch, http::StreamCall &call, const OutputCallback &onOutput) -> CallOutcome;

    auto latencies() const -> UpstreamLatencies;

private:
    auto call(const EngineUpstream &engine, const wire::Dispatch &dispatch, http::StreamCall &call,
        const OutputCallback &onOutput) -> CallOutcome;
    auto call(const ServiceUpstream &service, const wire::Dispatch &dispatch, http::StreamCall &call,
        const OutputCallback &onOutput) -> CallOutcome;
    auto serviceRequest(const std::string &baseUrl, const wire::Dispatch &dispatch) const -> http::ClientRequest;
    // startedBefore is the start time of the engine that the call reached, if it is known.
    auto broken(const std::string &baseUrl, std::uint64_t crashesBefore,
        const std::optional<std::string> &startedBefore, const Failure &failure, std::uint32_t outputTokens) const
        -> CallFailed;
    // The start time of the engine's process; empty if the engine does not tell it.
    auto startedAt(const std::string &baseUrl) const -> std::optional<std::string>;
    // Whether the engine runs no longer, or another run of it does.
    auto crashed(const std::string &baseUrl, const std::optional<std::string> &startedBefore) const -> bool;
    auto crashName(std::uint64_t crashesBefore) const -> std::string;
    // Crashes of the upstream that were found so far.
    auto crashes() const -> std::uint64_t;
    auto measureFirst(Microseconds elapsed) -> void;
    auto measureBetween(Microseconds elapsed) -> void;

    const UpstreamType kind_;
    const Milliseconds connectTimeout_;
    const Milliseconds idleTimeout_;
    std::shared_ptr<node::Environment> environment_;
    mutable std::mutex mutex_;
    double firstTokenMicros_ = 0;
    double betweenTokensMicros_ = 0;
    // Counts crashes; one is counted once although it breaks many calls.
    mutable std::uint64_t crashes_ = 0;
    // The start time of the engine's present run; empty until it is asked for.
    mutable std::optional<std::string> startedAt_;
};

} // namespace jasminewood::agent
