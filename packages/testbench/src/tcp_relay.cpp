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
    , wake_(eventfd(0, EFD_CLOEXEC))
    , task_([this] {
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
    task_.join();
    ::close(wake_);
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
    return pairs_.size();
}

auto TcpRelay::blackholeOpenConnections() -> void
{
    const auto lock = std::lock_guard(mutex_);
    for (auto &pair : pairs_) {
        pair.silent_ = true;
    }
    wake();
}

auto TcpRelay::closeAndRefuse() -> void
{
    const auto lock = std::lock_guard(mutex_);
    listener_.reset();
    pairs_.clear();
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

auto TcpRelay::setDelay(Milliseconds time) -> void
{
    const auto lock = std::lock_guard(mutex_);
    delay_ = time;
}

auto TcpRelay::wake() const -> void
{
    eventfd_write(wake_, 1);
}

auto TcpRelay::run() -> void
{
    while (true) {
        auto waiting = descriptors();
        poll(waiting.data(), waiting.size(), timeout());
        const auto lock = std::lock_guard(mutex_);
        if (stopped_) {
            return;
        }
        if (waiting[0].revents != 0) {
            // The pairs may have changed since the descriptors were listed.
            auto count = eventfd_t(0);
            eventfd_read(wake_, &count);
            continue;
        }
        const auto now = Clock::now();
        auto position = std::size_t(2);
        for (auto pair = pairs_.begin(); pair != pairs_.end(); position += 2) {
            if (waiting[position].revents != 0) {
                receive(pair->client_, pair->toServer_);
            }
            if (waiting[position + 1].revents != 0) {
                receive(pair->server_, pair->toClient_);
            }
            const auto open = pair->silent_
                || (deliver(pair->toServer_, pair->server_, now) && deliver(pair->toClient_, pair->client_, now));
            pair = open ? std::next(pair) : pairs_.erase(pair);
        }
        if (waiting[1].revents != 0 && listener_) {
            acceptOne();
        }
    }
}

auto TcpRelay::descriptors() -> std::vector<pollfd>
{
    // poll() passes over negative descriptors.
    const auto lock = std::lock_guard(mutex_);
    auto waiting = std::vector<pollfd> {{wake_, POLLIN, 0}, {listener_ ? listener_->descriptor() : -1, POLLIN, 0}};
    for (const auto &pair : pairs_) {
        waiting.push_back({pair.silent_ || pair.toServer_.ended_ ? -1 : pair.client_.descriptor(), POLLIN, 0});
        waiting.push_back({pair.silent_ || pair.toClient_.ended_ ? -1 : pair.server_.descriptor(), POLLIN, 0});
    }
    return waiting;
}

auto TcpRelay::timeout() -> int
{
    const auto lock = std::lock_guard(mutex_);
    auto earliest = std::optional<TimePoint>();
    for (const auto &pair : pairs_) {
        for (const auto *channel : {&pair.toServer_, &pair.toClient_}) {
            if (!pair.silent_ && !channel->pending_.empty()) {
                const auto due = channel->pending_.front().due_;
                earliest = earliest ? std::min(*earliest, due) : due;
            }
        }
    }
    if (!earliest) {
        return -1;
    }
    const auto left = std::chrono::ceil<Milliseconds>(*earliest - Clock::now());
    return int(std::max(left, Milliseconds(0)).count());
}

auto TcpRelay::acceptOne() -> void
{
    const auto descriptor = accept4(listener_->descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    auto client = Socket(descriptor);
    try {
        pairs_.push_back(Pair {.client_ = std::move(client), .server_ = Socket::connect(target_)});
    } catch (const std::runtime_error &) {
        // The target is down; the client's connection closes with it.
        return;
    }
}

auto TcpRelay::receive(const Socket &from, Channel &channel) const -> void
{
    auto bytes = from.read();
    if (bytes.empty()) {
        channel.ended_ = true;
    } else {
        channel.pending_.push_back(Chunk {.due_ = Clock::now() + delay_, .bytes_ = std::move(bytes)});
    }
}

auto TcpRelay::deliver(Channel &channel, const Socket &to, TimePoint now) -> bool
{
    try {
        while (!channel.pending_.empty() && (channel.pending_.front().due_ <= now)) {
            to.write(channel.pending_.front().bytes_);
            channel.pending_.pop_front();
        }
    } catch (const std::runtime_error &) {
        return false;
    }
    return !channel.ended_ || !channel.pending_.empty();
}

} // namespace jasminewood::testbench
