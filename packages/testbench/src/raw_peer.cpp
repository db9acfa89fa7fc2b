#include "jasminewood/testbench/raw_peer.h"

#include <cerrno>
#include <random>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminewood::testbench
{

namespace
{

auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

auto connectTo(std::uint16_t port) -> int
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

auto sendText(int socket, const std::string &text) -> void
{
    for (std::size_t sent = 0; sent < text.size();) {
        const auto count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += std::size_t(count);
    }
}

auto readUntil(int socket, const std::string &delimiter) -> std::string
{
    auto text = std::string();
    char buffer[4096];
    while (text.find(delimiter) == std::string::npos) {
        const auto count = recv(socket, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            break;
        }
        text.append(buffer, std::size_t(count));
    }
    return text;
}

auto readToEnd(int socket) -> ReceivedData
{
    auto text = std::string();
    char buffer[4096];
    while (true) {
        const auto count = recv(socket, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            return {.text_ = text, .error_ = count < 0 ? errno : 0};
        }
        text.append(buffer, std::size_t(count));
    }
}

auto sendUntilGone(std::uint16_t port, const std::string &request, std::chrono::microseconds longestPause,
    std::uint32_t randomSeed) -> void
{
    auto random = std::mt19937(randomSeed);
    for (auto socket = connectTo(port); socket >= 0; socket = connectTo(port)) {
        auto open = true;
        while (open) {
            std::this_thread::sleep_for(std::chrono::microseconds(random() % longestPause.count()));
            sendText(socket, request);
            const auto head = readUntil(socket, "\r\n\r\n");
            open = !head.empty() && head.find("Connection: close") == std::string::npos;
        }
        readToEnd(socket);
        close(socket);
    }
}

auto resetConnection(int socket) -> void
{
    auto unspecified = sockaddr {};
    unspecified.sa_family = AF_UNSPEC;
    connect(socket, &unspecified, sizeof(unspecified));
}

RawServer::RawServer(std::function<auto(int)->void> serve)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = loopback(0);
    auto size = socklen_t(sizeof(address));
    bind(socket_, reinterpret_cast<const sockaddr *>(&address), size);
    listen(socket_, 16);
    getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, serve = std::move(serve)] {
        acceptAll(serve);
    });
}

auto RawServer::acceptAll(const std::function<auto(int)->void> &serve) -> void
{
    for (auto peer = accept(socket_, nullptr, nullptr); peer >= 0; peer = accept(socket_, nullptr, nullptr)) {
        const auto lock = std::scoped_lock(mutex_);
        peers_.push_back(peer);
        workers_.emplace_back([serve, peer] {
            serve(peer);
            shutdown(peer, SHUT_RDWR);
        });
    }
}

RawServer::~RawServer()
{
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
    for (const auto peer : peers_) {
        shutdown(peer, SHUT_RDWR);
    }
    for (auto &worker : workers_) {
        worker.join();
    }
    for (const auto peer : peers_) {
        close(peer);
    }
    close(socket_);
}

auto RawServer::url() const -> std::string
{
    return "http://" + address() + "/";
}

auto RawServer::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(port_);
}

} // namespace jasminewood::testbench
