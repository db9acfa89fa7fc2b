#pragma once

#include <compare>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/claims/claim_state_machine.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/router/claim_store.h"
#include "jasminewood/router/request_execution.h"
#include "jasminewood/router/request_limits.h"
#include "jasminewood/router/upstream_manager.h"

// Executes one non-idempotent request on the thread of the caller's connection: claims it, dispatches it at most once
// and returns its response.
//
//     auto execution = ClaimedExecution(services, request);
//     const auto result = execution.execute();   // claims::StoredResponse or ResponseFailed

namespace jasminewood::router
{

// Services that ClaimedExecution uses.
struct ClaimedExecutionServices
{
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<RequestLimits> requestLimits_;
    std::shared_ptr<ClaimStore> claims_;
};

using ClaimedResult = std::variant<claims::StoredResponse, ResponseFailed>;

// Maximum time from the arrival of a claimed request to its dispatch.
constexpr Milliseconds claimedDispatchTimeout = Milliseconds(10'000);
// Maximum time to wait for the response of an attempt, whether this or another router dispatched it. The claim is kept
// after this time, so a retry of the request gets the response.
constexpr Milliseconds claimedResponseTimeout = Milliseconds(120'000);
// Maximum time to wait for an agent's reply to Void.
constexpr Milliseconds voidReplyTimeout = Milliseconds(2'000);

// Returns the key of a claim in the key-value service; it contains the SHA-256 of account and idempotency key.
auto claimKey(const std::string &account, const std::string &idempotencyKey) -> std::string;

// Not thread-safe.
class ClaimedExecution
{
public:
    // Precondition: the request has an idempotency key.
    ClaimedExecution(ClaimedExecutionServices services, RoutedRequest request);

    // Executes the request and returns its result. May be called once.
    auto execute() -> ClaimedResult;

private:
    auto perform(const claims::Action &action) -> claims::Event;
    auto perform(const claims::DispatchAttempt &action) -> claims::Event;
    auto perform(const claims::VoidAttempt &action) -> claims::Event;
    auto perform(const claims::AwaitAttemptEnd &action) -> claims::Event;
    auto receiveResult(const claims::DispatchAttempt &action, AttemptEventQueue &events) -> claims::Event;
    auto requestVoid(const NodeId &agent, const AttemptId &attempt, AttemptEventQueue &events, TimePoint deadline,
        bool waitForResult) -> claims::Event;
    auto nextTarget() -> std::optional<claims::DispatchTarget>;
    // Records a timeline event of this request, including events about an attempt of another request with the same
    // idempotency key.
    auto recordEvent(const std::string &step, const std::string &peer, const std::string &detail) const -> void;

    const ClaimedExecutionServices services_;
    const RoutedRequest request_;
    const std::string claimKey_;
    std::vector<NodeId> triedUpstreams_;
    std::uint32_t attemptCount_ = 0;
};

} // namespace jasminewood::router
