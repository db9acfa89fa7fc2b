#include "jasminewood/router/claimed_execution.h"

#include <optional>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/router/sha256.h"

namespace jasminewood::router
{

namespace
{

constexpr auto claimPrefix = "/jasminewood/claims/";

auto attemptStateUnknown(const NodeId &agent, const std::string &reason) -> claims::Event
{
    return claims::AttemptStateUnknown {.failure_
        = Failure {.step_ = "ask agent", .peer_ = agent.name_, .reason_ = reason, .runState_ = RunState::MayHaveRun}};
}

auto storedResponseFrom(const std::optional<wire::UpstreamResponse> &response) -> std::optional<claims::StoredResponse>
{
    if (!response) {
        return std::nullopt;
    }
    return claims::StoredResponse {
        .status_ = response->status_, .contentType_ = response->contentType_, .body_ = response->body_};
}

} // namespace

auto claimKey(const std::string &account, const std::string &idempotencyKey) -> std::string
{
    // The length prefix prevents collisions between pairs with the same concatenation.
    return claimPrefix + sha256Hex(std::to_string(account.size()) + ":" + account + idempotencyKey);
}

ClaimedExecution::ClaimedExecution(ClaimedExecutionServices services, RoutedRequest request)
    : services_(std::move(services))
    , request_(std::move(request))
    , claimKey_(claimKey(request_.account_, request_.idempotencyKey_))
{
}

auto ClaimedExecution::execute() -> ClaimedResult
{
    const auto firstTarget = nextTarget();
    if (!firstTarget) {
        return ResponseFailed {.failure_ = Failure {.step_ = "choose",
                                   .peer_ = request_.pool_,
                                   .reason_ = "no upstream of the pool takes work",
                                   .retryAfter_ = claims::storeRetryAfter}};
    }
    auto machine = claims::ClaimStateMachine(claims::ClaimRequest {.key_ = claimKey_,
        .router_ = services_.environment_->identity().node_,
        .firstTarget_ = *firstTarget,
        .deadline_ = Clock::now() + claimedDispatchTimeout});
    auto action = std::make_unique<claims::Action>(machine.step(claims::Start {}, Clock::now()));
    auto result = std::optional<ClaimedResult>();
    while (!result) {
        if (const auto *stored = std::get_if<claims::ReturnStoredResponse>(action.get())) {
            recordEvent(observe::answerStep, "", "stored answer of an earlier attempt");
            result.emplace(stored->response_);
            action = std::make_unique<claims::Action>(machine.step(claims::ResponseSent {}, Clock::now()));
        } else if (const auto *returnFailure = std::get_if<claims::ReturnFailure>(action.get())) {
            recordEvent(observe::answerStep, returnFailure->failure_.peer_, returnFailure->failure_.reason_);
            result.emplace(ResponseFailed {.failure_ = returnFailure->failure_});
            action = std::make_unique<claims::Action>(machine.step(claims::ResponseSent {}, Clock::now()));
        } else {
            const auto outcome = perform(*action);
            if (const auto *finished = std::get_if<claims::AttemptFinished>(&outcome)) {
                result.emplace(finished->response_);
            }
            action = std::make_unique<claims::Action>(machine.step(outcome, Clock::now()));
        }
    }
    services_.claims_->finishInBackground(std::move(machine), *action);
    return *result;
}

auto ClaimedExecution::perform(const claims::Action &action) -> claims::Event
{
    return std::visit(Overloaded {[this](const claims::DispatchAttempt &dispatch) -> claims::Event {
                                      return perform(dispatch);
                                  },
                          [this](const claims::VoidAttempt &voidAttempt) -> claims::Event {
                              return perform(voidAttempt);
                          },
                          [this](const claims::AwaitAttemptEnd &awaitEnd) -> claims::Event {
                              return perform(awaitEnd);
                          },
                          [this, &action](const auto & /*storeAction*/) -> claims::Event {
                              recordEvent("claim", "", claimKey_);
                              auto outcome = services_.claims_->perform(action);
                              if (const auto *existing = std::get_if<claims::ClaimExists>(&outcome)) {
                                  recordEvent(
                                      "claimed", existing->record_.agent_.name_, toString(existing->record_.attempt_));
                              }
                              return outcome;
                          }},
        action);
}

auto ClaimedExecution::recordEvent(const std::string &step, const std::string &peer, const std::string &detail) const
    -> void
{
    services_.environment_->recordEvent(
        AttemptId {.requestId_ = request_.requestId_, .number_ = attemptCount_}, step, peer, detail);
}

auto ClaimedExecution::nextTarget() -> std::optional<claims::DispatchTarget>
{
    const auto chosen = services_.upstreams_->choose(
        request_.pool_, routing::SelectionRequest {.tier_ = request_.tier_, .excludedUpstreams_ = triedUpstreams_});
    if (!chosen) {
        return std::nullopt;
    }
    triedUpstreams_.push_back(*chosen);
    return claims::DispatchTarget {
        .attempt_ = AttemptId {.requestId_ = request_.requestId_, .number_ = ++attemptCount_}, .agent_ = *chosen};
}

auto ClaimedExecution::perform(const claims::DispatchAttempt &action) -> claims::Event
{
    const auto events = std::make_shared<AttemptEventQueue>();
    services_.upstreams_->openAttempt(action.attempt_, action.agent_, request_.tier_, false, events);
    services_.environment_->recordEvent(
        action.attempt_, observe::dispatchStep, action.agent_.name_, request_.requestClass_);
    const auto failure = services_.upstreams_->send(action.agent_,
        wire::Dispatch {.attempt_ = action.attempt_,
            .expectedIncarnation_ = action.agent_.incarnation_,
            .account_ = request_.account_,
            .requestClass_ = request_.requestClass_,
            .tier_ = request_.tier_,
            .method_ = request_.method_,
            .path_ = request_.path_,
            .body_ = request_.body_,
            .contentType_ = request_.contentType_,
            .idempotencyKey_ = request_.idempotencyKey_,
            .idempotent_ = false,
            .maximumWait_ = request_.maximumWait_,
            .costEstimate_ = request_.costEstimate_});
    auto outcome = failure ? claims::Event(claims::AttemptFailed {.failure_ = *failure,
                       .nextTarget_ = failure->runState_ == RunState::NotRun ? nextTarget() : std::nullopt})
                           : receiveResult(action, *events);
    services_.upstreams_->closeAttempt(action.attempt_);
    return outcome;
}

auto ClaimedExecution::receiveResult(const claims::DispatchAttempt &action, AttemptEventQueue &events) -> claims::Event
{
    auto tracker = delivery::ResponseTracker();
    tracker.beginAttempt(action.attempt_);
    const auto deadline = Clock::now() + claimedResponseTimeout;
    auto result = std::optional<claims::Event>();
    const auto attach = [&]() -> void {
        static_cast<void>(services_.upstreams_->send(
            action.agent_, wire::Attach {.attempt_ = action.attempt_, .offset_ = tracker.nextOffset(action.attempt_)}));
    };
    const auto fail = [&](const Failure &failure) -> void {
        services_.environment_->recordEvent(action.attempt_, observe::answerStep, action.agent_.name_, failure.reason_);
        result.emplace(claims::AttemptFailed {
            .failure_ = failure, .nextTarget_ = failure.runState_ == RunState::NotRun ? nextTarget() : std::nullopt});
    };
    while (!result) {
        const auto event = events.pop(deadline);
        if (!event) {
            return claims::DeadlineExceeded {};
        }
        std::visit(
            Overloaded {[&](const wire::Frame &frame) -> void {
                            if (!tracker.onFrame(frame.attempt_, frame.offset_, frame.data_)
                                && tracker.pendingAttach()) {
                                attach();
                            }
                        },
                [&](const wire::Finished &finished) -> void {
                    const auto endResult = tracker.onFinished(finished.attempt_, finished.length_, finished.digest_);
                    if (std::holds_alternative<delivery::AttachRequest>(endResult)) {
                        attach();
                    } else if (const auto *failure = std::get_if<Failure>(&endResult)) {
                        fail(*failure);
                    } else {
                        services_.environment_->recordEvent(
                            action.attempt_, observe::answerStep, action.agent_.name_, "whole");
                        result.emplace(
                            claims::AttemptFinished {.response_ = claims::StoredResponse {.status_ = finished.status_,
                                                         .contentType_ = finished.contentType_,
                                                         .body_ = tracker.deliveredOutput()}});
                    }
                },
                [&](const wire::Failed &failed) -> void {
                    fail(failed.failure_);
                },
                [&](const LinkReconnected & /*replaced*/) -> void {
                    attach();
                },
                [&](const LinkLost &lost) -> void {
                    fail(lost.failure_);
                },
                [](const auto & /*other*/) -> void {}},
            *event);
    }
    return *result;
}

auto ClaimedExecution::perform(const claims::VoidAttempt &action) -> claims::Event
{
    recordEvent("ask", action.agent_.name_, toString(action.attempt_));
    const auto events = std::make_shared<AttemptEventQueue>();
    services_.upstreams_->openAttempt(action.attempt_, action.agent_, request_.tier_, false, events);
    auto outcome = requestVoid(action.agent_, action.attempt_, *events, Clock::now() + voidReplyTimeout, false);
    services_.upstreams_->closeAttempt(action.attempt_);
    return outcome;
}

auto ClaimedExecution::perform(const claims::AwaitAttemptEnd &action) -> claims::Event
{
    recordEvent("wait", action.agent_.name_, toString(action.attempt_));
    const auto events = std::make_shared<AttemptEventQueue>();
    services_.upstreams_->openAttempt(action.attempt_, action.agent_, request_.tier_, false, events);
    auto outcome = requestVoid(action.agent_, action.attempt_, *events, Clock::now() + claimedResponseTimeout, true);
    services_.upstreams_->closeAttempt(action.attempt_);
    return outcome;
}

auto ClaimedExecution::requestVoid(const NodeId &agent, const AttemptId &attempt, AttemptEventQueue &events,
    TimePoint deadline, bool waitForResult) -> claims::Event
{
    if (const auto failure = services_.upstreams_->send(agent, wire::Void {.attempt_ = attempt})) {
        return attemptStateUnknown(agent, failure->reason_);
    }
    while (const auto event = events.pop(deadline)) {
        if (const auto *lost = std::get_if<LinkLost>(&*event)) {
            return attemptStateUnknown(agent, lost->failure_.reason_);
        }
        if (std::holds_alternative<LinkReconnected>(*event)) {
            static_cast<void>(services_.upstreams_->send(agent, wire::Void {.attempt_ = attempt}));
        }
        const auto *reply = std::get_if<wire::Voided>(&*event);
        if (reply == nullptr) {
            continue;
        }
        if (reply->runState_ == RunState::NotRun) {
            return claims::AttemptVoided {};
        }
        if (reply->runState_ == RunState::Ran) {
            return claims::AttemptRan {.response_ = storedResponseFrom(reply->response_)};
        }
        if (!waitForResult) {
            return claims::AttemptRunning {};
        }
    }
    return waitForResult ? claims::Event(claims::DeadlineExceeded {})
                         : attemptStateUnknown(agent, "the agent did not answer in time");
}

} // namespace jasminewood::router
