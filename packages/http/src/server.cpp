#include "jasminewood/http/server.h"

#include <array>
#include <cstring>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <unistd.h>

#include "caller_connection.h"
#include "jasminewood/core/overloaded.h"
#include "listener.h"
#include "server_context.h"
#include "thread_group.h"

namespace jasminewood::http
{

namespace
{

constexpr std::size_t threadStackBytes = std::size_t(512) * 1024;

// After a failure to accept connections, the next attempt is made when one is closed, or after this time.
constexpr auto acceptRetryDelay = Milliseconds(100);

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

class Server::State
{
public:
    State(const ServerOptions &options, Handler handler, UnservedListener onUnserved, LimitsSource limits,
        AdmissionCheck check, std::shared_ptr<internal::Listener> listener)
        : context_ {.options_ = options,
            .handler_ = std::move(handler),
            .onUnserved_ = std::move(onUnserved),
            .limits_ = std::move(limits),
            .check_ = std::move(check),
            .connections_ = internal::ConnectionRegistry(options.maximumConnections_),
            .bodies_ = internal::ReceivingBodies(options.maximumBodyMemory_)}
        , listener_(std::move(listener))
        , connectionThreads_(threadStackBytes)
    {
    }

    auto start() -> void
    {
        acceptThread_ = std::thread([this] {
            acceptConnections();
        });
    }

    auto port() const -> std::uint16_t
    {
        return listener_->port();
    }

    auto connectionCount() const -> unsigned
    {
        return unsigned(context_.connections_.count());
    }

    auto bodyBytes() const -> std::size_t
    {
        return context_.bodies_.reservedBytes();
    }

    auto closeAfterResponses() -> void
    {
        context_.connections_.closeAll();
    }

    auto closeAfterResponses(std::size_t connections, TimePoint openedBefore) -> std::size_t
    {
        return context_.connections_.closeSome(connections, openedBefore);
    }

    auto stopAccepting() -> void
    {
        context_.connections_.closeAll();
        const auto lock = std::scoped_lock(stopMutex_);
        if (acceptThread_.joinable()) {
            listener_->stop();
            acceptThread_.join();
        }
    }

    auto waitUntilIdle(Milliseconds timeout) -> bool
    {
        return context_.connections_.waitUntilIdle(timeout);
    }

    auto closeConnections(Milliseconds timeout) -> bool
    {
        stopAccepting();
        context_.connections_.shutDownReceiving();
        return context_.connections_.waitUntilEmpty(timeout);
    }

    auto stop() -> void
    {
        stopAccepting();
        context_.connections_.shutDown();
        connectionThreads_.join();
    }

private:
    auto acceptConnections() -> void
    {
        auto stopped = false;
        while (!stopped) {
            const auto visitor = Overloaded {
                [this](const internal::AcceptedConnection &accepted) {
                    startConnection(accepted.socket_);
                },
                [this](const internal::AcceptFailure &failure) {
                    reportNoRoom(std::strerror(failure.error_));
                    context_.connections_.waitForRemoval(acceptRetryDelay);
                },
                [&stopped](const internal::ListenerStopped & /*end*/) {
                    stopped = true;
                },
            };
            std::visit(visitor, listener_->accept());
        }
    }

    auto startConnection(int socket) -> void
    {
        if (!context_.connections_.add(socket)) {
            close(socket);
            reportNoRoom("the server has as many connections as it may have");
            return;
        }
        const auto started = connectionThreads_.start([this, socket] {
            internal::CallerConnection(context_, socket).serve();
            endConnection(socket);
        });
        if (!started) {
            endConnection(socket);
            reportNoRoom("no thread can be started for the connection");
        }
    }

    auto endConnection(int socket) -> void
    {
        context_.connections_.remove(socket);
        close(socket);
    }

    auto reportNoRoom(std::string detail) const -> void
    {
        context_.reportUnserved({.reason_ = EndReason::NoRoom, .detail_ = std::move(detail)});
    }

    internal::ServerContext context_;
    const std::shared_ptr<internal::Listener> listener_;
    internal::ThreadGroup connectionThreads_;
    std::mutex stopMutex_;
    std::thread acceptThread_;
};

auto Server::start(const ServerOptions &options, Handler handler, UnservedListener onUnserved, LimitsSource limits,
    AdmissionCheck check) -> Result<std::shared_ptr<Server>>
{
    const auto listener = internal::Listener::open(options);
    if (!listener) {
        return listener.failure();
    }
    auto state = std::make_unique<State>(
        options, std::move(handler), std::move(onUnserved), std::move(limits), std::move(check), *listener);
    state->start();
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
