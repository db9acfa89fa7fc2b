#include "relay.h"

#include <cstdint>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminewood::link
{

Relay::Relay(const std::string &target)
    : listener_(Socket::listen())
    , target_(target)
    , wake_(eventfd(0, EFD_CLOEXEC))
    , task_([this] {
        run();
    })
{
}

Relay::~Relay()
{
    {
        const auto lock = std::lock_guard(mutex_);
        stopped_ = true;
    }
    eventfd_write(wake_, 1);
    task_.join();
    ::close(wake_);
}

auto Relay::address() const -> std::string
{
    return listener_.address();
}

auto Relay::retarget(const std::string &target) -> void
{
    const auto lock = std::lock_guard(mutex_);
    target_ = target;
}

auto Relay::silenceOpenConnections() -> void
{
    const auto lock = std::lock_guard(mutex_);
    for (auto &pair : pairs_) {
        pair.silent_ = true;
    }
    eventfd_write(wake_, 1);
}

auto Relay::run() -> void
{
    while (true) {
        auto waiting = descriptors();
        poll(waiting.data(), waiting.size(), -1);
        const auto lock = std::lock_guard(mutex_);
        if (stopped_) {
            return;
        }
        if (waiting[0].revents != 0) {
            auto count = eventfd_t(0);
            eventfd_read(wake_, &count);
            continue;
        }
        auto position = std::size_t(2);
        for (auto pair = pairs_.begin(); pair != pairs_.end(); position += 2) {
            const auto open = (waiting[position].revents == 0 || forward(pair->client_, pair->server_))
                && (waiting[position + 1].revents == 0 || forward(pair->server_, pair->client_));
            pair = open ? std::next(pair) : pairs_.erase(pair);
        }
        if (waiting[1].revents != 0) {
            acceptOne();
        }
    }
}

auto Relay::descriptors() -> std::vector<pollfd>
{
    auto waiting = std::vector<pollfd> {{wake_, POLLIN, 0}, {listener_.descriptor(), POLLIN, 0}};
    const auto lock = std::lock_guard(mutex_);
    for (const auto &pair : pairs_) {
        // poll() passes over negative descriptors.
        waiting.push_back({pair.silent_ ? -1 : pair.client_.descriptor(), POLLIN, 0});
        waiting.push_back({pair.silent_ ? -1 : pair.server_.descriptor(), POLLIN, 0});
    }
    return waiting;
}

auto Relay::acceptOne() -> void
{
    const auto descriptor = accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
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

auto Relay::forward(const Socket &from, const Socket &to) -> bool
{
    const auto bytes = from.read();
    try {
        to.write(bytes);
    } catch (const std::runtime_error &) {
        return false;
    }
    return !bytes.empty();
}

} // namespace jasminewood::link
