#include "connection.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstddef>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <memory>
#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>

#include "jasminewood/http/hang_up.h"

namespace jasminewood::http::internal
{

namespace
{

// The size of the buffer that libmicrohttpd passes to readStream(). Data is sent as soon as readStream() returns,
// whether or not the buffer is full.
constexpr std::size_t streamBlockBytes = 16 * 1024;
constexpr std::size_t discardBlockBytes = 16 * 1024;

// A caller that has got a response during its body has this long to close the connection.
constexpr auto maximumLingerTime = Milliseconds(2'000);

// A longer wait in the kernel is not believed.
constexpr auto maximumUnreadTime = Milliseconds(60'000);

using NamedValues = std::map<std::string, std::string>;

auto collectField(void *fields, MHD_ValueKind /*kind*/, const char *name, const char *value) -> MHD_Result
{
    static_cast<std::vector<HeaderField> *>(fields)->push_back(
        {.name_ = name, .value_ = value == nullptr ? "" : value});
    return MHD_YES;
}

auto collectHeader(void *fields, MHD_ValueKind /*kind*/, const char *name, const char *value) -> MHD_Result
{
    auto lowerName = std::string(name);
    std::transform(lowerName.begin(), lowerName.end(), lowerName.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    static_cast<NamedValues *>(fields)->insert_or_assign(lowerName, value == nullptr ? "" : value);
    return MHD_YES;
}

auto collectParameter(void *fields, MHD_ValueKind /*kind*/, const char *name, const char *value) -> MHD_Result
{
    static_cast<NamedValues *>(fields)->insert_or_assign(name, value == nullptr ? "" : value);
    return MHD_YES;
}

auto joinParameters(const NamedValues &parameters) -> std::string
{
    auto query = std::string();
    for (const auto &[name, value] : parameters) {
        query += (query.empty() ? "" : "&") + name + "=" + value;
    }
    return query;
}

// Waits until the socket reports one of the events; returns false at the deadline.
auto awaitSocket(int socket, short events, TimePoint deadline) -> bool
{
    auto poller = pollfd {.fd = socket, .events = events, .revents = 0};
    const auto remaining = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    return remaining.count() > 0 && poll(&poller, 1, int(remaining.count())) > 0;
}

auto sendAll(int socket, const std::string &text, TimePoint deadline) -> void
{
    for (auto sentBytes = std::size_t(0); sentBytes < text.size();) {
        const auto size = send(socket, text.data() + sentBytes, text.size() - sentBytes, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && (errno != EAGAIN || !awaitSocket(socket, POLLOUT, deadline))) {
            return;
        }
        sentBytes += std::size_t(std::max<ssize_t>(size, 0));
    }
}

// Reads until the peer closes, the deadline passes or so many bytes have been read.
auto discardReceived(int socket, std::size_t maximumBytes, TimePoint deadline) -> void
{
    auto buffer = std::array<char, discardBlockBytes>();
    for (auto bytes = std::size_t(0); bytes < maximumBytes && awaitSocket(socket, POLLIN, deadline);) {
        const auto size = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            return;
        }
        bytes += std::size_t(std::max<ssize_t>(size, 0));
    }
}

// The state of a streamed response between two calls of readStream().
struct StreamState
{
    const std::function<auto()->StreamEvent> nextEvent_;
    const std::function<auto()->void> onClosed_;
    const std::shared_ptr<ResponseProgress> progress_;
    std::string pending_ = {};
};

// Stores the data of a chunk in pending_ and returns 0; returns libmicrohttpd's end code for any other event.
struct StreamEventVisitor
{
    StreamState &state_;

    auto operator()(const Chunk &chunk) const -> ssize_t
    {
        state_.pending_ = chunk.data_;
        return 0;
    }

    auto operator()(const EndOfStream & /*event*/) const -> ssize_t
    {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }

    auto operator()(const AbortStream & /*event*/) const -> ssize_t
    {
        state_.progress_->reason_ = EndReason::StreamAborted;
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
};

auto readStream(void *context, std::uint64_t /*position*/, char *buffer, std::size_t size) -> ssize_t
{
    auto &state = *static_cast<StreamState *>(context);
    try {
        while (state.pending_.empty()) {
            const auto end = std::visit(StreamEventVisitor {state}, state.nextEvent_());
            if (end != 0) {
                return end;
            }
        }
    } catch (const std::exception &exception) {
        state.progress_->reason_ = EndReason::StreamThrew;
        state.progress_->detail_ = exception.what();
        return MHD_CONTENT_READER_END_WITH_ERROR;
    } catch (...) {
        state.progress_->reason_ = EndReason::StreamThrew;
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto copiedBytes = std::min(size, state.pending_.size());
    std::memcpy(buffer, state.pending_.data(), copiedBytes);
    state.pending_.erase(0, copiedBytes);
    state.progress_->streamedBytes_ += copiedBytes;
    return ssize_t(copiedBytes);
}

auto closeStream(void *context) -> void
{
    const auto state = std::unique_ptr<StreamState>(static_cast<StreamState *>(context));
    if (state->onClosed_) {
        try {
            state->onClosed_();
        } catch (...) { // The stream has ended anyway, and an exception must not reach the C library that calls this.
        }
    }
}

struct MhdResponseBuilder
{
    const std::shared_ptr<ResponseProgress> &progress_;

    auto operator()(const BufferedResponse &buffered) const -> MHD_Response *
    {
        // The response copies the body, so the data is not modified.
        auto *data = const_cast<char *>(buffered.body_.data());
        return MHD_create_response_from_buffer(buffered.body_.size(), data, MHD_RESPMEM_MUST_COPY);
    }

    auto operator()(const StreamResponse &stream) const -> MHD_Response *
    {
        auto state = std::make_unique<StreamState>(
            StreamState {.nextEvent_ = stream.nextEvent_, .onClosed_ = stream.onClosed_, .progress_ = progress_});
        return MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, streamBlockBytes, &readStream, state.release(), &closeStream);
    }
};

} // namespace

auto headerValue(MHD_Connection *connection, const char *name) -> std::string
{
    const auto *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
}

auto declaredBodyBytes(MHD_Connection *connection) -> std::optional<std::size_t>
{
    if (!headerValue(connection, MHD_HTTP_HEADER_TRANSFER_ENCODING).empty()) {
        return std::nullopt;
    }
    return std::strtoull(headerValue(connection, MHD_HTTP_HEADER_CONTENT_LENGTH).c_str(), nullptr, 10);
}

auto headerBytes(MHD_Connection *connection) -> std::size_t
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info == nullptr ? 0 : info->header_size;
}

auto socketOf(MHD_Connection *connection) -> int
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

auto hasAmbiguousLength(MHD_Connection *connection) -> bool
{
    auto fields = std::vector<HeaderField>();
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectField, &fields);
    auto lengthCount = 0;
    auto codingCount = 0;
    auto malformed = false;
    for (const auto &field : fields) {
        if (strcasecmp(field.name_.c_str(), MHD_HTTP_HEADER_CONTENT_LENGTH) == 0) {
            ++lengthCount;
            malformed = malformed || field.value_.empty()
                || field.value_.find_first_not_of("0123456789") != std::string::npos;
        }
        if (strcasecmp(field.name_.c_str(), MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0) {
            ++codingCount;
            malformed = malformed || strcasecmp(field.value_.c_str(), "chunked") != 0;
        }
    }
    return malformed || lengthCount + codingCount > 1;
}

auto arrivalOfLastData(MHD_Connection *connection) -> Arrival
{
    auto info = tcp_info {};
    auto size = socklen_t(sizeof(info));
    const auto known = getsockopt(socketOf(connection), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
    const auto waited = std::min(Milliseconds(known ? info.tcpi_last_data_recv : 0), maximumUnreadTime);
    return {.steady_ = Clock::now() - waited, .boot_ = BootClock::now() - waited};
}

auto makeRequest(MHD_Connection *connection, const char *method, const char *path, const PendingRequest &pending,
    const Body &body) -> Request
{
    auto headers = NamedValues();
    auto fields = std::vector<HeaderField>();
    auto parameters = NamedValues();
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &headers);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectField, &fields);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectParameter, &parameters);
    auto query = joinParameters(parameters);
    const auto socket = socketOf(connection);
    return Request {.method_ = method,
        .path_ = path,
        .query_ = std::move(query),
        .headers_ = std::move(headers),
        .fields_ = std::move(fields),
        .requestTarget_ = pending.target_,
        .parameters_ = std::move(parameters),
        .body_ = body,
        .callerDisconnected_ =
            [socket] {
                return hasHungUp(socket);
            },
        .callerDescriptor_ = socket,
        .arrival_ = pending.arrival_};
}

auto queueResponse(MHD_Connection *connection, const Response &response, const Persistence &persistence,
    const std::shared_ptr<ResponseProgress> &progress) -> MHD_Result
{
    auto *mhdResponse = std::visit(MhdResponseBuilder {progress}, response);
    if (mhdResponse == nullptr) {
        return MHD_NO;
    }
    const auto &[status, headers] = std::visit(
        [](const auto &typed) {
            return std::pair(typed.status_, &typed.headers_);
        },
        response);
    if (status == closeWithoutResponse) {
        MHD_destroy_response(mhdResponse);
        progress->reason_ = EndReason::HandlerClosed;
        return MHD_NO;
    }
    for (const auto &header : *headers) {
        MHD_add_response_header(mhdResponse, header.name_.c_str(), header.value_.c_str());
    }
    if (!persistence.keepAlive_.empty()) {
        MHD_add_response_header(mhdResponse, "Keep-Alive", persistence.keepAlive_.c_str());
    }
    if (persistence.close_) {
        MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const auto queued = MHD_queue_response(connection, unsigned(status), mhdResponse);
    MHD_destroy_response(mhdResponse);
    progress->begun_ = queued == MHD_YES;
    return queued;
}

auto responseText(const BufferedResponse &response) -> std::string
{
    auto text
        = fmt::format("HTTP/1.1 {} {}\r\n", response.status_, MHD_get_reason_phrase_for(unsigned(response.status_)));
    for (const auto &header : response.headers_) {
        text += fmt::format("{}: {}\r\n", header.name_, header.value_);
    }
    text += fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n{}", response.body_.size(), response.body_);
    return text;
}

auto respondDuringBody(MHD_Connection *connection, const BufferedResponse &response, std::size_t discardedBytes) -> void
{
    const auto socket = socketOf(connection);
    const auto deadline = Clock::now() + maximumLingerTime;
    sendAll(socket, responseText(response), deadline);
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
