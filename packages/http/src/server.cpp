#include "jasminewood/http/server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection.h"
#include "receiving_bodies.h"

namespace jasminewood::http
{

namespace
{

constexpr int listenBacklog = 1024;
constexpr std::size_t threadStackBytes = 512 * 1024;
constexpr std::size_t libraryMessageBytes = 256;
constexpr auto idleTimeoutMargin = Milliseconds(1'000);
// After a response to a part of a body, as much as this is read and discarded at least, in bytes. A server that accepts
// no bodies still has to read what has arrived, so that closing the connection does not reset it.
constexpr std::size_t minimumDiscardedBytes = std::size_t(64) * 1024;
// After the response to a body that exceeds the limit, up to this multiple of the limit is read and discarded, so that
// the caller can read the response.
constexpr std::size_t discardFactor = 16;

auto bindFailure(const ServerOptions &options, const std::string &reason) -> Failure
{
    return Failure {.step_ = "bind", .peer_ = fmt::format("{}:{}", options.address_, options.port_), .reason_ = reason};
}

auto listenOn(const ServerOptions &options) -> Result<int>
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port_);
    if (inet_pton(AF_INET, options.address_.c_str(), &address.sin_addr) != 1) {
        return bindFailure(options, "not a numeric IPv4 address");
    }
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto enable = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (socket < 0 || bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(socket, listenBacklog) != 0) {
        const auto reason = std::string(std::strerror(errno));
        close(socket);
        return bindFailure(options, reason);
    }
    return socket;
}

auto portOf(int socket) -> std::uint16_t
{
    auto address = sockaddr_in {};
    auto size = socklen_t(sizeof(address));
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

// The address and port of a peer; 0 if there is none.
struct Peer
{
    const std::uint32_t address_ = 0;
    const std::uint16_t port_ = 0;

    auto operator<=>(const Peer &) const = default;
};

struct OpenConnection
{
    const int socket_ = -1;
    const Peer peer_;
    const TimePoint openedAt_;

    auto operator<=>(const OpenConnection &) const = default;
};

// The connections that are still to be closed by their responses.
struct PendingCloses
{
    const std::size_t connections_ = 0;
    const TimePoint openedBefore_;

    auto operator<=>(const PendingCloses &) const = default;
};

auto peerOf(int socket) -> Peer
{
    auto address = sockaddr_in {};
    auto size = socklen_t(sizeof(address));
    const auto known = getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    return known ? Peer {.address_ = address.sin_addr.s_addr, .port_ = address.sin_port} : Peer {};
}

// A text with the memory that is reserved for it.
struct KeptText
{
    const std::string text_;
    const std::shared_ptr<Reservation> reservation_;
};

// Makes a body whose memory is released with its last copy.
auto keepBody(std::string text, std::shared_ptr<Reservation> reservation) -> Body
{
    const auto kept
        = std::make_shared<const KeptText>(KeptText {.text_ = std::move(text), .reservation_ = std::move(reservation)});
    return Body(std::shared_ptr<const std::string>(kept, &kept->text_));
}

// Returns the response to a request whose body is refused for a reason other than its size.
auto refusalOf(EndReason reason) -> BufferedResponse
{
    constexpr auto retryAfterSeconds = "1";
    if (reason == EndReason::BodyTooSlow) {
        return internal::errorResponse(408, "the body arrives too slowly", RunState::NotRun);
    }
    const auto error = internal::errorResponse(503, "there is no memory for the body", RunState::NotRun);
    auto headers = error.headers_;
    headers.push_back({.name_ = "Retry-After", .value_ = retryAfterSeconds});
    return BufferedResponse {.status_ = error.status_, .headers_ = headers, .body_ = error.body_};
}

// The memory of a body whose length is not declared is reserved in these steps, in bytes.
constexpr std::size_t reservationStepBytes = std::size_t(64) * 1024;

// Makes the connection's thread find the end of the data once it has read what has arrived. The thread may have closed
// the descriptor, and another one may have opened it for something else, so a duplicate is compared with the peer.
auto shutDownReceiving(const OpenConnection &connection) -> void
{
    const auto duplicate = fcntl(connection.socket_, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
        return;
    }
    if (peerOf(duplicate) == connection.peer_) {
        shutdown(duplicate, SHUT_RD);
    }
    close(duplicate);
}

// Returns the reason for a request that ended without a decision of the server itself; empty for one that is complete.
auto endReason(MHD_RequestTerminationCode code) -> std::optional<EndReason>
{
    switch (code) {
    case MHD_REQUEST_TERMINATED_COMPLETED_OK:
        return std::nullopt;
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
        return EndReason::IdleTimeout;
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
        return EndReason::Shutdown;
    case MHD_REQUEST_TERMINATED_READ_ERROR:
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
        return EndReason::CallerClosed;
    default:
        return EndReason::ConnectionFailed;
    }
}

// Returns whether the message of libmicrohttpd 0.9.75 says that a new connection was closed. There is no callback for
// this event.
auto reportsRefusedConnection(const std::string &message) -> bool
{
    return message.starts_with("Server reached connection limit")
        || message.starts_with("Failed to create a new thread") || message.starts_with("Failed to create a thread");
}

} // namespace

auto toString(EndReason reason) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 14> {"handler closed", "handler threw", "stream aborted",
        "stream threw", "body too large", "head too large", "no body memory", "body stalled", "body too slow",
        "idle timeout", "shutdown", "caller closed", "connection failed", "no room"};
    return names.at(std::size_t(reason));
}

