#pragma once

#include <compare>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/claims/claim_machine.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/router/claim_store.h"
#include "jasminewood/router/limits.h"
#include "jasminewood/router/request_run.h"
#include "jasminewood/router/upstreams.h"

// One non-idempotent request: claimed, dispatched at most once, and answered, on the task of the caller's connection.
//
//     auto run = ClaimedRun(services, request);
//     const auto end = run.finish();   // claims::ClaimAnswer or Broken

namespace jasminewood::router
{

// The services that a claimed request uses.
struct ClaimedRunServices
{
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<Upstreams> upstreams_;
    std::shared_ptr<Limits> limits_;
    std::shared_ptr<ClaimStore> claims_;
};

using ClaimedEnd = std::variant<claims::ClaimAnswer, Broken>;

// Longest time from the arrival of a claimed request to its dispatch.
constexpr Milliseconds claimDeadline = Milliseconds(10'000);
// Longest time for the answer of an attempt, own or of another router. The claim stays, so a retry gets the answer.
constexpr Milliseconds claimedAnswerDeadline = Milliseconds(120'000);
// Longest time for an agent's answer to Void.
constexpr Milliseconds voidDeadline = Milliseconds(2'000);

// Returns the key of a claim in the key-value service: SHA-256 of account and idempotency key.
auto claimKey(const std::string &account, const std::string &idempotencyKey) -> std::string;

// Used by one task.
class ClaimedRun
{
public:
    // Precondition: the request has an idempotency key.
    ClaimedRun(ClaimedRunServices services, RouteRequest request);

    // Performs the request and returns its end. May be called once.
    auto finish() -> ClaimedEnd;

private:
    auto perform(const claims::Action &action) -> claims::Event;
    auto perform(const claims::DispatchNow &action) -> claims::Event;
    auto perform(const claims::AskAgent &action) -> claims::Event;
    auto perform(const claims::WaitForAnswer &action) -> claims::Event;
    auto receiveResult(const claims::DispatchNow &action, Mailbox &mailbox) -> claims::Event;
    auto requestVoid(const NodeId &agent, const AttemptId &attempt, Mailbox &mailbox, TimePoint deadline, bool waitForResult)
        -> claims::Event;
    auto nextCandidate() -> std::optional<claims::Candidate>;
    // Records an event of this request, also where it concerns an attempt of another request with the same key.
    auto recordEvent(const std::string &step, const std::string &peer, const std::string &detail) const -> void;

    const ClaimedRunServices services_;
    const RouteRequest request_;
    const std::string claimKey_;
    std::vector<NodeId> triedUpstreams_;
    std::uint32_t attemptCount_ = 0;
};

} // namespace jasminewood::router
