#include "response_writer.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <exception>
#include <iterator>
#include <string_view>
#include <variant>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/http/client.h"
#include "socket_io.h"

namespace jasminewood::http::internal
{

namespace
{

// A caller that has got a response during its body has this long to close the connection.
constexpr auto maximumLingerTime = Milliseconds(2'000);

// A body of at most this size is sent together with its head, in bytes.
constexpr std::size_t joinedBodyBytes = std::size_t(64) * 1024;

constexpr auto statusOk = 200;
constexpr auto statusNoContent = 204;
constexpr auto statusNotModified = 304;
constexpr auto largestStatus = 999;

constexpr std::string_view lastChunk = "0\r\n\r\n";

auto reasonPhrase(int status) -> std::string
{
    namespace beast = boost::beast::http;
    const auto known = beast::int_to_status(unsigned(status));
    if (known == beast::status::unknown) {
        return "Unknown";
    }
    const auto phrase = beast::obsolete_reason(known);
    return std::string(phrase.data(), phrase.size());
}

// Returns the current time as a Date field has it (RFC 9110, 5.6.7).
auto currentDate() -> std::string
{
    auto text = std::array<char, 64>();
    auto parts = std::tm {};
    const auto now = std::time(nullptr);
    const auto length = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", gmtime_r(&now, &parts));
    return std::string(text.data(), length);
}

// The server itself sets the fields that frame a response and those that concern its connection. A field with a line
// break would add lines to the head.
auto isPassedOn(const HeaderField &field) -> bool
{
    constexpr auto ownFields = std::array<std::string_view, 3> {"Connection", "Content-Length", "Transfer-Encoding"};
    const auto isOwn = std::any_of(ownFields.begin(), ownFields.end(), [&field](std::string_view name) {
        return isSameFieldName(field.name_, name);
    });
    constexpr auto lineBreaks = std::string_view("\r\n\0", 3);
    return !isOwn && !field.name_.empty() && field.name_.find_first_of(lineBreaks) == std::string::npos
        && field.value_.find_first_of(lineBreaks) == std::string::npos;
}

auto addField(std::string &head, std::string_view name, std::string_view value) -> void
{
    fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name, value);
}

// Returns the head of a response. The framing is a complete line with its end, or empty.
auto responseHead(int status, const std::vector<HeaderField> &headers, const std::string &framing,
    const Persistence &persistence) -> std::string
{
    auto head = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    if (!findHeader(headers, "Date")) {
        addField(head, "Date", currentDate());
    }
    for (const auto &field : headers) {
        if (isPassedOn(field)) {
            addField(head, field.name_, field.value_);
        }
    }
    if (persistence.close_) {
        addField(head, "Connection", "close");
    } else if (persistence.isHttp10_) {
        addField(head, "Connection", "Keep-Alive");
    }
    if (!persistence.keepAlive_.empty()) {
        addField(head, "Keep-Alive", persistence.keepAlive_);
    }
    return head + framing + "\r\n";
}

auto lengthField(std::size_t bytes) -> std::string
{
    return fmt::format("Content-Length: {}\r\n", bytes);
}

auto hasNoBody(int status) -> bool
{
    return status == statusNoContent || status == statusNotModified;
}

// Returns whether a handler may give this status to a response. Interim ones (RFC 9110, 15.2) are no responses.
auto isFinalStatus(int status) -> bool
{
    return status >= statusOk && status <= largestStatus;
}

auto statusOf(const Response &response) -> int
{
    return std::visit(
        [](const auto &typed) {
            return typed.status_;
        },
        response);
}

// Calls onClosed_ of a stream when it goes out of scope.
class StreamCloser
{
public:
    explicit StreamCloser(const Response &response)
        : stream_(std::get_if<StreamResponse>(&response))
    {
    }

    ~StreamCloser()
    {
        if (stream_ == nullptr || !stream_->onClosed_) {
            return;
        }
        try {
            stream_->onClosed_();
        } catch (...) { // The stream has ended anyway.
        }
    }

