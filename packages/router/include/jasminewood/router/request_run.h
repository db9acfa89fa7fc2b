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
#include "jasminewood/delivery/answer_tracker.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/router/limits.h"
#include "jasminewood/router/mailbox.h"
#include "jasminewood/router/upstreams.h"

// One idempotent request from its first attempt to its end, on the task of the caller's connection.
//
//     auto run = RequestRun(services, request);
//     while (true) {
//         const auto step = run.next();   // Output, Completed or Broken
//     }

namespace jasminewood::router
{

// What a front end asks for; it says nothing of the callers' protocol.
struct RouteRequest
{
    const std::string id_;
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
    const bool hedge_ = false;
    const std::uint64_t prefixHash_ = 0;
    // Stands for account, class and body.
    const std::uint64_t fingerprint_ = 0;
    // Estimated output tokens.
    const std::uint32_t costEstimate_ = 0;
    // Longest time in queues over all attempts; zero means no limit.
    const Milliseconds maximumWait_ = Milliseconds(0);
    // True once the caller closed its connection; may be empty.
    const std::function<auto()->bool> callerGone_;
};

struct Output
{
    const std::string text_;

    auto operator<=>(const Output &) const = default;
};

// The answer is whole.
struct Completed
{
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    const std::string finishReason_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const Completed &) const = default;
};

// The answer is not whole and nothing more follows.
struct Broken
{
    const Failure failure_;

    auto operator<=>(const Broken &) const = default;
};

using RunStep = std::variant<Output, Completed, Broken>;

// Upstreams tried for a request that none of them has started. After the first refusal only upstreams that could make
// room are tried, so few requests come near it.
constexpr std::uint32_t maximumPlacements = 16;
// A request that has started and finds no upstream, because those that were tried restart, tries again after this time.
constexpr Milliseconds restartWait = Milliseconds(100);
// Such waits of one request.
constexpr std::uint32_t maximumRestartWaits = 20;
// Upstreams that may start a request, counting the first.
constexpr std::uint32_t maximumStarts = 4;
// How often a waiting request looks for a caller that went away and for a free slot elsewhere.
constexpr Milliseconds reviewInterval = Milliseconds(250);
// A queued attempt is recalled for a free slot elsewhere after this wait.
constexpr Milliseconds recallAfter = Milliseconds(100);

// Used by one task.
class RequestRun
{
public:
    RequestRun(std::shared_ptr<node::Environment> environment, std::shared_ptr<Upstreams> upstreams,
        std::shared_ptr<Limits> limits, RouteRequest request);

    // Cancels what still runs.
    ~RequestRun();

    RequestRun(const RequestRun &) = delete;
    auto operator=(const RequestRun &) -> RequestRun & = delete;

    // Waits for the next step. After Completed or Broken there is none.
    auto next() -> RunStep;

private:
    // One attempt in flight.
    struct Attempt
    {
        AttemptId id_;
        NodeId agent_;
        TimePoint dispatchedAt_;
        bool suspect_ = false;
        std::optional<TimePoint> startedAt_;
        std::optional<TimePoint> lastOutputAt_;
        // Cancelled while it was queued, to be sent to this upstream.
        std::optional<NodeId> movingTo_;
    };

    using OptionalEvent = std::optional<RunStep>;

    auto startAttempt() -> OptionalEvent;
    auto dispatch(const NodeId &agent, bool isHedge) -> Status;
    auto handle(const wire::Started &event) -> OptionalEvent;
    auto handle(const wire::Frame &event) -> OptionalEvent;
    auto handle(const wire::Finished &event) -> OptionalEvent;
    auto handle(const wire::Failed &event) -> OptionalEvent;
    auto handle(const wire::Voided &event) -> OptionalEvent;
    auto handle(const LinkReplaced &event) -> OptionalEvent;
    auto handle(const LinkLost &event) -> OptionalEvent;
    auto handleAttemptFailure(const Attempt &failedAttempt, const Failure &failure) -> OptionalEvent;
    // Waits until upstreams that restart may be back and allows them again; returns false if that is of no use.
    auto awaitRestarts() -> bool;
    auto mayRetry(const Failure &failure) -> bool;
    auto responseFailed(const Failure &failure) const -> RunStep;
    auto chooseUpstream() -> Result<NodeId>;
    auto nextCheckTime() const -> TimePoint;
    auto checkAttempts() -> OptionalEvent;
    auto moveToFreeSlot(Attempt &attempt, TimePoint now) -> void;
    auto hedgeIfSlow(TimePoint now) -> void;
    auto recordLatency(Attempt &attempt, TimePoint now) -> void;
    auto requestAttach() -> void;
    auto cancelOtherAttempts(const AttemptId &kept) -> void;
    auto sendCancel(const Attempt &attempt) -> void;
    auto findAttempt(const AttemptId &attemptId) -> Attempt *;
    auto removeAttempt(const AttemptId &attemptId) -> void;
    auto remainingQueueTime(TimePoint now) const -> Milliseconds;

    const std::shared_ptr<node::Environment> environment_;
    const std::shared_ptr<Upstreams> upstreams_;
    const std::shared_ptr<Limits> requestLimits_;
    const RouteRequest request_;
    const std::shared_ptr<Mailbox> attemptEvents_;
    const TimePoint arrivedAt_;
    delivery::AnswerTracker answerTracker_;
    std::vector<std::unique_ptr<Attempt>> attemptsInFlight_;
    std::vector<NodeId> triedUpstreams_;
    std::uint32_t attemptCount_ = 0;
    std::uint32_t placementAttempts_ = 0;
    std::uint32_t restartWaits_ = 0;
    std::uint32_t startedAttempts_ = 0;
    // Output tokens delivered so far; engines send one token in each frame.
    std::uint32_t deliveredTokens_ = 0;
    bool hedged_ = false;
    // Where a recalled attempt goes next.
    std::optional<NodeId> reservedUpstream_;
    std::optional<Failure> lastFailure_;
};

} // namespace jasminewood::router
