#include "jasminewood/testbench/tcp_relay.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminewood::testbench
{

TcpRelay::TcpRelay(const std::string &target)
    : reservation_(Socket::reserve())
    , listener_(Socket::listenAt(reservation_.address()))
    , target_(target)
    , wakeDescriptor_(eventfd(0, EFD_CLOEXEC))
    , thread_([this] {
        run();
    })
{
}

TcpRelay::~TcpRelay()
{
    {
        const auto lock = std::lock_guard(mutex_);
        stopped_ = true;
    }
    wake();
    thread_.join();
    ::close(wakeDescriptor_);
}

auto TcpRelay::address() const -> std::string
{
    return reservation_.address();
}

auto TcpRelay::setTarget(const std::string &target) -> void
{
    const auto lock = std::lock_guard(mutex_);
    target_ = target;
}

auto TcpRelay::connectionCount() -> std::size_t
{
    const auto lock = std::lock_guard(mutex_);
    return connections_.size();
}

auto TcpRelay::blackholeOpenConnections() -> void
{
    const auto lock = std::lock_guard(mutex_);
    for (auto &connection : connections_) {
        connection.blackholed_ = true;
    }
    wake();
}

auto TcpRelay::closeAndRefuse() -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (listener_) {
        // While poll() waits for the descriptor, closing it alone would leave the socket listening.
        shutdown(listener_->descriptor(), SHUT_RDWR);
    }
    listener_.reset();
    connections_.clear();
    wake();
}

auto TcpRelay::restore() -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (!listener_) {
        listener_.emplace(Socket::listenAt(reservation_.address()));
    }
    wake();
}

auto TcpRelay::setDelay(Milliseconds delay) -> void
{
    const auto lock = std::lock_guard(mutex_);
    delay_ = delay;
}

auto TcpRelay::wake() const -> void
{
    eventfd_write(wakeDescriptor_, 1);
}

auto TcpRelay::run() -> void
{
    while (true) {
        auto polled = pollDescriptors();
        poll(polled.data(), polled.size(), pollTimeout());
        const auto lock = std::lock_guard(mutex_);
        if (stopped_) {
            return;
        }
        if (polled[0].revents != 0) {
            // The connections may have changed since the descriptors were listed.
            auto count = eventfd_t(0);
            eventfd_read(wakeDescriptor_, &count);
            continue;
        }
        const auto now = Clock::now();
        auto position = std::size_t(2);
        for (auto connection = connections_.begin(); connection != connections_.end(); position += 2) {
            if (polled[position].revents != 0) {
                receive(connection->client_, connection->toServer_);
            }
            if (polled[position + 1].revents != 0) {
                receive(connection->server_, connection->toClient_);
            }
            const auto isOpen = connection->blackholed_
                || (forwardDue(connection->toServer_, connection->server_, now)
                    && forwardDue(connection->toClient_, connection->client_, now));
            connection = isOpen ? std::next(connection) : connections_.erase(connection);
        }
        if (polled[1].revents != 0 && listener_) {
            acceptConnection();
        }
    }
}

auto TcpRelay::pollDescriptors() -> std::vector<pollfd>
{
    // poll() ignores negative descriptors.
    const auto lock = std::lock_guard(mutex_);
    auto polled
        = std::vector<pollfd> {{wakeDescriptor_, POLLIN, 0}, {listener_ ? listener_->descriptor() : -1, POLLIN, 0}};
    for (const auto &connection : connections_) {
        polled.push_back(
            {connection.blackholed_ || connection.toServer_.endOfStream_ ? -1 : connection.client_.descriptor(), POLLIN,
                0});
        polled.push_back(
            {connection.blackholed_ || connection.toClient_.endOfStream_ ? -1 : connection.server_.descriptor(), POLLIN,
                0});
    }
    return polled;
}

auto TcpRelay::pollTimeout() -> int
{
    const auto lock = std::lock_guard(mutex_);
    auto earliest = std::optional<TimePoint>();
    for (const auto &connection : connections_) {
        for (const auto *channel : {&connection.toServer_, &connection.toClient_}) {
            if (!connection.blackholed_ && !channel->pending_.empty()) {
                const auto deliverAt = channel->pending_.front().deliverAt_;
                earliest = earliest ? std::min(*earliest, deliverAt) : deliverAt;
            }
        }
    }
    if (!earliest) {
        return -1;
    }
    const auto remaining = std::chrono::ceil<Milliseconds>(*earliest - Clock::now());
    return int(std::max(remaining, Milliseconds(0)).count());
}

auto TcpRelay::acceptConnection() -> void
{
    const auto descriptor = accept4(listener_->descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    auto client = Socket(descriptor);
    try {
        connections_.push_back(Connection {.client_ = std::move(client), .server_ = Socket::connect(target_)});
    } catch (const std::runtime_error &) {
        // The target refuses connections, so the client's connection is closed too.
        return;
    }
}

auto TcpRelay::receive(const Socket &from, Channel &channel) const -> void
{
    auto bytes = from.read();
    if (bytes.empty()) {
        channel.endOfStream_ = true;
    } else {
        channel.pending_.push_back(Chunk {.deliverAt_ = Clock::now() + delay_, .bytes_ = std::move(bytes)});
    }
}

auto TcpRelay::forwardDue(Channel &channel, const Socket &to, TimePoint now) -> bool
{
    try {
        while (!channel.pending_.empty() && (channel.pending_.front().deliverAt_ <= now)) {
            to.write(channel.pending_.front().bytes_);
            channel.pending_.pop_front();
        }
    } catch (const std::runtime_error &) {
        return false;
    }
    return !channel.endOfStream_ || !channel.pending_.empty();
}

} // namespace jasminewood::testbench
