#include "listener.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <string>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminewood::http::internal
{

namespace
{

constexpr int listenBacklog = 1024;

auto bindFailure(const ServerOptions &options, const std::string &reason) -> Failure
{
    return Failure {.step_ = "bind", .peer_ = fmt::format("{}:{}", options.address_, options.port_), .reason_ = reason};
}

// Returns whether accept() failed for lack of descriptors or memory. Any other failure concerns one connection only,
// which its peer has given up.
auto lacksResources(int error) -> bool
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace

auto Listener::open(const ServerOptions &options) -> Result<std::shared_ptr<Listener>>
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port_);
    if (inet_pton(AF_INET, options.address_.c_str(), &address.sin_addr) != 1) {
        return bindFailure(options, "not a numeric IPv4 address");
    }
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto enable = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (socket < 0 || bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(socket, listenBacklog) != 0) {
        const auto reason = std::string(std::strerror(errno));
        close(socket);
        return bindFailure(options, reason);
    }
    const auto stopEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (stopEvent < 0) {
        const auto reason = std::string(std::strerror(errno));
        close(socket);
        return bindFailure(options, reason);
    }
    return std::shared_ptr<Listener>(new Listener(socket, stopEvent));
}

Listener::Listener(int socket, int stopEvent)
    : socket_(socket)
    , stopEvent_(stopEvent)
{
}

Listener::~Listener()
{
    close(socket_);
    close(stopEvent_);
}

auto Listener::port() const -> std::uint16_t
{
    auto address = sockaddr_in {};
    auto size = socklen_t(sizeof(address));
    getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

auto Listener::accept() const -> AcceptResult
{
    while (true) {
        auto pollers = std::array {pollfd {.fd = socket_, .events = POLLIN, .revents = 0},
            pollfd {.fd = stopEvent_, .events = POLLIN, .revents = 0}};
        const auto ready = poll(pollers.data(), pollers.size(), -1);
        if (ready > 0 && pollers[1].revents != 0) {
            return ListenerStopped {};
        }
        const auto accepted = ready > 0 ? accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK) : -1;
        if (accepted >= 0) {
            return AcceptedConnection {.socket_ = accepted};
        }
        if (lacksResources(errno)) {
            return AcceptFailure {.error_ = errno};
        }
    }
}

auto Listener::stop() const -> void
{
    eventfd_write(stopEvent_, 1);
    shutdown(socket_, SHUT_RDWR);
}

} // namespace jasminewood::http::internal
