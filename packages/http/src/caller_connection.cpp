#include "caller_connection.h"

#include <algorithm>
#include <cctype>
#include <exception>
#include <map>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/http/client.h"
#include "jasminewood/http/hang_up.h"
#include "request_framing.h"
#include "request_target.h"

namespace jasminewood::http::internal
{

namespace
{

// A connection is kept this much longer than its caller was told: a request that was sent just before the end of that
// time must still be served.
constexpr auto idleTimeoutMargin = Milliseconds(1'000);

// After a response to a request that has not been read to its end, as much as this is read and discarded at least, in
// bytes. A server that accepts no bodies still has to read what has arrived, so that closing the connection does not
// reset it.
constexpr std::size_t minimumDiscardedBytes = std::size_t(64) * 1024;

// The memory of a header field in all copies of a request that is being handled, in bytes, beside its text; and the
// number of copies of a text that is longer than std::string holds itself.
constexpr std::size_t fieldMemoryBytes = 400;
constexpr std::size_t textCopies = 6;

// A head that takes at most this much memory reserves none, in bytes.
constexpr std::size_t uncheckedHeadMemoryBytes = std::size_t(64) * 1024;

constexpr auto interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

auto headMemoryBytes(const RequestHead &head) -> std::size_t
{
    return head.fields_.size() * fieldMemoryBytes + head.bytes_ * textCopies;
}

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    return text;
}

auto fieldsByLowerName(const std::vector<HeaderField> &fields) -> std::map<std::string, std::string>
{
    auto byName = std::map<std::string, std::string>();
    for (const auto &field : fields) {
        byName.insert_or_assign(lowerCase(field.name_), field.value_);
    }
    return byName;
}

} // namespace

CallerConnection::CallerConnection(ServerContext &server, int socket)
    : server_(server)
    , socket_(socket)
    , buffer_(socket)
    , idleTimeout_(idleTimeout())
{
    const auto enable = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    // Closes the connection of a caller that acknowledges no data.
    const auto limit = unsigned(Milliseconds(server.options_.idleTimeout_).count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

auto CallerConnection::serve() -> void
{
    while (serveNext()) {
        idleTimeout_ = idleTimeout();
    }
}

auto CallerConnection::serveNext() -> bool
{
    buffer_.release();
    auto parser = RequestParser();
    const auto maximumHeadBytes = server_.currentLimits().maximumHeaderBytes_;
    const auto outcome = receiveHead(socket_, buffer_, parser, maximumHeadBytes, idleTimeout_);
    const auto visitor = Overloaded {
        [this, &parser](const ReceivedHead &received) {
            return serveHead(received, parser);
        },
        [this](const RefusedHead &refused) {
            refuseHead(refused);
            return false;
        },
        [this](const PartialHead &partial) {
            reportPartialHead(partial);
            return false;
        },
    };
    return std::visit(visitor, outcome);
}

auto CallerConnection::serveHead(const ReceivedHead &received, RequestParser &parser) -> bool
{
    auto request = CurrentRequest {
        .head_ = received.head_, .arrival_ = received.arrival_, .limits_ = server_.currentLimits(), .parser_ = parser};
    server_.connections_.beginRequest();
    const auto remainsOpen = serveRequest(request);
    finish(request);
    return remainsOpen;
}

auto CallerConnection::serveRequest(CurrentRequest &request) -> bool
{
    if (const auto refusal = checkHead(request)) {
        return refuse(request, *refusal);
    }
    return request.parser_.isComplete() ? respond(request, {}) : serveWithBody(request);
}

auto CallerConnection::serveWithBody(CurrentRequest &request) -> bool
{
    const auto received = receiveBody(request);
    const auto visitor = Overloaded {
        [this, &request](const Body &body) {
            return respond(request, body);
        },
        [this, &request](const Refusal &refusal) {
            return refuse(request, refusal);
        },
        [this, &request](const ConnectionEnd &end) {
            request.progress_.reason_ = reasonFor(end.end_);
            return false;
        },
    };
    return std::visit(visitor, received);
}

auto CallerConnection::respond(CurrentRequest &request, const Body &body) -> bool
{
    buffer_.release();
    const auto response = callHandler(makeRequest(request, body), request.progress_);
    auto writer
        = ResponseWriter(socket_, server_.options_.idleTimeout_, request.head_.method_ == "HEAD", request.progress_);
    return writer.write(response, persistence(request.head_));
}

auto CallerConnection::refuse(CurrentRequest &request, const Refusal &refusal) -> bool
{
    request.progress_.reason_ = refusal.reason_;
    request.progress_.detail_ = refusal.detail_;
    request.progress_.begun_ = true;
    if (refusal.response_) {
        respondDuringBody(socket_, *refusal.response_, std::max(refusal.discardedBytes_, minimumDiscardedBytes));
    }
    return false;
}

auto CallerConnection::reportPartialHead(const PartialHead &head) -> void
{
    if (!head.target_.empty()) {
        server_.reportUnserved({.reason_ = reasonFor(head.end_), .target_ = head.target_});
    }
}

auto CallerConnection::refuseHead(const RefusedHead &head) -> void
{
    respondDuringBody(
        socket_, *head.refusal_.response_, std::max(head.refusal_.discardedBytes_, minimumDiscardedBytes));
    server_.reportUnserved({.reason_ = *head.refusal_.reason_,
        .target_ = head.target_,
        .responseBegun_ = true,
        .detail_ = head.refusal_.detail_});
}

auto CallerConnection::checkHead(CurrentRequest &request) -> std::optional<Refusal>
{
    const auto &head = request.head_;
    const auto maximumBodyBytes = request.limits_.maximumBodyBytes_;
    if (hasAmbiguousLength(head)) {
        return malformedRefusal("the length of the body is ambiguous");
    }
    if (!head.isHttp10_ && !findHeader(head.fields_, "Host")) {
        return malformedRefusal("there is no Host field");
    }
    const auto declaredBytes = declaredBodyBytes(head);
    if (declaredBytes.value_or(0) > maximumBodyBytes) {
        return oversizedBodyRefusal(maximumBodyBytes);
    }
    if (!reserveHeadMemory(request)) {
        return refusalFor(EndReason::NoBodyMemory, maximumBodyBytes);
    }
    if (server_.check_ && declaredBytes.value_or(maximumBodyBytes) > uncheckedBodyBytes) {
        if (const auto response = checkAdmission(request)) {
            return Refusal {.response_ = response, .discardedBytes_ = maximumBodyBytes};
        }
    }
    return std::nullopt;
}

auto CallerConnection::reserveHeadMemory(CurrentRequest &request) -> bool
{
    const auto bytes = headMemoryBytes(request.head_);
    if (bytes <= uncheckedHeadMemoryBytes) {
        return true;
    }
    request.headMemory_ = std::make_shared<Reservation>(server_.bodies_.ledger());
    return request.headMemory_->tryGrow({.bytes_ = bytes, .largestBodyBytes_ = request.limits_.maximumBodyBytes_});
}

auto CallerConnection::checkAdmission(const CurrentRequest &request) -> std::optional<BufferedResponse>
{
    try {
        return server_.check_(makeRequest(request, {}));
    } catch (...) { // The handler decides on the request.
        return std::nullopt;
    }
}

auto CallerConnection::receiveBody(CurrentRequest &request) -> ReceivedBody
{
    auto receiver
        = BodyReceiver(server_.bodies_, socket_, declaredBodyBytes(request.head_), request.limits_.maximumBodyBytes_);
    if (const auto refusal = receiver.reserveDeclared()) {
        return *refusal;
    }
    const auto timeout = std::min(idleTimeout_, Milliseconds(maximumBodyPause));
    if (buffer_.data().empty() && expectsContinue(request.head_) && !sendAll(socket_, interimResponse, timeout)) {
        return ConnectionEnd {.end_ = ReceiveEnd::Failed};
    }
    return receiver.receive(buffer_, request.parser_, timeout);
}

auto CallerConnection::makeRequest(const CurrentRequest &request, const Body &body) const -> Request
{
    const auto &head = request.head_;
    auto parameters = decodeParameters(head.target_);
    auto query = joinParameters(parameters);
    return Request {.method_ = head.method_,
        .path_ = decodePath(head.target_),
        .query_ = std::move(query),
        .headers_ = fieldsByLowerName(head.fields_),
        .fields_ = head.fields_,
        .requestTarget_ = head.target_,
        .parameters_ = std::move(parameters),
        .body_ = body,
        .callerDisconnected_ =
            [socket = socket_] {
                return hasHungUp(socket);
            },
        .callerDescriptor_ = socket_,
        .arrival_ = request.arrival_};
}

auto CallerConnection::callHandler(const Request &request, ResponseProgress &progress) const -> Response
{
    try {
        return server_.handler_(request);
    } catch (const std::exception &exception) {
        progress.detail_ = exception.what();
    } catch (...) {
        progress.detail_ = "unknown exception";
    }
    progress.reason_ = EndReason::HandlerThrew;
    // The handler may have passed the request on before it threw.
    return errorResponse(500, "the request could not be handled", RunState::MayHaveRun);
}

auto CallerConnection::persistence(const RequestHead &head) -> Persistence
{
    if (server_.connections_.takeClose(socket_) || !head.keepAlive_) {
        return {.close_ = true, .isHttp10_ = head.isHttp10_};
    }
    const auto timeout = server_.currentLimits().idleTimeout_;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(timeout).count();
    return {.isHttp10_ = head.isHttp10_,
        .keepAlive_ = server_.limits_ && seconds > 0 ? fmt::format("timeout={}", seconds) : ""};
}

auto CallerConnection::idleTimeout() const -> Milliseconds
{
    return server_.currentLimits().idleTimeout_ + (server_.limits_ ? idleTimeoutMargin : Milliseconds(0));
}

auto CallerConnection::reasonFor(ReceiveEnd end) const -> EndReason
{
    if (server_.connections_.isShutDown()) {
        return EndReason::Shutdown;
    }
    return end == ReceiveEnd::Timeout ? EndReason::IdleTimeout : EndReason::CallerClosed;
}

auto CallerConnection::finish(const CurrentRequest &request) -> void
{
    const auto &progress = request.progress_;
    if (progress.reason_) {
        server_.reportUnserved({.reason_ = *progress.reason_,
            .target_ = request.head_.target_,
            .requestRead_ = request.parser_.isComplete(),
            .responseBegun_ = progress.begun_,
            .streamedBytes_ = progress.streamedBytes_,
            .detail_ = progress.detail_});
    }
    server_.connections_.endRequest();
}

} // namespace jasminewood::http::internal
