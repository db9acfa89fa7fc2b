#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// Raw loopback sockets for tests of peers that violate a protocol or lose a connection.

namespace jasminewood::testbench
{

// Returns the port of "IP:PORT".
auto portOf(const std::string &address) -> std::uint16_t;

// A TCP socket, closed by the destructor. The functions throw std::runtime_error on an error.
class Socket
{
public:
    // Takes ownership of an open descriptor.
    explicit Socket(int descriptor);

    // Connects to "127.0.0.1:PORT".
    static auto connect(const std::string &address) -> Socket;

    // Binds a free port of 127.0.0.1 without listening on it: connections to it are refused.
    static auto reserve() -> Socket;

    // Listens on a free port of 127.0.0.1.
    static auto listen() -> Socket;

    // Listens on the "127.0.0.1:PORT" that another socket has reserved. accept() on this socket does not block.
    static auto listenAt(const std::string &reserved) -> Socket;

    ~Socket();
    Socket(Socket &&other) noexcept;
    auto operator=(Socket &&) -> Socket & = delete;

    auto descriptor() const -> int;

    // Returns the local "127.0.0.1:PORT".
    auto address() const -> std::string;

    auto write(std::string_view bytes) const -> void;

    // Waits for data and returns the available bytes, at least one, or an empty string at the end of the stream or on
    // an error.
    auto read() const -> std::string;

private:
    int descriptor_;
};

} // namespace jasminewood::testbench
