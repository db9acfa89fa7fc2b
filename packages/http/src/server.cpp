#include "jasminewood/http/server.h"

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection.h"

namespace jasminewood::http
{

namespace
{

constexpr int listenBacklog = 1024;
constexpr std::size_t connectionMemoryBytes = 64 * 1024;
constexpr std::size_t threadStackBytes = 512 * 1024;
// A body that exceeds the limit is read and discarded up to this multiple of it, so that the caller can read the
// answer; a longer one is cut off.
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
    const auto enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
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

// Body of a request while it arrives.
struct Upload
{
    std::string target_;
    std::string body_;
    bool begun_ = false;
    std::size_t received_ = 0;
    bool answered_ = false;
};

} // namespace

class Server::State
{
public:
    State(const ServerOptions &options, Handler handler, int socket)
        : options_(options)
        , handler_(std::move(handler))
        , socket_(socket)
        , port_(portOf(socket))
    {
    }

    auto run() -> bool
    {
        daemon_ = MHD_start_daemon(
            MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | MHD_USE_ITC, 0, nullptr,
            nullptr, &State::onRequest, this, MHD_OPTION_LISTEN_SOCKET, socket_, MHD_OPTION_CONNECTION_LIMIT,
            options_.maximumConnections_, MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds(),
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes,
            MHD_OPTION_NOTIFY_COMPLETED, &State::onCompleted, this, MHD_OPTION_URI_LOG_CALLBACK, &State::onTarget, this,
            MHD_OPTION_END);
        return daemon_ != nullptr;
    }

    auto port() const -> std::uint16_t
    {
        return port_;
    }

    auto closeAfterAnswers() -> void
    {
        closing_ = true;
    }

    auto quiesce() -> void
    {
        closing_ = true;
        const auto lock = std::scoped_lock(lifeMutex_);
        if (daemon_ != nullptr && !std::exchange(quiesced_, true)) {
            MHD_quiesce_daemon(daemon_);
            // The polling thread may still use the descriptor, so it is closed only after the daemon has stopped.
            shutdown(socket_, SHUT_RDWR);
        }
    }

    auto waitIdle(Milliseconds timeout) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return idle_.wait_for(lock, timeout, [this] {
            return active_ == 0;
        });
    }

    auto stop() -> void
    {
        quiesce();
        const auto lock = std::scoped_lock(lifeMutex_);
        if (daemon_ != nullptr) {
            MHD_stop_daemon(daemon_);
            daemon_ = nullptr;
            close(socket_);
        }
    }

private:
    auto idleSeconds() const -> unsigned
    {
        return unsigned(options_.idleTimeout_.count());
    }

    static auto onRequest(void *self, MHD_Connection *connection, const char *path, const char *method,
        const char * /*version*/, const char *data, std::size_t *size, void **context) -> MHD_Result
    {
        return static_cast<State *>(self)->advance(connection, path, method, data, *size, *context);
    }

    // Called with the request target as received; the result becomes the context of the request.
    static auto onTarget(void * /*self*/, const char *target, MHD_Connection * /*connection*/) -> void *
    {
        return new Upload {.target_ = target};
    }

    static auto onCompleted(
        void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode /*reason*/) -> void
    {
        static_cast<State *>(self)->complete(connection, *context);
    }

    auto advance(MHD_Connection *connection, const char *path, const char *method, const char *data, std::size_t &size,
        void *&context) -> MHD_Result
    {
        auto &upload = *static_cast<Upload *>(context);
        if (!upload.begun_) {
            return begin(connection, upload);
        }
        if (size > 0) {
            return take(upload, data, size);
        }
        if (upload.answered_) {
            return MHD_YES;
        }
        upload.answered_ = true;
        if (upload.received_ > options_.maximumBodyBytes_) {
            return refuse(connection);
        }
        // Neither a slow handler nor a pause in a stream is idleness of the caller.
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
        const auto response
            = answer(internal::requestOf(connection, method, path, std::move(upload.target_), std::move(upload.body_)));
        return internal::send(connection, response, closing_);
    }

    auto begin(MHD_Connection *connection, Upload &upload) -> MHD_Result
    {
        upload.begun_ = true;
        const auto declared = std::strtoull(internal::headerOf(connection, "Content-Length").c_str(), nullptr, 10);
        const auto asksFirst = !internal::headerOf(connection, "Expect").empty();
        {
            const auto lock = std::scoped_lock(mutex_);
            ++active_;
        }
        const auto tooLarge = declared > options_.maximumBodyBytes_;
        const auto refused = tooLarge && (asksFirst || declared > options_.maximumBodyBytes_ * discardFactor);
        upload.answered_ = refused;
        limitUnsentTime(connection);
        if (internal::ambiguousLength(connection)) {
            upload.answered_ = true;
            return internal::send(
                connection, internal::errorResponse(400, "the length of the body is ambiguous"), true);
        }
        return refused ? refuse(connection) : MHD_YES;
    }

    // Ends the connection of a caller that accepts no data, since the idle timeout is off while a response is sent.
    auto limitUnsentTime(MHD_Connection *connection) const -> void
    {
        const auto limit = unsigned(Milliseconds(options_.idleTimeout_).count());
        setsockopt(internal::socketOf(connection), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    }

    auto take(Upload &upload, const char *data, std::size_t &size) const -> MHD_Result
    {
        upload.received_ += size;
        if (upload.received_ <= options_.maximumBodyBytes_) {
            upload.body_.append(data, size);
        } else {
            upload.body_.clear();
        }
        size = 0;
        return upload.received_ > options_.maximumBodyBytes_ * discardFactor ? MHD_NO : MHD_YES;
    }

    auto refuse(MHD_Connection *connection) const -> MHD_Result
    {
        const auto message = fmt::format("the body exceeds the limit of {} bytes", options_.maximumBodyBytes_);
        return internal::send(connection, internal::errorResponse(413, message), true);
    }

    auto answer(const Request &request) const -> Response
    {
        try {
            return handler_(request);
        } catch (...) {
            return internal::errorResponse(500, "the request could not be handled");
        }
    }

    auto complete(MHD_Connection *connection, void *&context) -> void
    {
        if (context == nullptr) {
            return;
        }
        const auto upload = std::unique_ptr<Upload>(static_cast<Upload *>(context));
        context = nullptr;
        if (!upload->begun_) {
            return;
        }
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, idleSeconds());
        const auto lock = std::scoped_lock(mutex_);
        --active_;
        idle_.notify_all();
    }

    const ServerOptions options_;
    const Handler handler_;
    const int socket_;
    const std::uint16_t port_;
    std::atomic<bool> closing_ = false;
    std::mutex lifeMutex_;
    MHD_Daemon *daemon_ = nullptr;
    bool quiesced_ = false;
    std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t active_ = 0;
};

auto Server::start(const ServerOptions &options, Handler handler) -> Result<std::shared_ptr<Server>>
{
    const auto socket = listenOn(options);
    if (!socket) {
        return socket.failure();
    }
    auto state = std::make_unique<State>(options, std::move(handler), *socket);
    if (!state->run()) {
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

auto Server::closeAfterResponses() -> void
{
    state_->closeAfterAnswers();
}

auto Server::stopAccepting() -> void
{
    state_->quiesce();
}

auto Server::waitIdle(Milliseconds timeout) -> bool
{
    return state_->waitIdle(timeout);
}

auto Server::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::http
