#include <limits>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "error_responses.h"
#include "request_run.h"

// How a request ends: the responses that the router makes itself, and the log line of each outcome.

namespace jasminewood::forward
{

namespace
{

using internal::serviceUnavailable;
using internal::unavailableRetryAfter;

constexpr int badGateway = 502;
constexpr int gatewayTimeout = 504;

auto milliseconds(Clock::duration time) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

} // namespace

auto RequestRun::closeForLeftCaller() -> http::Response
{
    if (frontend_.endsRequests()) {
        return respondAtProcessEnd();
    }
    recordOutcome(
        "caller left", http::closeWithoutResponse, {{"reason", "the caller closed its connection before a response"}});
    return http::BufferedResponse {.status_ = http::closeWithoutResponse};
}

auto RequestRun::respondAtProcessEnd() -> http::Response
{
    const auto *message = "this process ends before the response of the upstream";
    if (possiblyRunAttempts_ == 0) {
        return refuse(stoppingRefusal(message));
    }
    const auto failure = Failure {.step_ = "stop", .reason_ = message, .runState_ = RunState::MayHaveRun};
    recordOutcome("failed", gatewayTimeout, observe::fieldsOf(failure));
    return internal::failureResponse(gatewayTimeout, failure, requestMetadata_.requestId_);
}

auto RequestRun::respondAfterFailure() -> http::Response
{
    const auto &failure = lastFailure_->failure_;
    if (failure.step_ == "caller") {
        return closeForLeftCaller();
    }
    if (lastFailure_->response_) {
        recordOutcome("answered with a failure", lastFailure_->response_->status_, observe::fieldsOf(failure));
        return *lastFailure_->response_;
    }
    if (possiblyRunAttempts_ == 0) {
        return refuse({.status_ = serviceUnavailable,
            .code_ = "not_run",
            .message_ = failure.reason_,
            .retryAfter_ = retryAfterWithoutUpstream()});
    }
    const auto status = failure.step_ == "wait" ? gatewayTimeout : badGateway;
    recordOutcome("failed", status, observe::fieldsOf(failure));
    return internal::failureResponse(status, failure, requestMetadata_.requestId_);
}

auto RequestRun::retryAfterWithoutUpstream() const -> Milliseconds
{
    const auto time = frontend_.upstreams_->pool().timeUntilAvailable(service_, Clock::now());
    const auto hash = XXH3_64bits_withSeed(requestMetadata_.requestId_.data(), requestMetadata_.requestId_.size(),
        std::uint64_t(arrivedAt_.time_since_epoch().count()));
    const auto spread = double(hash) / double(std::numeric_limits<std::uint64_t>::max());
    return time.value_or(Milliseconds(0)).count() > 0 ? routing::refusalDelay(*time, spread) : unavailableRetryAfter;
}

auto RequestRun::refuse(const Refusal &refusal) -> http::BufferedResponse
{
    recordOutcome("refused", refusal.status_, {{"code", refusal.code_}, {"reason", refusal.message_}});
    return internal::refusalResponse(refusal, requestMetadata_.requestId_);
}

auto RequestRun::recordOutcome(const std::string &outcome, int status, const observe::Fields &extraFields) -> void
{
    if (std::exchange(outcomeRecorded_, true)) {
        return;
    }
    frontend_.countOutcome(outcome, status);
    const auto version = routeTable_ ? routeTable_->configuration().version_ : 0;
    const auto newestTable = frontend_.configuration_->current();
    const auto age = frontend_.configuration_->age();
    frontend_.environment_->log().info(outcome,
        observe::concatenate(
            {{"request", requestMetadata_.requestId_}, {"resumes", requestMetadata_.resumedRequestId_},
                {"after", requestMetadata_.lastEventId_}, {"route", route_}, {"service", service_},
                {"urgency", std::int64_t(engineUrgency_)}, {"status", std::int64_t(status)},
                {"attempts", std::int64_t(triedUpstreams_.size())},
                {"class", lastAssignment_ ? deadlines::toString(lastAssignment_->deadlineClass_) : ""},
                {"wait_ms", milliseconds(waited_)}, {"upstream", lastAssignment_ ? lastAssignment_->upstream_.id_ : ""},
                {"software_version", lastAssignment_ ? lastAssignment_->upstream_.version_ : ""}, {"version", version},
                {"version_at_end", newestTable ? newestTable->configuration().version_ : 0},
                {"passed_on", !triedUpstreams_.empty()}, {"version_age_ms", age ? age->count() : -1},
                {"bytes", std::int64_t(relayedBytes_)},
                {"shared_part",
                    requestMetadata_.prompt_ && requestMetadata_.prompt_->segments_.size() > 1 ? fmt::format(
                        "{:x}", requestMetadata_.prompt_->segments_[requestMetadata_.prompt_->segments_.size() - 2].id_)
                                                                                               : ""},
                {"unread_tokens", std::int64_t(lastAssignment_ ? lastAssignment_->prefillTokens_ : 0)},
                {"unread_before", std::int64_t(lastAssignment_ ? lastAssignment_->pendingPrefillTokens_ : 0)},
                {"busy", std::int64_t(lastAssignment_ ? lastAssignment_->inFlightRequests_ : 0)},
                {"report_age_ms", lastAssignment_ ? lastAssignment_->loadReportAge_.count() : -1},
                {"load", lastLoadReport_},
                {"first_ms", responseStartedAt_ ? milliseconds(*responseStartedAt_ - arrivedAt_) : -1},
                {"longest_pause_ms", milliseconds(longestChunkGap_)}, {"ms", milliseconds(Clock::now() - arrivedAt_)}},
            extraFields));
}

auto RequestRun::recordFailedAttempt(const FailedAttempt &failedAttempt) -> void
{
    ++failedAttempts_;
    possiblyRunAttempts_ += failedAttempt.failure_.runState_ == RunState::NotRun ? 0 : 1;
    lastFailure_.emplace(failedAttempt);
    frontend_.environment_->log().info("attempt failed",
        observe::concatenate(
            {{"request", requestMetadata_.requestId_}, {"attempt", std::int64_t(failedAttempts_)},
                {"upstream", attempt_->assignment_.upstream_.id_}, {"fingerprint", fmt::format("{:x}", fingerprint_)},
                {"software_version", attempt_->assignment_.upstream_.version_},
                {"ms", milliseconds(Clock::now() - attempt_->assignment_.startedAt_)}},
            observe::fieldsOf(failedAttempt.failure_)));
}

} // namespace jasminewood::forward
