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

// One idempotent request from its first attempt to its end, on the task of the caller's connection.
//
//     auto run = RequestRun(services, request);
//     while (true) {
//         const auto step = run.next();   // Output, Completed or Broken
//     }

namespace jasminewood::router
{

// What a front end asks for; it says nothing of the callers' protocol.
struct RoutedRequest
{
    const std::string requestId_;
    const std::string account_;
    const std::string requestClass_;
    const std::string pool_;
    const Tier tier_ = lowestTier;
    // The upstream call.
    const std::string method_ = "POST";
    const std::string path_;
    const std::string body_;
    const std::string contentType_ = "application/json";
    // Passed on to plain services; empty if the caller sent none.
    const std::string idempotencyKey_;
    // True for model engines: output is text that another upstream can continue.
    const bool resumable_ = false;
    const bool idempotent_ = true;
    const bool hedgingAllowed_ = false;
    const std::uint64_t prefixHash_ = 0;
    // Stands for account, class and body.
    const std::uint64_t fingerprint_ = 0;
    // Estimated output tokens.
    const std::uint32_t costEstimate_ = 0;
    // Longest time in queues over all attempts; zero means no limit.
    const Milliseconds maximumWait_ = Milliseconds(0);
    // True once the caller closed its connection; may be empty.
    const std::function<auto()->bool> callerDisconnected_;
};

struct ResponseChunk
{
    const std::string text_;

    auto operator<=>(const ResponseChunk &) const = default;
};

// The answer is whole.
struct ResponseCompleted
{
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    const std::string finishReason_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const ResponseCompleted &) const = default;
};

// The answer is not whole and nothing more follows.
struct ResponseFailed
{
    const Failure failure_;

    auto operator<=>(const ResponseFailed &) const = default;
};

using ResponseEvent = std::variant<ResponseChunk, ResponseCompleted, ResponseFailed>;

// Upstreams tried for a request that none of them has started. After the first refusal only upstreams that could make
// room are tried, so few requests come near it.
constexpr std::uint32_t maximumPlacementAttempts = 16;
// A request that has started and finds no upstream, because those that were tried restart, tries again after this time.
constexpr Milliseconds upstreamRestartWait = Milliseconds(100);
// Such waits of one request.
constexpr std::uint32_t maximumUpstreamRestartWaits = 20;
// Upstreams that may start a request, counting the first.
constexpr std::uint32_t maximumStartedAttempts = 4;
// How often a waiting request looks for a caller that went away and for a free slot elsewhere.
constexpr Milliseconds attemptCheckInterval = Milliseconds(250);
// A queued attempt is recalled for a free slot elsewhere after this wait.
constexpr Milliseconds queuedAttemptMoveDelay = Milliseconds(100);

// Used by one task.
class RequestExecution
{
public:
    RequestExecution(std::shared_ptr<node::Environment> environment, std::shared_ptr<UpstreamManager> upstreams,
        std::shared_ptr<RequestLimits> limits, RoutedRequest request);

    // Cancels what still runs.
    ~RequestExecution();

    RequestExecution(const RequestExecution &) = delete;
    auto operator=(const RequestExecution &) -> RequestExecution & = delete;

    // Waits for the next step. After Completed or Broken there is none.
    auto nextEvent() -> ResponseEvent;

private:
    // One attempt in flight.
    struct Flight
    {
        AttemptId attempt_;
        NodeId agent_;
        TimePoint dispatchedAt_;
        bool suspect_ = false;
        std::optional<TimePoint> startedAt_;
        std::optional<TimePoint> lastOutputAt_;
        // Cancelled while it was queued, to be sent to this upstream.
        std::optional<NodeId> recalledTo_;
    };

    using Step = std::optional<ResponseEvent>;

    auto begin() -> Step;
    auto dispatch(const NodeId &agent, bool hedge) -> Status;
    auto on(const wire::Started &event) -> Step;
    auto on(const wire::Frame &event) -> Step;
    auto on(const wire::Finished &event) -> Step;
    auto on(const wire::Failed &event) -> Step;
    auto on(const wire::Voided &event) -> Step;
    auto on(const LinkReconnected &event) -> Step;
    auto on(const LinkLost &event) -> Step;
    auto attemptFailed(const Flight &flight, const Failure &failure) -> Step;
    // Waits until upstreams that restart may be back and allows them again; returns false if that is of no use.
    auto awaitRestarts() -> bool;
    auto mayTryAgain(const Failure &failure) -> bool;
    auto broken(const Failure &failure) const -> ResponseEvent;
    auto place() -> Result<NodeId>;
    auto nextReview() const -> TimePoint;
    auto review() -> Step;
    auto recall(Flight &flight, TimePoint now) -> void;
    auto hedge(TimePoint now) -> void;
    auto measure(Flight &flight, TimePoint now) -> void;
    auto requestAttach() -> void;
    auto abandonOthers(const AttemptId &kept) -> void;
    auto cancel(const Flight &flight) -> void;
    auto flight(const AttemptId &attempt) -> Flight *;
    auto remove(const AttemptId &attempt) -> void;
    auto remainingWait(TimePoint now) const -> Milliseconds;

    const std::shared_ptr<node::Environment> environment_;
    const std::shared_ptr<UpstreamManager> upstreams_;
    const std::shared_ptr<RequestLimits> limits_;
    const RoutedRequest request_;
    const std::shared_ptr<AttemptEventQueue> mailbox_;
    const TimePoint arrivedAt_;
    delivery::ResponseTracker tracker_;
    std::vector<std::unique_ptr<Flight>> flights_;
    std::vector<NodeId> tried_;
    std::uint32_t attempts_ = 0;
    std::uint32_t placements_ = 0;
    std::uint32_t restartWaits_ = 0;
    std::uint32_t starts_ = 0;
    // Output tokens delivered so far; engines send one token in each frame.
    std::uint32_t deliveredTokens_ = 0;
    bool hedged_ = false;
    // Where a recalled attempt goes next.
    std::optional<NodeId> reserved_;
    std::optional<Failure> lastFailure_;
};

} // namespace jasminewood::router
