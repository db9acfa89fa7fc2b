#include "jasminewood/agent/attempt_run.h"

#include <utility>

namespace jasminewood::agent
{

AttemptRun::AttemptRun(wire::Dispatch dispatch, std::shared_ptr<link::Connection> router)
    : dispatch_(std::move(dispatch))
    , router_(std::move(router))
{
}

auto AttemptRun::dispatch() const -> const wire::Dispatch &
{
    return dispatch_;
}

auto AttemptRun::resumedDispatch() const -> wire::Dispatch
{
    const auto lock = std::lock_guard(mutex_);
    return wire::Dispatch {.attempt_ = dispatch_.attempt_,
        .expectedIncarnation_ = dispatch_.expectedIncarnation_,
        .account_ = dispatch_.account_,
        .requestClass_ = dispatch_.requestClass_,
        .tier_ = dispatch_.tier_,
        .method_ = dispatch_.method_,
        .path_ = dispatch_.path_,
        .body_ = dispatch_.body_,
        .contentType_ = dispatch_.contentType_,
        .idempotencyKey_ = dispatch_.idempotencyKey_,
        .resumable_ = dispatch_.resumable_,
        .idempotent_ = dispatch_.idempotent_,
        .crashSuspect_ = dispatch_.crashSuspect_,
        .maximumWait_ = dispatch_.maximumWait_,
        .costEstimate_ = dispatch_.costEstimate_,
        .resumeText_ = dispatch_.resumeText_ + std::string(output_.outputFrom(0)),
        .resumeTokens_ = dispatch_.resumeTokens_ + outputTokens_};
}

auto AttemptRun::createCall() -> std::shared_ptr<http::StreamCall>
{
    const auto lock = std::lock_guard(mutex_);
    currentCall_ = std::make_shared<http::StreamCall>();
    if (cancelled_) {
        currentCall_->cancel();
    }
    return currentCall_;
}

auto AttemptRun::cancelCall() -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (currentCall_) {
        currentCall_->cancel();
    }
}

auto AttemptRun::cancel() -> void
{
    const auto lock = std::lock_guard(mutex_);
    cancelled_ = true;
    if (currentCall_) {
        currentCall_->cancel();
    }
}

auto AttemptRun::cancelled() const -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return cancelled_;
}

auto AttemptRun::outputTokenCount() const -> std::uint32_t
{
    const auto lock = std::lock_guard(mutex_);
    return outputTokens_;
}

auto AttemptRun::markStarted() -> void
{
    const auto lock = std::lock_guard(mutex_);
    started_ = true;
    sendToRouter(wire::Started {.attempt_ = dispatch_.attempt_});
}

auto AttemptRun::append(std::string_view data, std::uint32_t outputTokens) -> Status
{
    const auto lock = std::lock_guard(mutex_);
    outputTokens_ = outputTokens;
    const auto offset = output_.length();
    if (const auto failure = output_.append(data)) {
        return failure;
    }
    sendToRouter(wire::Frame {.attempt_ = dispatch_.attempt_, .offset_ = offset, .data_ = std::string(data)});
    return std::nullopt;
}

auto AttemptRun::complete(const CallCompleted &outcome, TimePoint now) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto end = output_.trailer();
    finishedMessage_.emplace(wire::Finished {.attempt_ = dispatch_.attempt_,
        .length_ = end.length_,
        .digest_ = end.digest_,
        .status_ = outcome.status_,
        .contentType_ = outcome.contentType_,
        .finishReason_ = outcome.finishReason_,
        .promptTokens_ = outcome.promptTokens_,
        .outputTokens_ = outcome.outputTokens_});
    endedAt_ = now;
    sendToRouter(*finishedMessage_);
    notifyEndWaiters();
}

auto AttemptRun::fail(const Failure &failure, const std::string &crashId, std::uint32_t outputTokens, TimePoint now)
    -> void
{
    const auto lock = std::lock_guard(mutex_);
    failedMessage_.emplace(wire::Failed {
        .attempt_ = dispatch_.attempt_, .failure_ = failure, .crashId_ = crashId, .outputTokens_ = outputTokens});
    endedAt_ = now;
    sendToRouter(*failedMessage_);
    notifyEndWaiters();
}

auto AttemptRun::notifyWhenEnded(std::shared_ptr<link::Connection> router) -> void
{
    const auto lock = std::lock_guard(mutex_);
    endWaiters_.push_back(std::move(router));
    if (endedAt_) {
        notifyEndWaiters();
    }
}

auto AttemptRun::notifyEndWaiters() -> void
{
    for (const auto &router : endWaiters_) {
        static_cast<void>(router->send(makeVoided()));
    }
    endWaiters_.clear();
}

auto AttemptRun::makeVoided() const -> wire::Voided
{
    const auto notRun = failedMessage_ && failedMessage_->failure_.runState_ == RunState::NotRun;
    return wire::Voided {.attempt_ = dispatch_.attempt_,
        .runState_ = notRun ? RunState::NotRun : RunState::Ran,
        .response_ = makeResponse()};
}

auto AttemptRun::attach(std::shared_ptr<link::Connection> router, std::uint64_t offset) -> void
{
    const auto lock = std::lock_guard(mutex_);
    router_ = std::move(router);
    detachedAt_.reset();
    if (started_) {
        sendToRouter(wire::Started {.attempt_ = dispatch_.attempt_});
    }
    const auto missingOutput = output_.outputFrom(offset);
    if (!missingOutput.empty()) {
        sendToRouter(
            wire::Frame {.attempt_ = dispatch_.attempt_, .offset_ = offset, .data_ = std::string(missingOutput)});
    }
    if (finishedMessage_) {
        sendToRouter(*finishedMessage_);
    } else if (failedMessage_) {
        sendToRouter(*failedMessage_);
    }
}

auto AttemptRun::detach(const std::shared_ptr<link::Connection> &router, TimePoint now) -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (router_ == router) {
        router_.reset();
        detachedAt_ = now;
    }
}

auto AttemptRun::detachedAt() const -> std::optional<TimePoint>
{
    const auto lock = std::lock_guard(mutex_);
    return detachedAt_;
}

auto AttemptRun::endedAt() const -> std::optional<TimePoint>
{
    const auto lock = std::lock_guard(mutex_);
    return endedAt_;
}

auto AttemptRun::upstreamResponse() const -> std::optional<wire::UpstreamResponse>
{
    const auto lock = std::lock_guard(mutex_);
    return makeResponse();
}

auto AttemptRun::makeResponse() const -> std::optional<wire::UpstreamResponse>
{
    if (!finishedMessage_) {
        return std::nullopt;
    }
    return wire::UpstreamResponse {.status_ = finishedMessage_->status_,
        .contentType_ = finishedMessage_->contentType_,
        .body_ = std::string(output_.outputFrom(0))};
}

auto AttemptRun::sendToRouter(const wire::Message &message) -> void
{
    // A failed send closes the connection; the connection's thread then detaches its attempts.
    if (router_) {
        static_cast<void>(router_->send(message));
    }
}

} // namespace jasminewood::agent
