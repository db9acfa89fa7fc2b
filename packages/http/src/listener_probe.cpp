#include "jasminewood/http/listener_probe.h"

#include <cerrno>
#include <charconv>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminewood::http
{

namespace
{

auto parseAddress(const std::string &text) -> std::optional<sockaddr_in>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto port = std::uint16_t(0);
    const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const auto isValid = error == std::errc() && end == text.data() + text.size()
        && inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
    return isValid ? std::optional(address) : std::nullopt;
}

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
    const auto parsed = parseAddress(address);
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
