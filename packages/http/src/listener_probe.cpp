#include "jasminewood/http/listener_probe.h"

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/http/socket_address.h"

namespace jasminewood::http
{

namespace
{

// Returns 0 once the connection is open, or the error with which it failed.
auto connectWithin(int socket, const sockaddr_in &address, Milliseconds timeout) -> int
{
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return 0;
    }
    if (errno != EINPROGRESS) {
        return errno;
    }
    auto poller = pollfd {.fd = socket, .events = POLLOUT, .revents = 0};
    if (poll(&poller, 1, int(timeout.count())) <= 0) {
        return ETIMEDOUT;
    }
    auto error = 0;
    auto size = socklen_t(sizeof(error));
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

} // namespace

auto probeListener(const std::string &address, Milliseconds timeout) -> ListenerState
{
    const auto parsed = parseSocketAddress(address);
    const auto socket = parsed ? ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (socket < 0) {
        return ListenerState::Unknown;
    }
    const auto error = connectWithin(socket, *parsed, timeout);
    close(socket);
    if (error == 0) {
        return ListenerState::Listening;
    }
    return error == ECONNREFUSED || error == ECONNRESET ? ListenerState::Refused : ListenerState::Unknown;
}

} // namespace jasminewood::http
