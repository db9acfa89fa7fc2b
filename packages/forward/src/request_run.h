#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "event_splitter.h"
#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/forward/admission.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/retry_decision.h"
#include "jasminewood/http/client.h"
#include "jasminewood/routing/answer_age.h"
#include "stream_progress.h"
#include "stream_version.h"

// Runs one request of a caller, from its arrival to the end of its response, on the thread of the caller's
// connection.

namespace jasminewood::forward
{

// The head of an accepted response, whose body follows.
struct StartedResponse
{
    const http::ResponseHead head_;
    const ResponseMetadata metadata_;
};

// A failed attempt. response_ is the upstream's signed error response, if it sent one; the caller gets it if no later
// attempt succeeds.
struct FailedAttempt
{
    const Failure failure_;
    const std::optional<http::BufferedResponse> response_;
};

// One attempt in flight: a request to the upstream that was chosen for it.
struct Attempt
{
    const Assignment assignment_;
    std::unique_ptr<http::ClientRequest> request_ = nullptr;
    std::unique_ptr<http::Exchange> exchange_ = nullptr;
    // The memory of its response. Shared with the response that is sent to the caller.
    std::shared_ptr<ResponseHold> hold_ = nullptr;
    routing::AnswerAge answerAge_ = {};
    // Whether its response ends with its connection, so that the end of the upstream's process looks the same.
    bool endsWithConnection_ = false;
    // Whether its response is accepted as the caller's stream.
    bool isRelayed_ = false;
    // The progress of its stream; for one that resumes a stream, counted from its start.
    std::optional<internal::StreamProgress> progress_ = std::nullopt;
    // Data that was received and is not passed on yet.
    std::optional<std::string> unreadData_ = std::nullopt;
};

class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(Frontend &frontend, const http::Request &request);
    ~RequestRun();

    RequestRun(const RequestRun &) = delete;
    auto operator=(const RequestRun &) -> RequestRun & = delete;

    auto handle() -> http::Response;

    // Returns the refusal of a request whose body has not been read, or nothing if the body is needed. handle() is
    // called for another run then, which admits the request again and records its outcome.
    auto refuseBeforeBody() -> std::optional<http::BufferedResponse>;

private:
    // Decides whether the request may be forwarded, by its header section.
    auto admitRequest() -> std::variant<AdmittedRequest, Refusal>;
    auto forward(const AdmittedRequest &admitted) -> http::Response;
    // Returns the refusal of a request that arrives during a planned stop; empty if it is forwarded.
    auto refusalDuringStop(const routes::Route &route) const -> std::optional<Refusal>;
    // Sets service_, and fixes the version at which the stream began that the request resumes. Refuses the request if
    // that is not known, or if the route does not lead there or allow resumption any more.
    auto chooseService(const routes::Route &route) -> std::optional<Refusal>;
    auto versionCriterion() const -> VersionCriterion;
    // Returns the software versions at which a stream may begin that may be resumed.
    auto newStreamVersions() const -> AllowedVersions;
    // Returns whether an upstream of the version that is not ejected may run the next attempt.
    auto hasUpstreamOf(const std::string &version) const -> bool;
    auto selectionCriteria(const AdmittedRequest &admitted) const -> SelectionCriteria;
    // Chooses an upstream and sends the request to it; sets attempt_. Fails if there is no upstream.
    auto startAttempt(const AdmittedRequest &admitted) -> Status;
    auto awaitResponse(const AdmittedRequest &admitted) -> std::variant<http::Response, FailedAttempt>;
    auto checkResponseHead(const http::ResponseHead &head) -> std::variant<StartedResponse, FailedAttempt>;
    auto relayResponse(const StartedResponse &started, const AdmittedRequest &admitted)
        -> std::variant<http::Response, FailedAttempt>;
    // Reads the body of a response with this head. Fails if it exceeds a limit.
    auto readBody(const http::ResponseHead &head) -> Result<std::string>;
    // Makes a failure of the attempt in flight whose response broke a rule.
    auto responseFailure(const std::string &reason) const -> Failure;
    auto streamLimits(const AdmittedRequest &admitted) const -> internal::StreamLimits;
    auto relayStream(const StartedResponse &started, const AdmittedRequest &admitted) -> http::Response;
    auto nextStreamEvent(const AdmittedRequest &admitted) -> http::StreamEvent;
    // Returns the complete events of the stream with further data. Fails if the incomplete one takes too much memory.
    auto splitEvents(const std::string &data) -> Result<std::string>;
    // While this router is busy, waits until some events of the stream have accumulated or its caller has left.
    auto awaitCoalescing(const AdmittedRequest &admitted) const -> void;
    // Waits for data of the stream. Fails with step "stall" if the stream makes no progress.
    auto awaitChunk() -> Result<std::optional<std::string>>;
    // Fixes the software version of the stream with the first event of an attempt. Fails if the event may be of another
    // version than the events before it.
    auto acceptFirstEvent() -> Status;
    // Called with the first event of a new stream, which the attempt in flight brought. Fails if the stream is to begin
    // anew at another version, since where it began could not be recorded.
    auto recordStreamBegin() -> Status;
    auto endStream() -> http::StreamEvent;
    // Returns why no upstream may resume the stream; empty if there is one.
    auto findUpstreamShortage(const AdmittedRequest &admitted) -> std::optional<std::string>;
    // Sends the request to another upstream, to resume the stream after the last complete event there. Fails if that
    // is not allowed or not possible.
    auto startReplacement(const AdmittedRequest &admitted) -> Status;
    // Waits for the response of an attempt that resumes the stream. Fails with step "wait" if there is none yet; after
    // any other failure the attempt has ended.
    auto awaitReplacement(const AdmittedRequest &admitted, TimePoint until) -> Status;
    // Seeks another upstream for a stream that makes no progress. The stalled attempt goes on unless a replacement is
    // found.
    auto replaceStalledAttempt(const AdmittedRequest &admitted) -> void;
    // Makes the stalled attempt the one in flight again.
    auto keepStalledAttempt(const Failure &reason) -> void;
    // Returns whether the stalled attempt has begun to respond, gone on or completed since it counted as stalled.
    auto stalledAttemptWentOn() -> bool;
    // Ends the stalled attempt in favour of the one in flight.
    auto closeStalledAttempt() -> void;
    auto logResumption() const -> void;
    // Ends the attempt without a usable response.
    auto failAttempt(const Failure &failure, AttemptResult result,
        const std::optional<http::BufferedResponse> &response = std::nullopt) -> FailedAttempt;
    // Ends the attempt without a usable response: as Cancelled if the caller disconnected (step "caller"), the deadline
    // passed (step "wait") or the stream could not be recorded (step "record"), otherwise as Failed.
    auto failAttempt(const Failure &failure) -> FailedAttempt;
    auto recordFailedAttempt(const FailedAttempt &failedAttempt) -> void;
    // Counts the request for its client account, once: at the first event of a stream, or when another response begins.
    auto recordBegan() -> void;
    // Records tokens that the attempt in flight brought, and whether its answer shows by now that the request crashes
    // no upstream.
    auto recordToken() -> void;
    // Records that an upstream has run the request to its end with a server error. It may not have read the prompt.
    auto recordServerError() -> void;
    // Records that an upstream has completed its response.
    auto recordCompletion() -> void;
    // Called when the connection of the attempt in flight ended. Records a crash of the upstream if its process has
    // ended too, and may have by this request. Returns whether it did.
    auto recordCrash() -> bool;
    // Decides whether the request is retried. If so, acquires the retry from the budget and returns true.
    auto tryAcquireRetry(const AdmittedRequest &admitted) -> bool;
    auto respondAfterFailure() -> http::Response;
    // Ends a request whose caller closed its connection, or appears to have closed it because this process ends.
    auto closeForLeftCaller() -> http::Response;
    // Responds to a request that is still in flight when this process ends.
    auto respondAtProcessEnd() -> http::Response;
    // Returns the retry delay of a request that no upstream has run. It is longer than usual if all upstreams of the
    // service want no requests for a time.
    auto retryAfterWithoutUpstream() const -> Milliseconds;
    auto endAttempt(AttemptResult result) -> void;
    auto refuse(const Refusal &refusal) -> http::BufferedResponse;
    auto recordOutcome(const std::string &outcome, int status, const observe::Fields &extraFields = {}) -> void;
    // Returns a refusal if the request may not be sent any more: its timeout has passed, such requests crash the
    // upstreams, its key or its route was taken away since it was admitted, or the keys are no longer confirmed.
    auto readmit() -> std::optional<Refusal>;
    auto remainingTime() const -> Milliseconds;

