#include "router_stand_in.h"

#include <array>
#include <cstdint>

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/link/heartbeat.h"
#include "jasminewood/wire/codec.h"

namespace jasminewood::slopes
{

namespace
{

auto connectTo(const std::string &address) -> int
{
    const auto colon = address.rfind(':');
    auto peer = sockaddr_in {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) == 0) {
        return descriptor;
    }
    close(descriptor);
    return -1;
}

} // namespace

RouterStandIn::RouterStandIn(const std::string &name, const std::string &agentAddress)
    : socket_(connectTo(agentAddress))
{
    if (socket_ < 0) {
        return;
    }
    sendMessage(wire::encode(wire::Hello {.node_ = {.name_ = name, .incarnation_ = 1}, .dataCentre_ = "lj-a"}));
    thread_ = std::thread([this]() -> void {
        run();
    });
}

RouterStandIn::~RouterStandIn()
{
    if (socket_ < 0) {
        return;
    }
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
    close(socket_);
}

auto RouterStandIn::isConnected() const -> bool
{
    return socket_ >= 0;
}

auto RouterStandIn::traffic() const -> Traffic
{
    auto info = tcp_info {};
    auto size = socklen_t(sizeof(info));
    getsockopt(socket_, IPPROTO_TCP, TCP_INFO, &info, &size);
    return Traffic {.bytesReceived_ = double(info.tcpi_bytes_received),
        .bytesSent_ = double(info.tcpi_bytes_sent),
        .segments_ = double(info.tcpi_segs_in) + double(info.tcpi_segs_out)};
}

auto RouterStandIn::sendMessage(const std::string &encoded) const -> void
{
    auto bytes = std::string(4, '\0');
    for (auto position = std::size_t(0); position < 4; ++position) {
        bytes[position] = static_cast<char>((encoded.size() >> (8 * (3 - position))) & 0xFFU);
    }
    bytes += encoded;
    static_cast<void>(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

auto RouterStandIn::run() const -> void
{
    auto chunk = std::array<char, 4096>();
    auto sequence = std::uint64_t(0);
    auto heartbeatAt = Clock::now();
    while (true) {
        const auto remaining = std::chrono::ceil<Milliseconds>(heartbeatAt - Clock::now());
        auto waiting = pollfd {.fd = socket_, .events = POLLIN, .revents = 0};
        if (remaining > Milliseconds(0) && poll(&waiting, 1, int(remaining.count())) > 0) {
            if (recv(socket_, chunk.data(), chunk.size(), 0) <= 0) {
                return;
            }
        }
        if (Clock::now() >= heartbeatAt) {
            sendMessage(wire::encode(wire::Heartbeat {.sequence_ = ++sequence}));
            heartbeatAt += link::heartbeatInterval;
        }
    }
}

} // namespace jasminewood::slopes
