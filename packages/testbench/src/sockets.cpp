#include "jasminewood/testbench/sockets.h"

#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminewood::testbench
{

namespace
{

auto throwOnError(bool succeeded) -> void
{
    if (!succeeded) {
        throw std::system_error(errno, std::generic_category());
    }
}

auto loopbackAddress(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto newSocket() -> Socket
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    throwOnError(descriptor >= 0);
    return Socket(descriptor);
}

// SO_REUSEADDR lets one socket listen on the port that another socket has reserved.
auto boundSocket(std::uint16_t port) -> Socket
{
    auto result = newSocket();
    const auto reuse = 1;
    const auto address = loopbackAddress(port);
    throwOnError(setsockopt(result.descriptor(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse)) == 0);
    throwOnError(bind(result.descriptor(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    return result;
}

} // namespace

auto portOf(const std::string &address) -> std::uint16_t
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

Socket::Socket(int descriptor)
    : descriptor_(descriptor)
{
}

auto Socket::connect(const std::string &address) -> Socket
{
    auto result = newSocket();
    const auto target = loopbackAddress(portOf(address));
    throwOnError(::connect(result.descriptor_, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0);
    return result;
}

auto Socket::reserve() -> Socket
{
    return boundSocket(0);
}

auto Socket::listen() -> Socket
{
    auto result = reserve();
    throwOnError(::listen(result.descriptor_, SOMAXCONN) == 0);
    return result;
}

auto Socket::listenAt(const std::string &reserved) -> Socket
{
    auto result = boundSocket(portOf(reserved));
    throwOnError(::listen(result.descriptor_, SOMAXCONN) == 0);
    throwOnError(fcntl(result.descriptor_, F_SETFL, O_NONBLOCK) == 0);
    return result;
}

Socket::~Socket()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

Socket::Socket(Socket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

auto Socket::descriptor() const -> int
{
    return descriptor_;
}

auto Socket::address() const -> std::string
{
    auto local = sockaddr_in();
    auto size = socklen_t(sizeof(local));
    throwOnError(getsockname(descriptor_, reinterpret_cast<sockaddr *>(&local), &size) == 0);
    return "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
}

auto Socket::write(std::string_view bytes) const -> void
{
    while (!bytes.empty()) {
        const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        throwOnError(count > 0);
        bytes.remove_prefix(std::size_t(count));
    }
}

auto Socket::read() const -> std::string
{
    auto chunk = std::array<char, 65536>();
    const auto count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
    return count > 0 ? std::string(chunk.data(), std::size_t(count)) : std::string();
}

} // namespace jasminewood::testbench