    Frontend &frontend_;
    // Without headers_, parameters_, path_ and query_.
    const http::Request request_;
    const TimePoint arrivedAt_;
    const BootTime arrivedAtBoot_;
    const TimePoint handledAt_;
    BootTime admittedAt_;
    // The total time that the request may take.
    Milliseconds timeout_ = Milliseconds(0);
    const RequestMetadata requestMetadata_;
    // The segments of the prompt that other requests may share, and the whole request once it is admitted.
    routing::RequestFeatures crashFeatures_;
    std::uint64_t fingerprint_ = 0;
    // The last crash in which an attempt was lost.
    routing::CrashId lastCrash_ = routing::noCrash;
    const std::shared_ptr<const routes::RouteTable> routeTable_;
    TimePoint deadline_;
    std::string service_;
    // Whether the response is a stream that may be resumed at another upstream.
    bool resumable_ = false;
    std::string route_;
    // The name of the client account; empty if there is none.
    std::string account_;
    bool hasBegun_ = false;
    std::uint32_t enginePriority_ = 0;
    std::uint32_t possiblyRunAttempts_ = 0;
    std::uint32_t failedAttempts_ = 0;
    std::optional<FailedAttempt> lastFailure_;
    std::vector<std::string> triedUpstreams_;
    // The attempt in flight, if any, and the stalled one for which it is to be the replacement.
    std::unique_ptr<Attempt> attempt_;
    std::unique_ptr<Attempt> stalledAttempt_;
    // The latest attempt that was started or kept; it stays after its end for the log line of the outcome.
    std::optional<Assignment> lastAssignment_;
    // The load reported with the last response, as "running,waiting,slots,slowness".
    std::string lastLoadReport_;
    // When the response started, and when the last data of a stream arrived.
    std::optional<TimePoint> responseStartedAt_;
    std::optional<TimePoint> lastChunkAt_;
    Clock::duration longestChunkGap_ = Clock::duration::zero();
    internal::EventSplitter eventSplitter_;
    internal::StreamVersion streamVersion_;
    // Whether a first event was not passed on because its stream could not be recorded.
    bool recordFailed_ = false;
    // Body bytes that were passed to the caller.
    std::size_t relayedBytes_ = 0;
    bool outcomeRecorded_ = false;
};

} // namespace jasminewood::forward
