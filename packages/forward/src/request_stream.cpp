#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "end_to_end_fields.h"
#include "jasminewood/congestion/event_coalescing.h"
#include "jasminewood/core/overloaded.h"
#include "jasminewood/http/hang_up.h"
#include "request_run.h"

// The part of RequestRun that relays streams of events.

namespace jasminewood::forward
{

namespace
{

constexpr int okStatus = 200;

// How long a stalled attempt and its replacement may run at the same time. The users' rules allow 400 ms between the
// start of the replacement and the end of the other one; the rest is for the way of the close.
constexpr auto maximumOverlap = Milliseconds(250);

// How long the first event of a stream waits until the software version at which it began is in the store.
constexpr auto maximumRecordWait = Milliseconds(500);

} // namespace

auto RequestRun::relayStream(const StartedResponse &started, const AdmittedRequest &admitted) -> http::Response
{
    const auto self = shared_from_this();
    attempt_->isRelayed_ = true;
    attempt_->progress_.emplace(streamLimits(admitted), Clock::now());
    return http::StreamResponse {.status_ = started.head_.status_,
        .headers_ = internal::endToEndFields(started.head_.fields_),
        .nextEvent_ = [self, admitted] {
            return self->nextStreamEvent(admitted);
        }};
}

auto RequestRun::streamLimits(const AdmittedRequest &admitted) const -> internal::StreamLimits
{
    const auto &options = frontend_.options_;
    const auto resumable = allowsRerun(*admitted.route_);
    return {.stallTimeout_ = resumable ? internal::resumeTimeout(*admitted.route_) : options.streamStallTimeout_,
        .maximumEventBytes_ = options.maximumEventBytes_};
}

auto RequestRun::awaitCoalescing(const AdmittedRequest &admitted) const -> void
{
    // The first event counts for the latency target of the route.
    if (!lastChunkAt_ || attempt_->unreadData_) {
        return;
    }
    const auto delay = congestion::coalescingDelay(
        admitted.route_->eventGapTarget_.value_or(Milliseconds(0)), frontend_.utilisation_);
    if (delay.count() > 0) {
        http::awaitHangUp(request_.callerDescriptor_, std::min(deadline_, *lastChunkAt_ + delay));
    }
}

auto RequestRun::awaitChunk() -> Result<std::optional<std::string>>
{
    auto &progress = *attempt_->progress_;
    const auto makeFailure = [this](const std::string &step, const std::string &reason) {
        return Failure {.step_ = step,
            .peer_ = attempt_->assignment_.upstream_.address_,
            .reason_ = reason,
            .runState_ = RunState::MayHaveRun};
    };
    // Data of the last call may have held complete events, which were passed on first.
    if (progress.exceedsEventLimit() && !attempt_->unreadData_) {
        return makeFailure("answer", "an event of the stream exceeds the limit");
    }
    const auto unreadData = std::exchange(attempt_->unreadData_, std::nullopt);
    auto chunk = unreadData ? Result<std::optional<std::string>>(unreadData)
                            : attempt_->exchange_->next(std::min(deadline_, progress.stallsAt()));
    if (!chunk && chunk.failure().step_ == "wait" && Clock::now() < deadline_) {
        return makeFailure("stall", "no event of the stream within the stall timeout");
    }
    if (chunk && !*chunk && progress.endsInsideEvent()) {
        return makeFailure("receive", "the stream ended inside an event");
    }
    if (chunk && *chunk && eventSplitter_.repeatsEvent(**chunk)) {
        return makeFailure("resume", "the resumed stream repeats an event");
    }
    if (chunk && *chunk) {
        if (!unreadData) {
            progress.record(**chunk, Clock::now());
        }
        const auto isFirstEvent = progress.hasEvent() && !attempt_->answerAge_.hasFirstToken();
        if (progress.hasEvent()) {
            recordToken();
        }
        if (isFirstEvent) {
            if (const auto failure = acceptFirstEvent()) {
                return *failure;
            }
        }
    }
    return chunk;
}

auto RequestRun::acceptFirstEvent() -> Status
{
    const auto &upstream = attempt_->assignment_.upstream_;
    const auto present = frontend_.upstreams_->pool().recordOf(upstream.id_);
    return std::visit(Overloaded {[this](const internal::StreamBegins &) -> Status {
                                      return recordStreamBegin();
                                  },
                          [](const internal::StreamGoesOn &) -> Status {
                              return std::nullopt;
                          },
                          [&upstream](const internal::EventOfOtherVersion &) -> Status {
                              return Failure {.step_ = "resume",
                                  .peer_ = upstream.address_,
                                  .reason_ = "the upstream may have another software version than the stream",
                                  .runState_ = RunState::MayHaveRun};
                          }},
        streamVersion_.recordFirstEvent(upstream, present));
}

auto RequestRun::recordStreamBegin() -> Status
{
    const auto &upstream = attempt_->assignment_.upstream_;
    if (!streamVersion_.version()) {
        frontend_.environment_->log().info("a stream began at an unknown software version",
            {{"request", requestMetadata_.requestId_}, {"upstream", upstream.id_}});
    }
    if (!resumable_) {
        return std::nullopt;
    }
    auto &origins = *frontend_.streamOrigins_;
    const auto failure = origins.recordBegin(requestMetadata_.requestId_,
        {.service_ = service_, .version_ = streamVersion_.version().value_or("")},
        std::min(deadline_, Clock::now() + maximumRecordWait), request_.callerDisconnected_);
    if (failure && failure->step_ == "caller") {
        streamVersion_.withdraw();
        return failure;
    }
    if (!failure || recordFailed_) {
        return std::nullopt;
    }
    recordFailed_ = true;
    const auto withoutRecord = origins.versionWithoutRecord(service_);
    if (!withoutRecord || !hasUpstreamOf(*withoutRecord)) {
        // The stream can begin nowhere else. It may go on as one of another version if its caller resumes it.
        frontend_.environment_->log().warning("a stream began without a record of its software version",
            {{"request", requestMetadata_.requestId_}, {"upstream", upstream.id_},
                {"software_version", upstream.version_}});
        return std::nullopt;
    }
    streamVersion_.withdraw();
    return Failure {.step_ = failure->step_,
        .peer_ = upstream.address_,
        .reason_ = failure->reason_,
        .runState_ = RunState::MayHaveRun};
}

auto RequestRun::nextStreamEvent(const AdmittedRequest &admitted) -> http::StreamEvent
{
    while (true) {
        if (!attempt_) {
            if (const auto failure = startReplacement(admitted)) {
                recordOutcome("broken off", http::closeWithoutResponse,
                    observe::concatenate(
                        observe::fieldsOf(lastFailure_->failure_), {{"not_resumed", failure->reason_}}));
                return http::AbortStream {};
            }
        }
        if (!attempt_->isRelayed_) {
            const auto failure = awaitReplacement(admitted, attempt_->progress_->stallsAt());
            if (failure && attempt_) {
                replaceStalledAttempt(admitted);
            }
            continue;
        }
        awaitCoalescing(admitted);
        const auto chunk = awaitChunk();
        if (!chunk && chunk.failure().step_ == "stall" && allowsRerun(*admitted.route_)) {
            replaceStalledAttempt(admitted);
            continue;
        }
        if (!chunk) {
            static_cast<void>(failAttempt(chunk.failure()));
            continue;
        }
        if (!*chunk) {
            return endStream();
        }
        const auto now = Clock::now();
        longestChunkGap_ = std::max(longestChunkGap_, now - lastChunkAt_.value_or(now));
        lastChunkAt_ = now;
        const auto output = allowsRerun(*admitted.route_) ? splitEvents(**chunk) : Result<std::string>(**chunk);
        if (!output) {
            static_cast<void>(failAttempt(output.failure()));
            continue;
        }
        relayedBytes_ += output->size();
        if (!output->empty()) {
            return http::Chunk {.data_ = *output};
        }
    }
}

auto RequestRun::splitEvents(const std::string &data) -> Result<std::string>
{
    if (!attempt_->hold_->tryResize(eventSplitter_.partialBytes() + data.size())) {
        return responseFailure("the responses of all upstreams exceed their memory");
    }
    auto events = eventSplitter_.split(data);
    static_cast<void>(attempt_->hold_->tryResize(eventSplitter_.partialBytes()));
    return events;
}

auto RequestRun::endStream() -> http::StreamEvent
{
    if (const auto partialEvent = eventSplitter_.takePartial(); !partialEvent.empty()) {
        return http::Chunk {.data_ = partialEvent};
    }
    const auto crashed = attempt_->endsWithConnection_ && recordCrash();
    if (!crashed) {
        recordCompletion();
    }
    endAttempt(AttemptResult::Responded);
    recordOutcome("answered", okStatus);
    return http::EndOfStream {};
}

auto RequestRun::findUpstreamShortage(const AdmittedRequest &admitted) -> std::optional<std::string>
{
    const auto &pool = frontend_.upstreams_->pool();
    if (const auto first = streamVersion_.firstUpstream()) {
        streamVersion_.recordPresentEntry(pool.recordOf(first->id_));
    }
    if (pool.hasEligibleUpstream(selectionCriteria(admitted), Clock::now())) {
        return std::nullopt;
    }
    if (!streamVersion_.hasBegun()) {
        return "there is no other upstream";
    }
    const auto version = streamVersion_.version();
    return version ? fmt::format("there is no other upstream of software version {}", *version)
                   : "the software version of the stream is not known";
}

auto RequestRun::startReplacement(const AdmittedRequest &admitted) -> Status
{
    const auto makeFailure = [](const std::string &reason) {
        return Failure {.step_ = "resume", .peer_ = "", .reason_ = reason, .runState_ = RunState::NotRun};
    };
    // A stream that has already sent data can be resumed only after an event with an id.
    if (relayedBytes_ > 0 && eventSplitter_.lastEventId().empty()) {
        return makeFailure("the stream has no event with an id");
    }
    // Neither a trial of a refused prompt nor a retry of the budget is used for a search that finds nothing.
    if (const auto shortage = findUpstreamShortage(admitted)) {
        return makeFailure(*shortage);
    }
    if (const auto refusal = readmit()) {
        return makeFailure(refusal->message_);
    }
    if (!tryAcquireRetry(admitted)) {
        return makeFailure("no further attempt is allowed");
    }
    if (auto failure = startAttempt(admitted)) {
        return failure;
    }
    if (!stalledAttempt_) {
        eventSplitter_.discardPartial();
    }
    attempt_->progress_.emplace(streamLimits(admitted), Clock::now());
    return std::nullopt;
}

auto RequestRun::awaitReplacement(const AdmittedRequest &admitted, TimePoint until) -> Status
{
    const auto head = attempt_->exchange_->head(std::min(deadline_, until));
    if (!head && head.failure().step_ == "wait" && Clock::now() < deadline_) {
        return head.failure();
    }
    const auto checked
        = head ? checkResponseHead(*head) : std::variant<StartedResponse, FailedAttempt>(failAttempt(head.failure()));
    if (const auto *failed = std::get_if<FailedAttempt>(&checked)) {
        return failed->failure_;
    }
    const auto &started = std::get<StartedResponse>(checked);
    if (!started.metadata_.isEventStream_ || started.head_.status_ != okStatus) {
        return failAttempt({.step_ = "resume",
                               .peer_ = attempt_->assignment_.upstream_.address_,
                               .reason_ = fmt::format("status {}", started.head_.status_),
                               .runState_ = RunState::MayHaveRun})
            .failure_;
    }
    attempt_->isRelayed_ = true;
    attempt_->progress_.emplace(streamLimits(admitted), Clock::now());
    if (!stalledAttempt_) {
        logResumption();
    }
    return std::nullopt;
}

auto RequestRun::replaceStalledAttempt(const AdmittedRequest &admitted) -> void
{
    frontend_.environment_->log().info("a stream stalled",
        {{"request", requestMetadata_.requestId_}, {"upstream", attempt_->assignment_.upstream_.id_},
            {"silent_ms",
                std::chrono::duration_cast<Milliseconds>(Clock::now() - attempt_->progress_->lastEventAt()).count()},
            {"after", eventSplitter_.lastEventId()}});
    stalledAttempt_ = std::move(attempt_);
    while (true) {
        if (const auto failure = startReplacement(admitted)) {
            keepStalledAttempt(*failure);
            attempt_->progress_->recordFailedSearch(Clock::now());
            return;
        }
        const auto failure = awaitReplacement(admitted, Clock::now() + maximumOverlap);
        if (!failure || attempt_) {
            break;
        }
    }
    if (stalledAttemptWentOn()) {
        const auto dropped = failAttempt({.step_ = "resume",
                                             .peer_ = attempt_->assignment_.upstream_.address_,
                                             .reason_ = "the stalled upstream went on",
                                             .runState_ = RunState::MayHaveRun},
            AttemptResult::Cancelled);
        keepStalledAttempt(dropped.failure_);
        return;
    }
    closeStalledAttempt();
}

auto RequestRun::keepStalledAttempt(const Failure &reason) -> void
{
    attempt_ = std::move(stalledAttempt_);
    lastAssignment_.emplace(attempt_->assignment_);
    frontend_.environment_->log().info("kept a stalled stream",
        observe::concatenate(
            {{"request", requestMetadata_.requestId_}, {"kept_upstream", attempt_->assignment_.upstream_.id_}},
            observe::fieldsOf(reason)));
}

auto RequestRun::stalledAttemptWentOn() -> bool
{
    if (!stalledAttempt_->isRelayed_) {
        const auto head = stalledAttempt_->exchange_->head(Clock::now());
        return !attempt_->isRelayed_ && head && head->status_ == okStatus;
    }
    auto &progress = *stalledAttempt_->progress_;
    const auto chunk = stalledAttempt_->exchange_->next(Clock::now());
    if (!chunk || !*chunk) {
        return chunk && !progress.endsInsideEvent();
    }
    const auto lastEventAt = progress.lastEventAt();
    progress.record(**chunk, Clock::now());
    stalledAttempt_->unreadData_ = **chunk;
    return progress.lastEventAt() != lastEventAt;
}

auto RequestRun::closeStalledAttempt() -> void
{
    std::swap(attempt_, stalledAttempt_);
    static_cast<void>(failAttempt({.step_ = "stall",
        .peer_ = attempt_->assignment_.upstream_.address_,
        .reason_ = "no event of the stream within the stall timeout",
        .runState_ = RunState::MayHaveRun}));
    attempt_ = std::move(stalledAttempt_);
    eventSplitter_.discardPartial();
    if (attempt_->isRelayed_) {
        logResumption();
    }
}

auto RequestRun::logResumption() const -> void
{
    frontend_.environment_->log().info("resumed a stream",
        {{"request", requestMetadata_.requestId_}, {"upstream", attempt_->assignment_.upstream_.id_},
            {"software_version", attempt_->assignment_.upstream_.version_}, {"after", eventSplitter_.lastEventId()}});
}

} // namespace jasminewood::forward
