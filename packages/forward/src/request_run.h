#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "event_splitter.h"
#include "jasminewood/core/result.h"
#include "jasminewood/forward/admission.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/retry_decision.h"
#include "jasminewood/http/client.h"

// One request of a caller, from its arrival to the end of its answer, on the thread of the caller's connection.

namespace jasminewood::forward
{

// An attempt whose answer has begun.
struct Begun
{
    const http::ResponseHead head_;
    const ResponseMetadata facts_;
};

// An attempt without a usable answer. A genuine answer that reports a failure may still be passed on.
struct Lost
{
    const Failure failure_;
    const std::optional<http::BufferedResponse> answer_;
};

class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(Frontend &front, const http::Request &request);
    ~RequestRun();

    RequestRun(const RequestRun &) = delete;
    auto operator=(const RequestRun &) -> RequestRun & = delete;

    auto answer() -> http::Response;

private:
    auto forward(const AdmittedRequest &admitted) -> http::Response;
    auto wanted() const -> SelectionRequest;
    // Chooses an upstream and sends the request there; sets assignment_ and exchange_.
    auto begin(const AdmittedRequest &admitted) -> Status;
    auto awaitAnswer(const AdmittedRequest &admitted) -> std::variant<http::Response, Lost>;
    auto judge(const http::ResponseHead &head) -> std::variant<Begun, Lost>;
    auto deliver(const Begun &begun, const AdmittedRequest &admitted) -> std::variant<http::Response, Lost>;
    auto whole() -> Result<std::string>;
    auto streamed(const Begun &begun, const AdmittedRequest &admitted) -> http::Response;
    auto nextPiece(const AdmittedRequest &admitted) -> http::StreamEvent;
    // Waits for data of the stream; fails with step "stall" if a resumable one brings none for too long.
    auto awaitPiece(const AdmittedRequest &admitted) -> Result<std::optional<std::string>>;
    // After a loss, continues the stream at another upstream after the last complete event. Returns whether it did.
    auto resume(const AdmittedRequest &admitted) -> bool;
    // Ends the attempt without a usable answer.
    auto lost(const Failure &failure, AttemptResult result,
        const std::optional<http::BufferedResponse> &answer = std::nullopt) -> Lost;
    // Ends the attempt after a failure of its connection or a wrong answer.
    auto broken(const Failure &failure) -> Lost;
    auto note(const Lost &lost) -> void;
    auto mayTryAgain(const AdmittedRequest &admitted) -> bool;
    auto giveUp() -> http::Response;
    auto release(AttemptResult result) -> void;
    auto refuse(const Refusal &refusal) -> http::Response;
    auto finish(const std::string &outcome, int status, const observe::Fields &more = {}) -> void;
    auto remaining() const -> Milliseconds;

    Frontend &front_;
    const http::Request request_;
    const TimePoint arrivedAt_;
    const RequestMetadata demand_;
    const std::shared_ptr<const routes::RouteTable> table_;
    TimePoint deadline_;
    std::string service_;
    std::string route_;
    std::uint32_t urgency_ = 0;
    std::uint32_t started_ = 0;
    std::uint32_t sent_ = 0;
    std::optional<Lost> last_;
    std::vector<std::string> tried_;
    // The attempt that is under way, and the last one for the log.
    std::optional<Assignment> assignment_;
    std::optional<Assignment> chosen_;
    // The load that the last answer stated: running, waiting, slots, slowness.
    std::string load_;
    std::unique_ptr<http::ClientRequest> order_;
    std::unique_ptr<http::Exchange> exchange_;
    // When the answer began, and when the last piece of a stream came.
    std::optional<TimePoint> firstAt_;
    std::optional<TimePoint> lastPieceAt_;
    Clock::duration longestPause_ = Clock::duration::zero();
    internal::EventSplitter events_;
    // Bytes of the body that went to the caller.
    std::size_t bytes_ = 0;
    bool finished_ = false;
};

} // namespace jasminewood::forward
