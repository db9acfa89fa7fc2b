#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// Plain loopback sockets for peers that break a protocol or lose a connection.

namespace jasminewood::testbench
{

// The port of "IP:PORT".
auto portOf(const std::string &address) -> std::uint16_t;

// A TCP socket that is closed at the end. Every function throws std::runtime_error on an error.
class Socket
{
public:
    // Takes an open descriptor.
    explicit Socket(int descriptor);

    // Connects to "127.0.0.1:PORT".
    static auto connect(const std::string &address) -> Socket;

    // Reserves a free port of 127.0.0.1 on which nobody listens: connecting to it is refused.
    static auto reserve() -> Socket;

    // Listens on a free port of 127.0.0.1.
    static auto listen() -> Socket;

    // Listens on the "127.0.0.1:PORT" that another socket has reserved. Accepting does not block.
    static auto listenAt(const std::string &reserved) -> Socket;

    ~Socket();
    Socket(Socket &&other) noexcept;
    auto operator=(Socket &&) -> Socket & = delete;

    auto descriptor() const -> int;

    // The local "127.0.0.1:PORT".
    auto address() const -> std::string;

    auto write(std::string_view bytes) const -> void;

    // Returns what is there, at least one byte, or nothing at the end of the stream.
    auto read() const -> std::string;

private:
    int descriptor_;
};

} // namespace jasminewood::testbench