auto isRefusedBody(EndReason reason) -> bool
{
    return reason == EndReason::BodyTooLarge || reason == EndReason::NoBodyMemory || reason == EndReason::BodyStalled
        || reason == EndReason::BodyTooSlow;
}

using internal::PendingRequest;

class Server::State
{
public:
    State(const ServerOptions &options, Handler handler, UnservedListener onUnserved, LimitsSource limits,
        AdmissionCheck check, int socket)
        : options_(options)
        , handler_(std::move(handler))
        , onUnserved_(std::move(onUnserved))
        , limits_(std::move(limits))
        , check_(std::move(check))
        , bodies_(options.maximumBodyMemory_)
        , socket_(socket)
        , port_(portOf(socket))
    {
    }

    auto start() -> bool
    {
        daemon_ = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL
                | MHD_USE_ITC | MHD_USE_ERROR_LOG,
            0, nullptr, nullptr, &State::onRequest, this, MHD_OPTION_EXTERNAL_LOGGER, &State::onLibraryMessage, this,
            MHD_OPTION_LISTEN_SOCKET, socket_, MHD_OPTION_CONNECTION_LIMIT, options_.maximumConnections_,
            MHD_OPTION_NOTIFY_CONNECTION, &State::onConnection, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            maximumHeaderBytes, MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes, MHD_OPTION_NOTIFY_COMPLETED,
            &State::onCompleted, this, MHD_OPTION_URI_LOG_CALLBACK, &State::onRequestTarget, this, MHD_OPTION_END);
        return daemon_ != nullptr;
    }

    auto port() const -> std::uint16_t
    {
        return port_;
    }

    auto connectionCount() -> unsigned
    {
        const auto lock = std::scoped_lock(daemonMutex_);
        const auto *info
            = daemon_ == nullptr ? nullptr : MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
        return info == nullptr ? 0 : info->num_connections;
    }

    auto bodyBytes() const -> std::size_t
    {
        return bodies_.reservedBytes();
    }

    auto closeAfterResponses() -> void
    {
        closeConnections_ = true;
    }

    auto closeAfterResponses(std::size_t connections, TimePoint openedBefore) -> std::size_t
    {
        const auto lock = std::scoped_lock(mutex_);
        pendingCloses_.emplace(PendingCloses {.connections_ = connections, .openedBefore_ = openedBefore});
        const auto eligible
            = std::count_if(connections_.begin(), connections_.end(), [openedBefore](const auto &entry) {
                  return entry.second.openedAt_ < openedBefore;
              });
        return std::min(connections, std::size_t(eligible));
    }

    auto stopAccepting() -> void
    {
        closeConnections_ = true;
        const auto lock = std::scoped_lock(daemonMutex_);
        if (daemon_ != nullptr && !std::exchange(acceptingStopped_, true)) {
            MHD_quiesce_daemon(daemon_);
            // The polling thread may still use the descriptor, so it is closed only after the daemon has stopped.
            shutdown(socket_, SHUT_RDWR);
        }
    }

    auto waitUntilIdle(Milliseconds timeout) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return becameIdle_.wait_for(lock, timeout, [this] {
            return activeRequests_ == 0;
        });
    }

    auto closeConnections(Milliseconds timeout) -> bool
    {
        stopAccepting();
        auto lock = std::unique_lock(mutex_);
        for (const auto &entry : connections_) {
            shutDownReceiving(entry.second);
        }
        return allClosed_.wait_for(lock, timeout, [this] {
            return connections_.empty();
        });
    }

    auto stop() -> void
    {
        stopAccepting();
        const auto lock = std::scoped_lock(daemonMutex_);
        if (daemon_ != nullptr) {
            MHD_stop_daemon(daemon_);
            daemon_ = nullptr;
            close(socket_);
        }
    }

