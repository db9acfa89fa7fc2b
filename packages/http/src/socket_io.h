#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminewood/core/clock.h"

// Blocking reads and writes on connected sockets, with timeouts.

namespace jasminewood::http::internal
{

// How a call of receive() ended.
enum class ReceiveEnd : std::uint8_t
{
    // Data was appended.
    Data,
    // The peer will send nothing more, or reception was shut down.
    EndOfData,
    // Nothing arrived within the timeout.
    Timeout,
    // The connection was reset or has failed.
    Failed,
};

// Waits until the socket reports one of the events of poll(); returns false at the deadline.
auto awaitSocket(int socket, short events, TimePoint deadline) -> bool;

// What has been received on a connection and has not been parsed. Not thread-safe.
class ReceiveBuffer
{
public:
    // The socket must stay open.
    explicit ReceiveBuffer(int socket);

    // Waits for data and appends what has arrived.
    auto receive(Milliseconds timeout) -> ReceiveEnd;

    // Valid until the next call of another function.
    auto data() const -> std::string_view;

    // Removes bytes from the beginning.
    auto consume(std::size_t bytes) -> void;

    // Frees the memory if there is no data.
    auto release() -> void;

private:
    const int socket_;
    std::string data_;
};

// Sends the whole text. Returns false if the connection has failed, or if the peer has accepted nothing for the
// timeout.
auto sendAll(int socket, std::string_view text, Milliseconds timeout) -> bool;

// How the kernel ends a connection when its socket is closed, also by the end of the process: with a FIN or a RST.
enum class CloseMode : std::uint8_t
{
    Graceful,
    Reset,
};

auto setCloseMode(int socket, CloseMode mode) -> void;

// Ends the connection in its close mode and wakes the threads that wait for it. The socket stays open.
auto terminateConnection(int socket) -> void;

// Reads until the peer closes, the deadline passes or so many bytes have been read.
auto discardReceived(int socket, std::size_t maximumBytes, TimePoint deadline) -> void;

} // namespace jasminewood::http::internal
