#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/core/tier.h"
#include "jasminewood/delivery/response_tracker.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/router/attempt_event_queue.h"
#include "jasminewood/router/request_limits.h"
#include "jasminewood/router/upstream_manager.h"

// Executes one idempotent request, from its first attempt to its end, on the thread of the caller's connection.
//
//     auto execution = RequestExecution(services, request);
//     while (true) {
//         const auto event = execution.nextEvent();   // ResponseChunk, ResponseCompleted or ResponseFailed
//     }

namespace jasminewood::router
{

// A request as the frontend routes it, independent of the callers' protocol.
struct RoutedRequest
{
    const std::string requestId_;
    const std::string account_;
    const std::string requestClass_;
    const std::string pool_;
    const Tier tier_ = lowestTier;
    // The call to the upstream.
    const std::string method_ = "POST";
    const std::string path_;
    const std::string body_;
    const std::string contentType_ = "application/json";
    // Forwarded to HTTP services; empty if the caller sent none.
    const std::string idempotencyKey_;
    // True for model engines: another upstream can resume the text output.
    const bool resumable_ = false;
    const bool idempotent_ = true;
    const bool hedgingAllowed_ = false;
    const std::uint64_t prefixHash_ = 0;
    // Hash of account, class and body.
    const std::uint64_t fingerprint_ = 0;
    // Estimated output tokens.
    const std::uint32_t costEstimate_ = 0;
    // Maximum time in queues, summed over all attempts; zero means no limit.
    const Milliseconds maximumWait_ = Milliseconds(0);
    // Returns true once the caller closed its connection; may be empty.
    const std::function<auto()->bool> callerDisconnected_;
};

// A part of the response body.
struct ResponseChunk
{
    const std::string text_;

    auto operator<=>(const ResponseChunk &) const = default;
};

// The response is complete.
struct ResponseCompleted
{
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    const std::string finishReason_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const ResponseCompleted &) const = default;
};

// The response is incomplete and no further events follow.
struct ResponseFailed
{
    const Failure failure_;

    auto operator<=>(const ResponseFailed &) const = default;
};

using ResponseEvent = std::variant<ResponseChunk, ResponseCompleted, ResponseFailed>;

// Maximum upstreams tried for a request that none of them has started. After the first rejection only upstreams with
// capacity are tried, so few requests reach this limit.
constexpr std::uint32_t maximumPlacementAttempts = 16;
// Delay before a request that has started once is tried again when all eligible upstreams were tried; they may be
// restarting.
constexpr Milliseconds upstreamRestartWait = Milliseconds(100);
// Maximum number of these delays for one request.
constexpr std::uint32_t maximumUpstreamRestartWaits = 20;
// Maximum upstreams that may start a request, including the first.
constexpr std::uint32_t maximumStartedAttempts = 4;
// How often a waiting request checks for a disconnected caller and for a free slot at another upstream.
constexpr Milliseconds attemptCheckInterval = Milliseconds(250);
// Time in an upstream's queue after which an attempt may move to a free slot of another upstream.
constexpr Milliseconds queuedAttemptMoveDelay = Milliseconds(100);

// Not thread-safe. Each agent serves one upstream, so the NodeId of the agent identifies the upstream.
class RequestExecution
{
public:
    RequestExecution(std::shared_ptr<node::Environment> environment, std::shared_ptr<UpstreamManager> upstreams,
        std::shared_ptr<RequestLimits> requestLimits, RoutedRequest request);

    // Cancels the attempts in flight.
    ~RequestExecution();

    RequestExecution(const RequestExecution &) = delete;
    auto operator=(const RequestExecution &) -> RequestExecution & = delete;

    // Waits for the next event of the response. Must not be called after ResponseCompleted or ResponseFailed.
    auto nextEvent() -> ResponseEvent;

private:
    struct Attempt
    {
        AttemptId id_;
        NodeId agent_;
        TimePoint dispatchedAt_;
        // True if the request is suspected of crashing upstreams.
        bool crashSuspect_ = false;
        std::optional<TimePoint> startedAt_;
        std::optional<TimePoint> lastOutputAt_;
        // Set if the attempt was cancelled while queued so that it can move to this upstream.
        std::optional<NodeId> movingTo_;
    };

    using OptionalEvent = std::optional<ResponseEvent>;

    auto startAttempt() -> OptionalEvent;
    auto dispatch(const NodeId &agent, bool isHedge) -> Status;
    auto onEvent(const wire::Started &event) -> OptionalEvent;
    auto onEvent(const wire::Frame &event) -> OptionalEvent;
    auto onEvent(const wire::Finished &event) -> OptionalEvent;
    auto onEvent(const wire::Failed &event) -> OptionalEvent;
    auto onEvent(const wire::Voided &event) -> OptionalEvent;
    auto onEvent(const LinkReconnected &event) -> OptionalEvent;
    auto onEvent(const LinkLost &event) -> OptionalEvent;
    auto onAttemptFailed(const Attempt &failedAttempt, const Failure &failure) -> OptionalEvent;
    // Waits for upstreams that are restarting and makes all upstreams eligible again. Returns false without waiting if
    // the request cannot be retried this way.
    auto awaitRestarts() -> bool;
    // Returns whether the request is retried; if so, the retry is counted or taken from the budget.
    auto tryAcquireRetry(const Failure &failure) -> bool;
    auto responseFailed(const Failure &failure) const -> ResponseEvent;
    auto chooseUpstream() -> Result<NodeId>;
    auto nextCheckTime() const -> TimePoint;
    auto checkAttempts() -> OptionalEvent;
    auto moveToFreeSlot(Attempt &attempt, TimePoint now) -> void;
    auto hedgeIfSlow(TimePoint now) -> void;
    auto recordLatency(Attempt &attempt, TimePoint now) -> void;
    auto sendPendingAttach() -> void;
    auto cancelOtherAttempts(const AttemptId &kept) -> void;
    auto sendCancel(const Attempt &attempt) -> void;
    auto findAttempt(const AttemptId &attemptId) -> Attempt *;
    auto removeAttempt(const AttemptId &attemptId) -> void;
    auto remainingQueueTime(TimePoint now) const -> Milliseconds;

    const std::shared_ptr<node::Environment> environment_;
    const std::shared_ptr<UpstreamManager> upstreams_;
    const std::shared_ptr<RequestLimits> requestLimits_;
    const RoutedRequest request_;
    const std::shared_ptr<AttemptEventQueue> attemptEvents_;
    const TimePoint arrivedAt_;
    delivery::ResponseTracker responseTracker_;
    std::vector<std::unique_ptr<Attempt>> attemptsInFlight_;
    std::vector<NodeId> triedUpstreams_;
    std::uint32_t attemptCount_ = 0;
    std::uint32_t placementAttempts_ = 0;
    std::uint32_t restartWaits_ = 0;
    std::uint32_t startedAttempts_ = 0;
    // Output tokens delivered so far; engines send one token per frame.
    std::uint32_t deliveredTokens_ = 0;
    bool hedged_ = false;
    // Upstream with a reserved slot for the next attempt.
    std::optional<NodeId> reservedUpstream_;
    std::optional<Failure> lastFailure_;
};

} // namespace jasminewood::router
