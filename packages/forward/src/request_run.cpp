#include "request_run.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "answers.h"
#include "fields.h"
#include "jasminewood/core/overloaded.h"

namespace jasminewood::forward
{

namespace
{

constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr int firstError = 500;

// Upstreams are near; a connection that takes longer goes to a VM that is gone.
constexpr Milliseconds connectLimit = Milliseconds(400);
// A resumable stream without any data for this time goes on elsewhere, before its caller gives up.
constexpr Milliseconds stallLimit = Milliseconds(1'200);
constexpr int begunStatus = 200;
// An upstream that acknowledges nothing for this time is gone, or the connection is silent.
constexpr Milliseconds silenceLimit = Milliseconds(2'000);
// When a request without any upstream may be sent again.
constexpr Milliseconds noUpstreamRetryAfter = Milliseconds(500);
// A process that has just started learns the configuration and the upstreams within a few round trips to the store.
constexpr Milliseconds startupWait = Milliseconds(500);
// A caller that asks again on a new connection is led to another process.
constexpr Milliseconds otherProcessRetryAfter = Milliseconds(50);

auto milliseconds(Clock::duration time) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

} // namespace

RequestRun::RequestRun(Frontend &front, const http::Request &request)
    : front_(front)
    , request_(request)
    , arrivedAt_(Clock::now())
    , demand_(front.dialect_.parseRequestMetadata_(request))
    , table_(front.configuration_->awaitCurrent(arrivedAt_ + startupWait))
{
}

RequestRun::~RequestRun()
{
    release(AttemptResult::Cancelled);
    finish("caller left", http::closeWithoutResponse);
}

auto RequestRun::remaining() const -> Milliseconds
{
    return std::chrono::floor<Milliseconds>(deadline_ - Clock::now());
}

auto RequestRun::answer() -> http::Response
{
    if (front_.refusesRequests()) {
        return refuse({.status_ = unavailable,
            .code_ = "stopping",
            .message_ = "this process stops",
            .retryAfter_ = otherProcessRetryAfter});
    }
    front_.upstreams_->awaitLoaded(arrivedAt_ + startupWait);
    if (!table_) {
        return refuse({.status_ = unavailable,
            .code_ = "no_configuration",
            .message_ = "this process has no configuration yet",
            .retryAfter_ = noUpstreamRetryAfter});
    }
    const auto admission = admit(*table_, demand_, request_.requestTarget_, front_.configuration_->keysConfirmed());
    if (const auto *refusal = std::get_if<Refusal>(&admission)) {
        return refuse(*refusal);
    }
    return forward(std::get<AdmittedRequest>(admission));
}

auto RequestRun::forward(const AdmittedRequest &admitted) -> http::Response
{
    deadline_ = arrivedAt_ + admitted.timeout_ - front_.options_.deadlineMargin_;
    route_ = admitted.route_->name_;
    urgency_ = admitted.enginePriority_;
    service_
        = routes::chooseService(*admitted.route_, XXH3_64bits(demand_.requestId_.data(), demand_.requestId_.size()));
    front_.countRequest(service_);
    front_.upstreams_->pool().recordArrival(wanted(), arrivedAt_);
    do {
        if (const auto failure = begin(admitted)) {
            if (last_) {
                return giveUp();
            }
            return refuse({.status_ = unavailable,
                .code_ = "no_upstream",
                .message_ = failure->reason_,
                .retryAfter_ = noUpstreamRetryAfter});
        }
        const auto outcome = awaitAnswer(admitted);
        if (const auto *response = std::get_if<http::Response>(&outcome)) {
            return *response;
        }
    } while (mayTryAgain(admitted));
    return giveUp();
}

auto RequestRun::wanted() const -> SelectionRequest
{
    const auto *service = table_->findService(service_);
    return {.service_ = service_,
        .route_ = route_,
        .prompt_ = demand_.prompt_,
        .engineCacheTokens_
        = service != nullptr && service->engineCapacity_ ? service->engineCapacity_->kvCacheTokens_ : 0,
        .excludedUpstreams_ = tried_};
}

auto RequestRun::begin(const AdmittedRequest &admitted) -> Status
{
    const auto now = Clock::now();
    const auto chosen = front_.upstreams_->pool().choose(wanted(), now);
    if (!chosen) {
        return chosen.failure();
    }
    assignment_.emplace(*chosen);
    chosen_.emplace(*chosen);
    const auto &upstream = chosen->upstream_;
    tried_.push_back(upstream.id_);
    const auto order = UpstreamRequestMetadata {.upstreamId_ = upstream.id_,
        .account_ = admitted.account_ == nullptr ? "" : admitted.account_->name_,
        .remainingTime_ = std::max(Milliseconds(1), remaining()),
        .enginePriority_ = admitted.enginePriority_,
        .hasPriority_ = demand_.prompt_.has_value(),
        .lastEventId_ = events_.lastId()};
    exchange_.reset();
    order_ = std::make_unique<http::ClientRequest>(http::ClientRequest {.method_ = request_.method_,
        .url_ = "http://" + upstream.address_ + "/",
        .headers_ = front_.dialect_.makeUpstreamHeaders_(internal::endToEnd(request_.fields_), order),
        .body_ = request_.body_,
        .connectTimeout_ = connectLimit,
        .timeout_ = Milliseconds(0),
        .deadPeerTimeout_ = silenceLimit,
        .retryable_ = false,
        .omitDefaultHeaders_ = true,
        .requestTarget_ = request_.requestTarget_,
        .watchedDescriptor_ = request_.callerDescriptor_});
    exchange_ = std::make_unique<http::Exchange>(*order_);
    return std::nullopt;
}

auto RequestRun::lost(const Failure &failure, AttemptResult result, const std::optional<http::BufferedResponse> &answer)
    -> Lost
{
    auto loss = Lost {.failure_ = failure, .answer_ = answer};
    note(loss);
    exchange_.reset();
    release(result);
    return loss;
}

auto RequestRun::broken(const Failure &failure) -> Lost
{
    const auto abandoned = failure.step_ == "caller" || failure.step_ == "wait";
    return lost(failure, abandoned ? AttemptResult::Cancelled : AttemptResult::Failed);
}

auto RequestRun::awaitAnswer(const AdmittedRequest &admitted) -> std::variant<http::Response, Lost>
{
    const auto head = exchange_->head(deadline_);
    if (!head) {
        return broken(head.failure());
    }
    const auto verdict = judge(*head);
    if (const auto *loss = std::get_if<Lost>(&verdict)) {
        return *loss;
    }
    return deliver(std::get<Begun>(verdict), admitted);
}

auto RequestRun::judge(const http::ResponseHead &head) -> std::variant<Begun, Lost>
{
    const auto facts = front_.dialect_.parseResponseMetadata_(head);
    auto &pool = front_.upstreams_->pool();
    if (facts.load_) {
        load_ = fmt::format("{},{},{},{:.2f}", facts.load_->running_, facts.load_->waiting_, facts.load_->slots_,
            facts.load_->slowness_);
        pool.recordLoadReport(assignment_->upstream_.id_, *facts.load_, Clock::now());
    }
    const auto problem = [this, &head](RunState state, const std::string &reason) {
        return Failure {.step_ = "answer",
            .peer_ = assignment_->upstream_.address_,
            .reason_ = fmt::format("status {}: {}", head.status_, reason),
            .runState_ = state};
    };
    if (!facts.requestId_.empty() && facts.requestId_ != demand_.requestId_) {
        return broken(problem(RunState::MayHaveRun, "the answer belongs to another request"));
    }
    if (facts.misdirected_ || facts.notRun_) {
        const auto *reason = facts.misdirected_ ? "another upstream has this address" : "the upstream refused";
        return lost(problem(RunState::NotRun, reason),
            facts.misdirected_ ? AttemptResult::AddressReused : AttemptResult::Answered);
    }
    if (!facts.authentic_) {
        return broken(problem(RunState::MayHaveRun, "the answer is not one of the service"));
    }
    firstAt_ = Clock::now();
    pool.recordResponseStart(*assignment_, *firstAt_);
    front_.seconds_->observe(std::chrono::duration<double>(Clock::now() - arrivedAt_).count());
    return Begun {.head_ = head, .facts_ = facts};
}

auto RequestRun::deliver(const Begun &begun, const AdmittedRequest &admitted) -> std::variant<http::Response, Lost>
{
    if (begun.facts_.isEventStream_) {
        return streamed(begun, admitted);
    }
    const auto body = whole();
    if (!body) {
        return broken(body.failure());
    }
    const auto answer = http::BufferedResponse {
        .status_ = begun.head_.status_, .headers_ = internal::endToEnd(begun.head_.fields_), .body_ = *body};
    if (begun.head_.status_ >= firstError && allowsRerun(*admitted.route_)) {
        return lost({.step_ = "answer",
                        .peer_ = assignment_->upstream_.address_,
                        .reason_ = fmt::format("status {}", begun.head_.status_),
                        .runState_ = RunState::Ran},
            AttemptResult::Answered, answer);
    }
    exchange_.reset();
    release(AttemptResult::Answered);
    bytes_ = body->size();
    finish("answered", begun.head_.status_);
    return answer;
}

auto RequestRun::whole() -> Result<std::string>
{
    auto body = std::string();
    while (true) {
        const auto piece = exchange_->next(deadline_);
        if (!piece) {
            return piece.failure();
        }
        if (!*piece) {
            return body;
        }
        body += **piece;
    }
}

auto RequestRun::streamed(const Begun &begun, const AdmittedRequest &admitted) -> http::Response
{
    const auto self = shared_from_this();
    return http::StreamResponse {.status_ = begun.head_.status_,
        .headers_ = internal::endToEnd(begun.head_.fields_),
        .nextEvent_ = [self, admitted] {
            return self->nextPiece(admitted);
        }};
}

auto RequestRun::awaitPiece(const AdmittedRequest &admitted) -> Result<std::optional<std::string>>
{
    const auto resumable = allowsRerun(*admitted.route_);
    const auto stalledAt = Clock::now() + stallLimit;
    auto piece = exchange_->next(resumable ? std::min(deadline_, stalledAt) : deadline_);
    if (!piece && piece.failure().step_ == "wait" && Clock::now() < deadline_) {
        return Failure {.step_ = "stall",
            .peer_ = piece.failure().peer_,
            .reason_ = "the stream brought nothing for too long",
            .runState_ = RunState::MayHaveRun};
    }
    return piece;
}

auto RequestRun::nextPiece(const AdmittedRequest &admitted) -> http::StreamEvent
{
    while (true) {
        const auto piece = awaitPiece(admitted);
        if (!piece) {
            static_cast<void>(broken(piece.failure()));
            if (!resume(admitted)) {
                finish("broken off", http::closeWithoutResponse, observe::fieldsOf(last_->failure_));
                return http::AbortStream {};
            }
            continue;
        }
        if (!*piece) {
            break;
        }
        const auto now = Clock::now();
        longestPause_ = std::max(longestPause_, now - lastPieceAt_.value_or(now));
        lastPieceAt_ = now;
        const auto events = allowsRerun(*admitted.route_) ? events_.take(**piece) : **piece;
        bytes_ += events.size();
        if (!events.empty()) {
            return http::Chunk {.data_ = events};
        }
    }
    if (const auto rest = events_.takePartial(); !rest.empty()) {
        return http::Chunk {.data_ = rest};
    }
    release(AttemptResult::Answered);
    finish("answered", begunStatus);
    return http::EndOfStream {};
}

auto RequestRun::resume(const AdmittedRequest &admitted) -> bool
{
    events_.dropPartial();
    // Without an id the stream cannot go on after what the caller has.
    while ((bytes_ == 0 || !events_.lastId().empty()) && mayTryAgain(admitted)) {
        if (begin(admitted)) {
            return false;
        }
        const auto head = exchange_->head(std::min(deadline_, Clock::now() + stallLimit));
        const auto verdict = head ? judge(*head) : std::variant<Begun, Lost>(broken(head.failure()));
        const auto *begun = std::get_if<Begun>(&verdict);
        if (begun != nullptr && begun->facts_.isEventStream_ && begun->head_.status_ == begunStatus) {
            front_.environment_->log().info("resumed a stream",
                {{"request", demand_.requestId_}, {"upstream", assignment_->upstream_.id_},
                    {"after", events_.lastId()}});
            return true;
        }
        if (begun != nullptr) {
            static_cast<void>(broken({.step_ = "resume",
                .peer_ = assignment_->upstream_.address_,
                .reason_ = fmt::format("status {}", begun->head_.status_),
                .runState_ = RunState::MayHaveRun}));
        }
    }
    return false;
}

auto RequestRun::note(const Lost &lost) -> void
{
    ++sent_;
    started_ += lost.failure_.runState_ == RunState::NotRun ? 0 : 1;
    last_.emplace(lost);
    front_.environment_->log().info("lost an attempt",
        observe::concatenate(
            {{"request", demand_.requestId_}, {"attempt", std::int64_t(sent_)},
                {"upstream", assignment_->upstream_.id_}, {"ms", milliseconds(Clock::now() - assignment_->startedAt_)}},
            observe::fieldsOf(lost.failure_)));
}

auto RequestRun::mayTryAgain(const AdmittedRequest &admitted) -> bool
{
    const auto step = decideRetry(*admitted.route_, AttemptHistory {.mayHaveRun_ = started_, .total_ = sent_});
    if (!std::holds_alternative<Retry>(step) || last_->failure_.step_ == "caller" || remaining().count() <= 0) {
        return false;
    }
    if (!front_.tryRetry(service_)) {
        front_.environment_->log().info("no retry is left",
            {{"request", demand_.requestId_}, {"service", service_}, {"attempts", std::int64_t(sent_)}});
        return false;
    }
    return true;
}

auto RequestRun::giveUp() -> http::Response
{
    const auto &failure = last_->failure_;
    if (failure.step_ == "caller") {
        finish("caller left", http::closeWithoutResponse);
        return http::BufferedResponse {.status_ = http::closeWithoutResponse};
    }
    if (last_->answer_) {
        finish("answered with a failure", last_->answer_->status_, observe::fieldsOf(failure));
        return *last_->answer_;
    }
    if (started_ == 0) {
        return refuse({.status_ = unavailable,
            .code_ = "not_run",
            .message_ = failure.reason_,
            .retryAfter_ = noUpstreamRetryAfter});
    }
    const auto status = failure.step_ == "wait" ? gatewayTimeout : badGateway;
    finish("failed", status, observe::fieldsOf(failure));
    return internal::failed(status, failure, demand_.requestId_);
}

auto RequestRun::release(AttemptResult result) -> void
{
    if (assignment_) {
        front_.upstreams_->pool().recordAttemptEnd(*assignment_, result, Clock::now());
        assignment_.reset();
    }
}

auto RequestRun::refuse(const Refusal &refusal) -> http::Response
{
    finish("refused", refusal.status_, {{"code", refusal.code_}, {"reason", refusal.message_}});
    return internal::refused(refusal, demand_.requestId_);
}

auto RequestRun::finish(const std::string &outcome, int status, const observe::Fields &more) -> void
{
    if (std::exchange(finished_, true)) {
        return;
    }
    front_.countOutcome(outcome, status);
    const auto version = table_ ? table_->configuration().version_ : 0;
    const auto age = front_.configuration_->age();
    front_.environment_->log().info(outcome,
        observe::concatenate(
            {{"request", demand_.requestId_}, {"route", route_}, {"service", service_},
                {"urgency", std::int64_t(urgency_)}, {"status", std::int64_t(status)},
                {"attempts", std::int64_t(tried_.size())}, {"upstream", tried_.empty() ? "" : tried_.back()},
                {"version", version}, {"version_age_ms", age ? age->count() : -1}, {"bytes", std::int64_t(bytes_)},
                {"shared_part",
                    demand_.prompt_ && demand_.prompt_->segments_.size() > 1
                        ? fmt::format("{:x}", demand_.prompt_->segments_[demand_.prompt_->segments_.size() - 2].id_)
                        : ""},
                {"unread_tokens", std::int64_t(chosen_ ? chosen_->prefillTokens_ : 0)},
                {"unread_before", std::int64_t(chosen_ ? chosen_->queuedPrefillTokens_ : 0)},
                {"busy", std::int64_t(chosen_ ? chosen_->requestsInFlight_ : 0)},
                {"report_age_ms", chosen_ ? chosen_->loadReportAge_.count() : -1}, {"load", load_},
                {"first_ms", firstAt_ ? milliseconds(*firstAt_ - arrivedAt_) : -1},
                {"longest_pause_ms", milliseconds(longestPause_)}, {"ms", milliseconds(Clock::now() - arrivedAt_)}},
            more));
}

} // namespace jasminewood::forward
