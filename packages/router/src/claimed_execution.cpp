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

auto unreachable(const NodeId &agent, const std::string &reason) -> claims::Event
{
    return claims::AttemptStateUnknown {.failure_
        = Failure {.step_ = "ask agent", .peer_ = agent.name_, .reason_ = reason, .runState_ = RunState::MayHaveRun}};
}

auto claimAnswer(const std::optional<wire::UpstreamResponse> &answer) -> std::optional<claims::StoredResponse>
{
    if (!answer) {
        return std::nullopt;
    }
    return claims::StoredResponse {
        .status_ = answer->status_, .contentType_ = answer->contentType_, .body_ = answer->body_};
}

} // namespace

auto claimKey(const std::string &account, const std::string &idempotencyKey) -> std::string
{
    // The length keeps pairs with the same concatenation apart.
    return claimPrefix + sha256Hex(std::to_string(account.size()) + ":" + account + idempotencyKey);
}

ClaimedExecution::ClaimedExecution(ClaimedExecutionServices services, RoutedRequest request)
    : services_(std::move(services))
    , request_(std::move(request))
    , key_(claimKey(request_.account_, request_.idempotencyKey_))
{
}

auto ClaimedExecution::execute() -> ClaimedResult
{
    const auto first = nextCandidate();
    if (!first) {
        return ResponseFailed {.failure_ = Failure {.step_ = "choose",
                                   .peer_ = request_.pool_,
                                   .reason_ = "no upstream of the pool takes work",
                                   .retryAfter_ = claims::storeRetryAfter}};
    }
    auto machine = claims::ClaimStateMachine(claims::ClaimRequest {.key_ = key_,
        .router_ = services_.environment_->identity().node_,
        .firstTarget_ = *first,
        .deadline_ = Clock::now() + claimedDispatchTimeout});
    auto action = std::make_unique<claims::Action>(machine.step(claims::Start {}, Clock::now()));
    auto end = std::optional<ClaimedResult>();
    while (!end) {
        if (const auto *stored = std::get_if<claims::ReturnStoredResponse>(action.get())) {
            recordEvent(observe::answerStep, "", "stored answer of an earlier attempt");
            end.emplace(stored->response_);
            action = std::make_unique<claims::Action>(machine.step(claims::ResponseSent {}, Clock::now()));
        } else if (const auto *refuse = std::get_if<claims::ReturnFailure>(action.get())) {
            recordEvent(observe::answerStep, refuse->failure_.peer_, refuse->failure_.reason_);
            end.emplace(ResponseFailed {.failure_ = refuse->failure_});
            action = std::make_unique<claims::Action>(machine.step(claims::ResponseSent {}, Clock::now()));
        } else {
            const auto outcome = perform(*action);
            if (const auto *finished = std::get_if<claims::AttemptFinished>(&outcome)) {
                end.emplace(finished->response_);
            }
            action = std::make_unique<claims::Action>(machine.step(outcome, Clock::now()));
        }
    }
    services_.claims_->finishInBackground(std::move(machine), *action);
    return *end;
}

auto ClaimedExecution::perform(const claims::Action &action) -> claims::Event
{
    return std::visit(Overloaded {[this](const claims::DispatchAttempt &dispatch) -> claims::Event {
                                      return perform(dispatch);
                                  },
                          [this](const claims::VoidAttempt &ask) -> claims::Event {
                              return perform(ask);
                          },
                          [this](const claims::AwaitAttemptEnd &wait) -> claims::Event {
                              return perform(wait);
                          },
                          [this, &action](const auto & /*storeAction*/) -> claims::Event {
                              recordEvent("claim", "", key_);
                              auto outcome = services_.claims_->perform(action);
                              if (const auto *found = std::get_if<claims::ClaimExists>(&outcome)) {
                                  recordEvent(
                                      "claimed", found->record_.agent_.name_, toString(found->record_.attempt_));
                              }
                              return outcome;
                          }},
        action);
}

auto ClaimedExecution::recordEvent(const std::string &step, const std::string &peer, const std::string &detail) const
    -> void
{
    services_.environment_->recordEvent(
        AttemptId {.requestId_ = request_.requestId_, .number_ = attempts_}, step, peer, detail);
}

auto ClaimedExecution::nextCandidate() -> std::optional<claims::DispatchTarget>
{
    const auto chosen = services_.upstreams_->choose(
        request_.pool_, routing::SelectionRequest {.tier_ = request_.tier_, .excludedUpstreams_ = tried_});
    if (!chosen) {
        return std::nullopt;
    }
    tried_.push_back(*chosen);
    return claims::DispatchTarget {
        .attempt_ = AttemptId {.requestId_ = request_.requestId_, .number_ = ++attempts_}, .agent_ = *chosen};
}

