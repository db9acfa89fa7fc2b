#include "socket_io.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace jasminewood::http::internal
{

namespace
{

constexpr std::size_t receiveBlockBytes = 16 * 1024;
constexpr std::size_t discardBlockBytes = 16 * 1024;

auto isRetryable(int error) -> bool
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

auto closeMode(int socket) -> CloseMode
{
    auto option = linger {};
    auto size = socklen_t(sizeof(option));
    getsockopt(socket, SOL_SOCKET, SO_LINGER, &option, &size);
    return option.l_onoff == 0 ? CloseMode::Graceful : CloseMode::Reset;
}

} // namespace

auto awaitSocket(int socket, short events, TimePoint deadline) -> bool
{
    while (true) {
        auto poller = pollfd {.fd = socket, .events = events, .revents = 0};
        const auto remaining = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
        const auto ready = remaining.count() > 0 ? poll(&poller, 1, int(remaining.count())) : 0;
        if (ready >= 0 || errno != EINTR) {
            return ready > 0;
        }
    }
}

ReceiveBuffer::ReceiveBuffer(int socket)
    : socket_(socket)
{
}

auto ReceiveBuffer::receive(Milliseconds timeout) -> ReceiveEnd
{
    const auto deadline = Clock::now() + timeout;
    const auto previousBytes = data_.size();
    while (awaitSocket(socket_, POLLIN, deadline)) {
        data_.resize(previousBytes + receiveBlockBytes);
        const auto size = recv(socket_, data_.data() + previousBytes, receiveBlockBytes, MSG_DONTWAIT);
        const auto error = errno;
        data_.resize(previousBytes + std::size_t(std::max<ssize_t>(size, 0)));
        if (size >= 0) {
            return size > 0 ? ReceiveEnd::Data : ReceiveEnd::EndOfData;
        }
        if (!isRetryable(error)) {
            return ReceiveEnd::Failed;
        }
    }
    return ReceiveEnd::Timeout;
}

auto ReceiveBuffer::data() const -> std::string_view
{
    return data_;
}

auto ReceiveBuffer::consume(std::size_t bytes) -> void
{
    data_.erase(0, bytes);
}

auto ReceiveBuffer::release() -> void
{
    if (data_.empty()) {
        std::string().swap(data_);
    }
}

auto sendAll(int socket, std::string_view text, Milliseconds timeout) -> bool
{
    while (!text.empty()) {
        const auto size = send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && (!isRetryable(errno) || !awaitSocket(socket, POLLOUT, Clock::now() + timeout))) {
            return false;
        }
        text.remove_prefix(std::size_t(std::max<ssize_t>(size, 0)));
    }
    return true;
}

auto setCloseMode(int socket, CloseMode mode) -> void
{
    // Without any time to linger, closing the socket resets the connection (socket(7)).
    const auto option = linger {.l_onoff = mode == CloseMode::Reset ? 1 : 0, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

auto terminateConnection(int socket) -> void
{
    if (closeMode(socket) == CloseMode::Graceful) {
        shutdown(socket, SHUT_RDWR);
        return;
    }
    // Linux resets a TCP connection that is dissolved (connect(2)).
    const auto unspecified = sockaddr {.sa_family = AF_UNSPEC, .sa_data = {}};
    connect(socket, &unspecified, sizeof(unspecified));
}

auto discardReceived(int socket, std::size_t maximumBytes, TimePoint deadline) -> void
{
    auto buffer = std::array<char, discardBlockBytes>();
    for (auto bytes = std::size_t(0); bytes < maximumBytes && awaitSocket(socket, POLLIN, deadline);) {
        const auto size = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size == 0 || (size < 0 && !isRetryable(errno))) {
            return;
        }
        bytes += std::size_t(std::max<ssize_t>(size, 0));
    }
}

} // namespace jasminewood::http::internal