private:
    auto currentLimits() const -> ConnectionLimits
    {
        return limits_
            ? limits_()
            : ConnectionLimits {.maximumBodyBytes_ = options_.maximumBodyBytes_, .idleTimeout_ = options_.idleTimeout_};
    }

    // Applies the idle timeout in force. A request that the caller sent just before its end must still be served, so a
    // timeout that was told to the caller is exceeded by a margin.
    auto startIdleTime(MHD_Connection *connection) const -> void
    {
        const auto timeout = currentLimits().idleTimeout_ + (limits_ ? idleTimeoutMargin : Milliseconds(0));
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
            unsigned(std::chrono::ceil<std::chrono::seconds>(timeout).count()));
    }

    // Returns what the next response on the connection says of it.
    auto persistence(MHD_Connection *connection) -> internal::Persistence
    {
        if (closeConnections_ || takePendingClose(connection)) {
            return {.close_ = true};
        }
        const auto seconds = std::chrono::floor<std::chrono::seconds>(currentLimits().idleTimeout_).count();
        return {.keepAlive_ = limits_ && seconds > 0 ? fmt::format("timeout={}", seconds) : ""};
    }

    // Returns whether the connection is one of those to be closed, and counts it as closed.
    auto takePendingClose(MHD_Connection *connection) -> bool
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = connections_.find(connection);
        if (!pendingCloses_ || pendingCloses_->connections_ == 0 || found == connections_.end()
            || found->second.openedAt_ >= pendingCloses_->openedBefore_) {
            return false;
        }
        const auto remaining = pendingCloses_->connections_ - 1;
        pendingCloses_.emplace(
            PendingCloses {.connections_ = remaining, .openedBefore_ = pendingCloses_->openedBefore_});
        return true;
    }

    static auto onConnection(
        void *self, MHD_Connection *connection, void ** /*context*/, MHD_ConnectionNotificationCode event) -> void
    {
        if (event == MHD_CONNECTION_NOTIFY_STARTED) {
            static_cast<State *>(self)->addConnection(connection);
        } else {
            static_cast<State *>(self)->removeConnection(connection);
        }
    }

    auto addConnection(MHD_Connection *connection) -> void
    {
        startIdleTime(connection);
        const auto socket = internal::socketOf(connection);
        const auto lock = std::scoped_lock(mutex_);
        connections_.emplace(
            connection, OpenConnection {.socket_ = socket, .peer_ = peerOf(socket), .openedAt_ = Clock::now()});
    }

    auto removeConnection(MHD_Connection *connection) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        connections_.erase(connection);
        allClosed_.notify_all();
    }

    static auto onRequest(void *self, MHD_Connection *connection, const char *path, const char *method,
        const char * /*version*/, const char *data, std::size_t *size, void **context) -> MHD_Result
    {
        return static_cast<State *>(self)->processRequest(connection, path, method, data, *size, *context);
    }

    // Called with the request target as received; the returned object becomes the context of the request.
    static auto onRequestTarget(void * /*self*/, const char *target, MHD_Connection *connection) -> void *
    {
        return new PendingRequest {.target_ = target, .arrival_ = internal::arrivalOfLastData(connection)};
    }

    static auto onCompleted(void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code)
        -> void
    {
        static_cast<State *>(self)->finishRequest(connection, *context, code);
    }

    // Called with printf's arguments.
    static auto onLibraryMessage(void *self, const char *format, va_list arguments) -> void
    {
        auto text = std::array<char, libraryMessageBytes>();
        const auto length = std::vsnprintf(text.data(), text.size(), format, arguments);
        auto message = std::string(text.data(), std::min(std::size_t(std::max(length, 0)), text.size() - 1));
        if (reportsRefusedConnection(message)) {
            static_cast<State *>(self)->reportUnserved({.reason_ = EndReason::NoRoom, .detail_ = std::move(message)});
        }
    }

    auto reportUnserved(const UnservedRequest &request) const -> void
    {
        if (onUnserved_) {
            onUnserved_(request);
        }
    }

    auto processRequest(MHD_Connection *connection, const char *path, const char *method, const char *data,
        std::size_t &size, void *&context) -> MHD_Result
    {
        auto &pending = *static_cast<PendingRequest *>(context);
        if (!pending.headersReceived_) {
            return beginRequest(connection, path, method, pending);
        }
        if (size > 0) {
            return appendBody(connection, pending, data, size);
        }
        if (pending.responseDecided_) {
            return MHD_YES;
        }
        auto reservation = std::shared_ptr<Reservation>();
        if (pending.bodyId_) {
            reservation = bodies_.complete(*pending.bodyId_);
            if (!reservation) {
                return MHD_NO;
            }
        }
        pending.responseDecided_ = true;
        pending.complete_ = true;
        // A slow handler or a pause in a stream must not count towards the idle timeout of the caller.
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
        const auto body = keepBody(std::move(pending.body_), std::move(reservation));
        const auto response
            = callHandler(internal::makeRequest(connection, method, path, pending, body), *pending.progress_);
        if (const auto *buffered = std::get_if<BufferedResponse>(&response)) {
            pending.responseResource_ = buffered->resource_;
        }
        return internal::queueResponse(connection, response, persistence(connection), pending.progress_);
    }

    auto beginRequest(MHD_Connection *connection, const char *path, const char *method, PendingRequest &pending)
        -> MHD_Result
    {
        pending.headersReceived_ = true;
        const auto limits = currentLimits();
        pending.maximumBodyBytes_ = limits.maximumBodyBytes_;
        {
            const auto lock = std::scoped_lock(mutex_);
            ++activeRequests_;
        }
        limitUnacknowledgedTime(connection);
        if (internal::hasAmbiguousLength(connection)) {
            pending.responseDecided_ = true;
            return internal::queueResponse(connection,
                internal::errorResponse(400, "the length of the body is ambiguous", RunState::NotRun), {.close_ = true},
                pending.progress_);
        }
        if (internal::headerBytes(connection) > limits.maximumHeaderBytes_) {
            pending.responseDecided_ = true;
            pending.progress_->reason_ = EndReason::HeadTooLarge;
            const auto message = fmt::format("the head exceeds the limit of {} bytes", limits.maximumHeaderBytes_);
            return internal::queueResponse(connection, internal::errorResponse(431, message, RunState::NotRun),
                {.close_ = true}, pending.progress_);
        }
        const auto declaredBytes = internal::declaredBodyBytes(connection);
        if (declaredBytes.value_or(0) > limits.maximumBodyBytes_) {
            return rejectBody(connection, pending);
        }
        if (check_ && declaredBytes.value_or(limits.maximumBodyBytes_) > uncheckedBodyBytes) {
            if (const auto refusal = checkAdmission(internal::makeRequest(connection, method, path, pending, {}))) {
                pending.refused_ = true;
                return respondAndClose(connection, pending, *refusal, pending.maximumBodyBytes_);
            }
        }
        if (declaredBytes == std::size_t(0)) {
            return MHD_YES;
        }
        limitPause(connection, limits.idleTimeout_);
        pending.bodyId_ = bodies_.begin(internal::socketOf(connection), Clock::now());
        return declaredBytes ? reserveBody(connection, pending, *declaredBytes) : MHD_YES;
    }

    // Ends the connection of a caller that sends nothing of its body for too long.
    auto limitPause(MHD_Connection *connection, Milliseconds idleTimeout) const -> void
    {
        if (idleTimeout > internal::maximumBodyPause) {
            MHD_set_connection_option(
                connection, MHD_CONNECTION_OPTION_TIMEOUT, unsigned(internal::maximumBodyPause.count()));
        }
    }

    // Reserves memory for a body of this size in all, or refuses the request.
    auto reserveBody(MHD_Connection *connection, PendingRequest &pending, std::size_t bodyBytes) -> MHD_Result
    {
        const auto refusal = bodies_.reserve(*pending.bodyId_,
            {.bytes_ = bodyBytes - pending.reservedBytes_, .largestBodyBytes_ = pending.maximumBodyBytes_},
            Clock::now());
        if (refusal) {
            return refuseBody(connection, pending, *refusal);
        }
        pending.reservedBytes_ = bodyBytes;
        // Memory is resident only once it is written. So a body without a declared length that is not small gets the
        // longest possible buffer, rather than a larger one and a copy with each step.
        const auto isDeclared = internal::declaredBodyBytes(connection).has_value();
        pending.body_.reserve(isDeclared || bodyBytes <= smallBodyBytes ? bodyBytes : pending.maximumBodyBytes_);
        return MHD_YES;
    }

    // Refuses a request while its body arrives. A stalled one has its response already.
    auto refuseBody(MHD_Connection *connection, PendingRequest &pending, EndReason reason) -> MHD_Result
    {
        pending.progress_->reason_ = reason;
        return reason == EndReason::BodyStalled
            ? MHD_NO
            : respondAndClose(connection, pending, refusalOf(reason), pending.maximumBodyBytes_);
    }

    // If the check throws, the handler decides on the request.
    auto checkAdmission(const Request &request) const -> std::optional<BufferedResponse>
    {
        try {
            return check_(request);
        } catch (...) {
            return std::nullopt;
        }
    }

    // Closes the connection of a caller that acknowledges no data. The idle timeout does not do so, because it is off
    // while a response is sent.
    auto limitUnacknowledgedTime(MHD_Connection *connection) const -> void
    {
        const auto limit = unsigned(Milliseconds(options_.idleTimeout_).count());
        setsockopt(internal::socketOf(connection), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    }

    auto appendBody(MHD_Connection *connection, PendingRequest &pending, const char *data, std::size_t &size)
        -> MHD_Result
    {
        // Without an entry the request has its response already.
        if (!pending.bodyId_) {
            return MHD_NO;
        }
        const auto bodyBytes = pending.body_.size() + size;
        if (bodyBytes > pending.maximumBodyBytes_) {
            return rejectBody(connection, pending);
        }
        if (const auto refusal = bodies_.recordReceived(*pending.bodyId_, size, Clock::now())) {
            return refuseBody(connection, pending, *refusal);
        }
        if (bodyBytes > pending.reservedBytes_) {
            const auto steps = (bodyBytes + reservationStepBytes - 1) / reservationStepBytes;
            const auto reserved = std::min(steps * reservationStepBytes, pending.maximumBodyBytes_);
            if (const auto result = reserveBody(connection, pending, reserved); result != MHD_YES) {
                return result;
            }
        }
        pending.body_.append(data, size);
        size = 0;
        return MHD_YES;
    }

    // Responds and closes the connection.
    auto rejectBody(MHD_Connection *connection, PendingRequest &pending) -> MHD_Result
    {
        const auto message = fmt::format("the body exceeds the limit of {} bytes", pending.maximumBodyBytes_);
        pending.progress_->reason_ = EndReason::BodyTooLarge;
        return respondAndClose(connection, pending, internal::errorResponse(413, message, RunState::NotRun),
            pending.maximumBodyBytes_ * discardFactor);
    }

    // Responds to a request whose body has not been read, and frees what has been received of it.
    auto respondAndClose(MHD_Connection *connection, PendingRequest &pending, const BufferedResponse &response,
        std::size_t discardedBytes) -> MHD_Result
    {
        if (endBody(pending)) {
            // Another thread has responded.
            return MHD_NO;
        }
        pending.progress_->begun_ = true;
        std::string().swap(pending.body_);
        internal::respondDuringBody(connection, response, std::max(discardedBytes, minimumDiscardedBytes));
        return MHD_NO;
    }

    // Releases the memory of a body that is not complete. Returns whether it was refused as stalled.
    auto endBody(PendingRequest &pending) -> bool
    {
        const auto refused = pending.bodyId_ && bodies_.end(*pending.bodyId_);
        if (refused) {
            pending.progress_->reason_ = EndReason::BodyStalled;
            pending.progress_->begun_ = true;
        }
        return refused;
    }

    auto callHandler(const Request &request, internal::ResponseProgress &progress) const -> Response
    {
        try {
            return handler_(request);
        } catch (const std::exception &exception) {
            progress.detail_ = exception.what();
        } catch (...) {
            progress.detail_ = "unknown exception";
        }
        progress.reason_ = EndReason::HandlerThrew;
        // The handler may have passed the request on before it threw.
        return internal::errorResponse(500, "the request could not be handled", RunState::MayHaveRun);
    }

    auto finishRequest(MHD_Connection *connection, void *&context, MHD_RequestTerminationCode code) -> void
    {
        if (context == nullptr) {
            return;
        }
        const auto pending = std::unique_ptr<PendingRequest>(static_cast<PendingRequest *>(context));
        context = nullptr;
        endBody(*pending);
        const auto &progress = *pending->progress_;
        if (const auto reason = progress.reason_ ? progress.reason_ : endReason(code); reason && !pending->refused_) {
            reportUnserved({.reason_ = *reason,
                .target_ = pending->target_,
                .requestRead_ = pending->complete_,
                .responseBegun_ = progress.begun_,
                .streamedBytes_ = progress.streamedBytes_,
                .detail_ = progress.detail_});
        }
        if (!pending->headersReceived_) {
            return;
        }
        startIdleTime(connection);
        const auto lock = std::scoped_lock(mutex_);
        --activeRequests_;
        becameIdle_.notify_all();
    }

    const ServerOptions options_;
    const Handler handler_;
    const UnservedListener onUnserved_;
    const LimitsSource limits_;
    const AdmissionCheck check_;
    internal::ReceivingBodies bodies_;
    const int socket_;
    const std::uint16_t port_;
    std::atomic<bool> closeConnections_ = false;
    std::mutex daemonMutex_;
    MHD_Daemon *daemon_ = nullptr;
    bool acceptingStopped_ = false;
    std::mutex mutex_;
    std::condition_variable becameIdle_;
    std::condition_variable allClosed_;
    std::size_t activeRequests_ = 0;
    std::map<MHD_Connection *, OpenConnection> connections_;
    std::optional<PendingCloses> pendingCloses_;
};