    StreamCloser(const StreamCloser &) = delete;
    auto operator=(const StreamCloser &) -> StreamCloser & = delete;

private:
    const StreamResponse *const stream_;
};

} // namespace

ResponseWriter::ResponseWriter(int socket, Milliseconds timeout, bool isHead, ResponseProgress &progress)
    : socket_(socket)
    , timeout_(timeout)
    , isHead_(isHead)
    , progress_(progress)
{
}

auto ResponseWriter::write(const Response &response, const Persistence &persistence) -> bool
{
    const auto closer = StreamCloser(response);
    const auto status = statusOf(response);
    if (status == closeWithoutResponse) {
        progress_.reason_ = EndReason::HandlerClosed;
        return false;
    }
    if (!isFinalStatus(status)) {
        progress_.reason_ = EndReason::ConnectionFailed;
        progress_.detail_ = fmt::format("the handler's response has the status {}", status);
        return false;
    }
    const auto visitor = Overloaded {
        [this, &persistence](const BufferedResponse &buffered) {
            return writeBuffered(buffered, persistence);
        },
        [this, &persistence](const StreamResponse &stream) {
            return writeStream(stream, persistence);
        },
    };
    return std::visit(visitor, response);
}

auto ResponseWriter::writeBuffered(const BufferedResponse &response, const Persistence &persistence) -> bool
{
    const auto framing = hasNoBody(response.status_) ? std::string() : lengthField(response.body_.size());
    auto head = responseHead(response.status_, response.headers_, framing, persistence);
    const auto body = isHead_ || hasNoBody(response.status_) ? std::string_view() : std::string_view(response.body_);
    if (body.size() <= joinedBodyBytes) {
        return send(head.append(body)) && !persistence.close_;
    }
    return send(head) && send(body) && !persistence.close_;
}

auto ResponseWriter::writeStream(const StreamResponse &response, const Persistence &persistence) -> bool
{
    const auto hasBody = !isHead_ && !hasNoBody(response.status_);
    // To a caller that knows no chunks, the end of the connection is the end of the body.
    const auto isChunked = !persistence.isHttp10_;
    const auto closes = persistence.close_ || !isChunked;
    const auto framing = isChunked && !hasNoBody(response.status_) ? "Transfer-Encoding: chunked\r\n" : "";
    const auto head = responseHead(response.status_, response.headers_, framing,
        {.close_ = closes, .isHttp10_ = persistence.isHttp10_, .keepAlive_ = persistence.keepAlive_});
    if (hasBody && !isChunked) {
        // The caller takes a graceful close for the end of the body.
        setCloseMode(socket_, CloseMode::Reset);
    }
    return send(head) && (!hasBody || writeEvents(response, isChunked)) && !closes;
}

auto ResponseWriter::writeEvents(const StreamResponse &response, bool isChunked) -> bool
{
    try {
        auto state = StreamState::Open;
        while (state == StreamState::Open) {
            state = writeEvent(response.nextEvent_(), isChunked);
        }
        return state == StreamState::Complete;
    } catch (const std::exception &exception) {
        progress_.detail_ = exception.what();
    } catch (...) {
        progress_.detail_ = "unknown exception";
    }
    progress_.reason_ = EndReason::StreamThrew;
    return false;
}

auto ResponseWriter::writeEvent(const StreamEvent &event, bool isChunked) -> StreamState
{
    const auto visitor = Overloaded {
        [this, isChunked](const Chunk &chunk) {
            return writeChunk(chunk.data_, isChunked) ? StreamState::Open : StreamState::Failed;
        },
        [this, isChunked](const EndOfStream & /*event*/) {
            return endBody(isChunked) ? StreamState::Complete : StreamState::Failed;
        },
        [this](const AbortStream & /*event*/) {
            progress_.reason_ = EndReason::StreamAborted;
            return StreamState::Failed;
        },
    };
    return std::visit(visitor, event);
}

auto ResponseWriter::endBody(bool isChunked) -> bool
{
    if (isChunked) {
        return send(lastChunk);
    }
    setCloseMode(socket_, CloseMode::Graceful);
    return true;
}

auto ResponseWriter::writeChunk(const std::string &data, bool isChunked) -> bool
{
    // An empty chunk would end the body.
    if (data.empty()) {
        return true;
    }
    progress_.streamedBytes_ += data.size();
    return isChunked ? send(fmt::format("{:x}\r\n{}\r\n", data.size(), data)) : send(data);
}

auto ResponseWriter::send(std::string_view text) -> bool
{
    progress_.begun_ = true;
    if (sendAll(socket_, text, timeout_)) {
        return true;
    }
    progress_.reason_ = EndReason::ConnectionFailed;
    return false;
}

auto responseText(const BufferedResponse &response) -> std::string
{
    const auto head
        = responseHead(response.status_, response.headers_, lengthField(response.body_.size()), {.close_ = true});
    return head + response.body_;
}

auto respondDuringBody(int socket, const BufferedResponse &response, std::size_t discardedBytes) -> void
{
    const auto deadline = Clock::now() + maximumLingerTime;
    sendAll(socket, responseText(response), maximumLingerTime);
    shutdown(socket, SHUT_WR);
    discardReceived(socket, discardedBytes, deadline);
}

auto errorResponse(int status, const std::string &message, RunState runState) -> BufferedResponse
{
    return BufferedResponse {.status_ = status,
        .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}},
        .body_ = fmt::format(
            R"({{"error":{{"message":"{}","code":{},"run_state":"{}"}}}})", message, status, toString(runState))};
}

} // namespace jasminewood::http::internal
