#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// Plain TCP peers, for responses and callers that neither HTTP library can produce.

namespace jasminewood::testbench
{

// Connects to a port on 127.0.0.1 and returns the socket, or -1 on failure.
auto connectTo(std::uint16_t port) -> int;

// Sends the whole text, unless the peer closes before.
auto sendText(int socket, const std::string &text) -> void;

// Reads until the text contains the delimiter or the peer closes; returns what was read. That may be more than the text
// up to the delimiter.
auto readUntil(int socket, const std::string &delimiter) -> std::string;

// What a peer has sent up to the end of its connection.
struct ReceivedData
{
    const std::string text_;
    // The errno of the last read; 0 if the connection ended properly.
    const int error_ = 0;

    auto operator<=>(const ReceivedData &) const = default;
};

// Reads until the peer closes or the connection fails.
auto readToEnd(int socket) -> ReceivedData;

// Sends the request again and again until no connection to the port on 127.0.0.1 is accepted. Each connection is kept
// as long as the server keeps it. Pauses for a random time, up to the given one, before each request.
auto sendUntilGone(std::uint16_t port, const std::string &request, std::chrono::microseconds longestPause,
    std::uint32_t randomSeed) -> void;

// Resets the connection (TCP RST), also if the peer has not read all that was sent. The descriptor stays open.
auto resetConnection(int socket) -> void;

// Listens on a free port and calls a function with the socket of each connection, on a thread of its own.
class RawServer
{
public:
    explicit RawServer(std::function<auto(int)->void> serve);
    ~RawServer();

    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    // Returns "http://ADDRESS/".
    auto url() const -> std::string;

    // Returns the address and port, such as "127.0.0.1:8080".
    auto address() const -> std::string;

private:
    auto acceptAll(const std::function<auto(int)->void> &serve) -> void;

    int socket_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::vector<int> peers_;
    std::vector<std::thread> workers_;
    std::thread thread_;
};

} // namespace jasminewood::testbench
