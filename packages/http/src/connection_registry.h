#pragma once

#include <compare>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>

#include "jasminewood/core/clock.h"

// The open connections of a server: how many there are, which of them are to be closed, and whether they are idle.

namespace jasminewood::http::internal
{

// Thread-safe. A socket must stay open while it is registered.
class ConnectionRegistry
{
public:
    explicit ConnectionRegistry(std::size_t maximumConnections);

    // Registers the socket of a new connection. Returns false if there is no room for it.
    auto add(int socket) -> bool;

    auto remove(int socket) -> void;

    // Returns the number of open connections.
    auto count() const -> std::size_t;

    // Counts a request whose head has been read, until endRequest().
    auto beginRequest() -> void;
    auto endRequest() -> void;

    // Makes each later response close its connection.
    auto closeAll() -> void;

    // Makes so many responses close their connections, if these were opened before the given time. What is left of an
    // earlier call no longer applies. Returns how many open connections this can close at most.
    auto closeSome(std::size_t connections, TimePoint openedBefore) -> std::size_t;

    // Returns whether the next response on the connection closes it, and counts it as closed if so.
    auto takeClose(int socket) -> bool;

    // Makes each connection find the end of its data once what has arrived has been read, later ones too.
    auto shutDownReceiving() -> void;

    // Ends all connections, later ones too.
    auto shutDown() -> void;

    // Returns whether shutDown() has been called.
    auto isShutDown() const -> bool;

    // Waits until no request is in progress; returns whether that happened within the timeout.
    auto waitUntilIdle(Milliseconds timeout) -> bool;

    // Waits until all connections have been removed; returns whether that happened within the timeout.
    auto waitUntilEmpty(Milliseconds timeout) -> bool;
    auto waitUntilEmpty() -> void;

    // Waits until a connection is removed, at most for the timeout.
    auto waitForRemoval(Milliseconds timeout) -> void;

private:
    // The connections that are still to be closed by their responses.
    struct PendingCloses
    {
        const std::size_t connections_ = 0;
        const TimePoint openedBefore_;

        auto operator<=>(const PendingCloses &) const = default;
    };

    const std::size_t maximumConnections_;
    mutable std::mutex mutex_;
    std::condition_variable becameIdle_;
    std::condition_variable removed_;
    // When each connection was opened, by its socket.
    std::map<int, TimePoint> openedAt_;
    std::optional<PendingCloses> pendingCloses_;
    std::size_t activeRequests_ = 0;
    bool closeAll_ = false;
    bool receivingShutDown_ = false;
    bool shutDown_ = false;
};

} // namespace jasminewood::http::internal
