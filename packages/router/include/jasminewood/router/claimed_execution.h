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

// One non-idempotent request: claimed, dispatched at most once, and answered, on the task of the caller's connection.
//
//     auto run = ClaimedRun(services, request);
//     const auto end = run.finish();   // claims::ClaimAnswer or Broken

namespace jasminewood::router
{

// The services that a claimed request uses.
struct ClaimedExecutionServices
{
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<RequestLimits> requestLimits_;
    std::shared_ptr<ClaimStore> claims_;
};

using ClaimedResult = std::variant<claims::StoredResponse, ResponseFailed>;

// Longest time from the arrival of a claimed request to its dispatch.
constexpr Milliseconds claimedDispatchTimeout = Milliseconds(10'000);
// Longest time for the answer of an attempt, own or of another router. The claim stays, so a retry gets the answer.
constexpr Milliseconds claimedResponseTimeout = Milliseconds(120'000);
// Longest time for an agent's answer to Void.
constexpr Milliseconds voidReplyTimeout = Milliseconds(2'000);

// Returns the key of a claim in the key-value service: SHA-256 of account and idempotency key.
auto claimKey(const std::string &account, const std::string &idempotencyKey) -> std::string;

// Used by one task.
class ClaimedExecution
{
public:
    // Precondition: the request has an idempotency key.
    ClaimedExecution(ClaimedExecutionServices services, RoutedRequest request);

    // Performs the request and returns its end. May be called once.
    auto execute() -> ClaimedResult;

private:
    auto perform(const claims::Action &action) -> claims::Event;
    auto perform(const claims::DispatchAttempt &action) -> claims::Event;
    auto perform(const claims::VoidAttempt &action) -> claims::Event;
    auto perform(const claims::AwaitAttemptEnd &action) -> claims::Event;
    auto receiveEnd(const claims::DispatchAttempt &action, AttemptEventQueue &mailbox) -> claims::Event;
    auto voided(const NodeId &agent, const AttemptId &attempt, AttemptEventQueue &mailbox, TimePoint deadline,
        bool untilEnd) -> claims::Event;
    auto nextCandidate() -> std::optional<claims::DispatchTarget>;
    // Records an event of this request, also where it concerns an attempt of another request with the same key.
    auto recordEvent(const std::string &step, const std::string &peer, const std::string &detail) const -> void;

    const ClaimedExecutionServices services_;
    const RoutedRequest request_;
    const std::string key_;
    std::vector<NodeId> tried_;
    std::uint32_t attempts_ = 0;
};

} // namespace jasminewood::router
