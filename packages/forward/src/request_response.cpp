#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>

#include <fmt/format.h>

#include "end_to_end_fields.h"
#include "request_run.h"

// The part of RequestRun that checks and reads the response of an attempt.

namespace jasminewood::forward
{

namespace
{

constexpr int firstServerErrorStatus = 500;

// Returns why a response cannot be shown to be that of the request; empty if it is. On a kept connection, a response
// that names no request may be a late copy of an earlier one.
auto doubtAbout(const ResponseMetadata &response, const std::string &requestId, bool connectionReused)
    -> std::optional<std::string>
{
    if (response.requestId_.empty()) {
        return connectionReused ? std::optional<std::string>("the answer on a kept connection names no request")
                                : std::nullopt;
    }
    return response.requestId_ == requestId ? std::nullopt
                                            : std::optional<std::string>("the answer belongs to another request");
}

// Returns the length of the body that the head states; 0 if it states none that can be read.
auto declaredLength(const http::ResponseHead &head) -> std::uint64_t
{
    const auto field = http::findHeader(head.fields_, "Content-Length").value_or("");
    auto length = std::uint64_t(0);
    const auto parsed = std::from_chars(field.data(), field.data() + field.size(), length);
    return parsed.ec == std::errc::result_out_of_range ? std::numeric_limits<std::uint64_t>::max() : length;
}

// Returns whether nothing but the end of the connection ends the body.
auto endsWithConnection(const http::ResponseHead &head) -> bool
{
    return !http::findHeader(head.fields_, "Content-Length") && !http::findHeader(head.fields_, "Transfer-Encoding");
}

} // namespace

auto RequestRun::awaitResponse(const AdmittedRequest &admitted) -> std::variant<http::Response, FailedAttempt>
{
    const auto head = attempt_->exchange_->head(deadline_);
    if (!head) {
        return failAttempt(head.failure());
    }
    const auto checked = checkResponseHead(*head);
    if (const auto *failedAttempt = std::get_if<FailedAttempt>(&checked)) {
        return *failedAttempt;
    }
    return relayResponse(std::get<StartedResponse>(checked), admitted);
}

auto RequestRun::checkResponseHead(const http::ResponseHead &head) -> std::variant<StartedResponse, FailedAttempt>
{
    const auto responseMetadata = frontend_.protocolAdapter_.parseResponseMetadata_(head);
    auto &pool = frontend_.upstreams_->pool();
    const auto makeFailure = [this, &head](RunState runState, const std::string &reason) {
        return Failure {.step_ = "answer",
            .peer_ = attempt_->assignment_.upstream_.address_,
            .reason_ = fmt::format("status {}: {}", head.status_, reason),
            .runState_ = runState};
    };
    // Nothing that another response states holds for this request or its upstream.
    if (const auto doubt = doubtAbout(responseMetadata, requestMetadata_.requestId_, head.connectionReused_)) {
        return failAttempt(makeFailure(RunState::MayHaveRun, *doubt));
    }
    if (responseMetadata.load_) {
        lastLoadReport_ = fmt::format("{},{},{},{:.2f}", responseMetadata.load_->running_,
            responseMetadata.load_->waiting_, responseMetadata.load_->slots_, responseMetadata.load_->slowness_);
        pool.recordLoadReport(attempt_->assignment_.upstream_.id_, *responseMetadata.load_, Clock::now());
    }
    frontend_.upstreams_->recordAvailability(attempt_->assignment_, responseMetadata);
    if (responseMetadata.misdirected_ || responseMetadata.notRun_) {
        const auto *reason
            = responseMetadata.misdirected_ ? "another upstream has this address" : "the upstream refused";
        return failAttempt(makeFailure(RunState::NotRun, reason),
            responseMetadata.misdirected_ ? AttemptResult::Misdirected : AttemptResult::Responded);
    }
    if (!responseMetadata.hasSignature_) {
        return failAttempt(makeFailure(RunState::MayHaveRun, "the answer is not one of the service"));
    }
    if (!responseMetadata.isEventStream_) {
        recordBegan();
    }
    attempt_->endsWithConnection_ = endsWithConnection(head);
    responseStartedAt_ = Clock::now();
    pool.recordResponseStart(attempt_->assignment_, *responseStartedAt_);
    frontend_.timeToResponse_->observe(std::chrono::duration<double>(Clock::now() - arrivedAt_).count());
    return StartedResponse {.head_ = head, .metadata_ = responseMetadata};
}

auto RequestRun::relayResponse(const StartedResponse &started, const AdmittedRequest &admitted)
    -> std::variant<http::Response, FailedAttempt>
{
    if (started.metadata_.isEventStream_) {
        return relayStream(started, admitted);
    }
    const auto body = readBody(started.head_);
    if (!body) {
        return failAttempt(body.failure());
    }
    const auto response = http::BufferedResponse {.status_ = started.head_.status_,
        .headers_ = internal::endToEndFields(started.head_.fields_),
        .body_ = *body,
        .resource_ = attempt_->hold_};
    if (started.head_.status_ >= firstServerErrorStatus && allowsRerun(*admitted.route_)) {
        recordServerError();
        return failAttempt({.step_ = "answer",
                               .peer_ = attempt_->assignment_.upstream_.address_,
                               .reason_ = fmt::format("status {}", started.head_.status_),
                               .runState_ = RunState::Ran},
            AttemptResult::Responded, response);
    }
    recordToken();
    recordCompletion();
    endAttempt(AttemptResult::Responded);
    relayedBytes_ = body->size();
    recordOutcome("answered", started.head_.status_);
    return response;
}

auto RequestRun::responseFailure(const std::string &reason) const -> Failure
{
    return {.step_ = "answer",
        .peer_ = attempt_->assignment_.upstream_.address_,
        .reason_ = reason,
        .runState_ = RunState::MayHaveRun};
}

auto RequestRun::readBody(const http::ResponseHead &head) -> Result<std::string>
{
    const auto limit = frontend_.options_.maximumResponseBytes_;
    const auto tooLong = [this] {
        return responseFailure("the response exceeds the limit");
    };
    if (request_.method_ != "HEAD" && declaredLength(head) > limit) {
        return tooLong();
    }
    auto body = std::string();
    while (true) {
        const auto chunk = attempt_->exchange_->next(deadline_);
        if (!chunk) {
            return chunk.failure();
        }
        if (!*chunk) {
            return body;
        }
        const auto size = body.size() + (*chunk)->size();
        if (size > limit) {
            return tooLong();
        }
        if (size > body.capacity()) {
            const auto capacity = std::max(size, std::min(2 * body.capacity(), limit));
            if (!attempt_->hold_->tryResize(capacity)) {
                return responseFailure("the responses of all upstreams exceed their memory");
            }
            body.reserve(capacity);
        }
        body += **chunk;
    }
}

} // namespace jasminewood::forward