auto Server::start(const ServerOptions &options, Handler handler, UnservedListener onUnserved, LimitsSource limits,
    AdmissionCheck check) -> Result<std::shared_ptr<Server>>
{
    const auto socket = listenOn(options);
    if (!socket) {
        return socket.failure();
    }
    auto state = std::make_unique<State>(
        options, std::move(handler), std::move(onUnserved), std::move(limits), std::move(check), *socket);
    if (!state->start()) {
        close(*socket);
        return bindFailure(options, "the HTTP server did not start");
    }
    return std::shared_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Server::~Server()
{
    stop();
}

auto Server::port() const -> std::uint16_t
{
    return state_->port();
}

auto Server::connectionCount() const -> unsigned
{
    return state_->connectionCount();
}

auto Server::bodyBytes() const -> std::size_t
{
    return state_->bodyBytes();
}

auto Server::closeAfterResponses() -> void
{
    state_->closeAfterResponses();
}

auto Server::closeAfterResponses(std::size_t connections, TimePoint openedBefore) -> std::size_t
{
    return state_->closeAfterResponses(connections, openedBefore);
}

auto Server::stopAccepting() -> void
{
    state_->stopAccepting();
}

auto Server::waitUntilIdle(Milliseconds timeout) -> bool
{
    return state_->waitUntilIdle(timeout);
}

auto Server::closeConnections(Milliseconds timeout) -> bool
{
    return state_->closeConnections(timeout);
}

auto Server::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::http
