#include "connection_registry.h"

#include <algorithm>

#include <sys/socket.h>

#include "socket_io.h"

namespace jasminewood::http::internal
{

ConnectionRegistry::ConnectionRegistry(std::size_t maximumConnections)
    : maximumConnections_(maximumConnections)
{
}

auto ConnectionRegistry::add(int socket) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (openedAt_.size() >= maximumConnections_) {
        return false;
    }
    openedAt_.emplace(socket, Clock::now());
    if (shutDown_ || receivingShutDown_) {
        shutdown(socket, shutDown_ ? SHUT_RDWR : SHUT_RD);
    }
    return true;
}

auto ConnectionRegistry::remove(int socket) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    openedAt_.erase(socket);
    removed_.notify_all();
}

auto ConnectionRegistry::count() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return openedAt_.size();
}

auto ConnectionRegistry::beginRequest() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ++activeRequests_;
}

auto ConnectionRegistry::endRequest() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    --activeRequests_;
    becameIdle_.notify_all();
}

auto ConnectionRegistry::closeAll() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    closeAll_ = true;
}

auto ConnectionRegistry::closeSome(std::size_t connections, TimePoint openedBefore) -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    pendingCloses_.emplace(PendingCloses {.connections_ = connections, .openedBefore_ = openedBefore});
    const auto eligible = std::count_if(openedAt_.begin(), openedAt_.end(), [openedBefore](const auto &entry) {
        return entry.second < openedBefore;
    });
    return std::min(connections, std::size_t(eligible));
}

auto ConnectionRegistry::takeClose(int socket) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (closeAll_) {
        return true;
    }
    const auto found = openedAt_.find(socket);
    if (!pendingCloses_ || pendingCloses_->connections_ == 0 || found == openedAt_.end()
        || found->second >= pendingCloses_->openedBefore_) {
        return false;
    }
    const auto remaining = pendingCloses_->connections_ - 1;
    const auto openedBefore = pendingCloses_->openedBefore_;
    pendingCloses_.emplace(PendingCloses {.connections_ = remaining, .openedBefore_ = openedBefore});
    return true;
}

auto ConnectionRegistry::shutDownReceiving() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    receivingShutDown_ = true;
    for (const auto &[socket, openedAt] : openedAt_) {
        shutdown(socket, SHUT_RD);
    }
}

auto ConnectionRegistry::shutDown() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    shutDown_ = true;
    for (const auto &[socket, openedAt] : openedAt_) {
        terminateConnection(socket);
    }
}

auto ConnectionRegistry::isShutDown() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return shutDown_;
}

auto ConnectionRegistry::waitUntilIdle(Milliseconds timeout) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return becameIdle_.wait_for(lock, timeout, [this] {
        return activeRequests_ == 0;
    });
}

auto ConnectionRegistry::waitUntilEmpty(Milliseconds timeout) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return removed_.wait_for(lock, timeout, [this] {
        return openedAt_.empty();
    });
}

auto ConnectionRegistry::waitUntilEmpty() -> void
{
    auto lock = std::unique_lock(mutex_);
    removed_.wait(lock, [this] {
        return openedAt_.empty();
    });
}

auto ConnectionRegistry::waitForRemoval(Milliseconds timeout) -> void
{
    auto lock = std::unique_lock(mutex_);
    removed_.wait_for(lock, timeout);
}

} // namespace jasminewood::http::internal