auto ClaimedExecution::perform(const claims::DispatchAttempt &action) -> claims::Event
{
    const auto mailbox = std::make_shared<AttemptEventQueue>();
    services_.upstreams_->openAttempt(action.attempt_, action.agent_, request_.tier_, false, mailbox);
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
                       .nextTarget_ = failure->runState_ == RunState::NotRun ? nextCandidate() : std::nullopt})
                           : receiveEnd(action, *mailbox);
    services_.upstreams_->closeAttempt(action.attempt_);
    return outcome;
}

auto ClaimedExecution::receiveEnd(const claims::DispatchAttempt &action, AttemptEventQueue &mailbox) -> claims::Event
{
    auto tracker = delivery::ResponseTracker();
    tracker.beginAttempt(action.attempt_);
    const auto deadline = Clock::now() + claimedResponseTimeout;
    auto end = std::optional<claims::Event>();
    const auto attach = [&]() -> void {
        static_cast<void>(services_.upstreams_->send(
            action.agent_, wire::Attach {.attempt_ = action.attempt_, .offset_ = tracker.nextOffset(action.attempt_)}));
    };
    const auto fail = [&](const Failure &failure) -> void {
        services_.environment_->recordEvent(action.attempt_, observe::answerStep, action.agent_.name_, failure.reason_);
        end.emplace(claims::AttemptFailed {.failure_ = failure,
            .nextTarget_ = failure.runState_ == RunState::NotRun ? nextCandidate() : std::nullopt});
    };
    while (!end) {
        const auto event = mailbox.pop(deadline);
        if (!event) {
            return claims::DeadlineExceeded {};
        }
        std::visit(Overloaded {[&](const wire::Frame &frame) -> void {
                                   if (!tracker.onFrame(frame.attempt_, frame.offset_, frame.data_)
                                       && tracker.pendingAttach()) {
                                       attach();
                                   }
                               },
                       [&](const wire::Finished &finished) -> void {
                           const auto ended = tracker.onFinished(finished.attempt_, finished.length_, finished.digest_);
                           if (std::holds_alternative<delivery::AttachRequest>(ended)) {
                               attach();
                           } else if (const auto *failure = std::get_if<Failure>(&ended)) {
                               fail(*failure);
                           } else {
                               services_.environment_->recordEvent(
                                   action.attempt_, observe::answerStep, action.agent_.name_, "whole");
                               end.emplace(claims::AttemptFinished {
                                   .response_ = claims::StoredResponse {.status_ = finished.status_,
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
    return *end;
}

auto ClaimedExecution::perform(const claims::VoidAttempt &action) -> claims::Event
{
    recordEvent("ask", action.agent_.name_, toString(action.attempt_));
    const auto mailbox = std::make_shared<AttemptEventQueue>();
    services_.upstreams_->openAttempt(action.attempt_, action.agent_, request_.tier_, false, mailbox);
    auto outcome = voided(action.agent_, action.attempt_, *mailbox, Clock::now() + voidReplyTimeout, false);
    services_.upstreams_->closeAttempt(action.attempt_);
    return outcome;
}

auto ClaimedExecution::perform(const claims::AwaitAttemptEnd &action) -> claims::Event
{
    recordEvent("wait", action.agent_.name_, toString(action.attempt_));
    const auto mailbox = std::make_shared<AttemptEventQueue>();
    services_.upstreams_->openAttempt(action.attempt_, action.agent_, request_.tier_, false, mailbox);
    auto outcome = voided(action.agent_, action.attempt_, *mailbox, Clock::now() + claimedResponseTimeout, true);
    services_.upstreams_->closeAttempt(action.attempt_);
    return outcome;
}

auto ClaimedExecution::voided(const NodeId &agent, const AttemptId &attempt, AttemptEventQueue &mailbox,
    TimePoint deadline, bool untilEnd) -> claims::Event
{
    if (const auto failure = services_.upstreams_->send(agent, wire::Void {.attempt_ = attempt})) {
        return unreachable(agent, failure->reason_);
    }
    while (const auto event = mailbox.pop(deadline)) {
        if (const auto *lost = std::get_if<LinkLost>(&*event)) {
            return unreachable(agent, lost->failure_.reason_);
        }
        if (std::holds_alternative<LinkReconnected>(*event)) {
            static_cast<void>(services_.upstreams_->send(agent, wire::Void {.attempt_ = attempt}));
        }
        const auto *answer = std::get_if<wire::Voided>(&*event);
        if (answer == nullptr) {
            continue;
        }
        if (answer->runState_ == RunState::NotRun) {
            return claims::AttemptVoided {};
        }
        if (answer->runState_ == RunState::Ran) {
            return claims::AttemptRan {.response_ = claimAnswer(answer->response_)};
        }
        if (!untilEnd) {
            return claims::AttemptRunning {};
        }
    }
    return untilEnd ? claims::Event(claims::DeadlineExceeded {})
                    : unreachable(agent, "the agent did not answer in time");
}

} // namespace jasminewood::router
