#pragma once

#include <string>
#include <thread>

#include "jasminewood/core/clock.h"

// A stand-in for a router at an agent's port: a bare socket, whose bytes and segments the kernel counts.

namespace jasminewood::slopes
{

// Counts since the connection was opened, as of one moment.
struct Traffic
{
    const double bytesReceived_ = 0;
    const double bytesSent_ = 0;
    // Segments in both directions, acknowledgements included.
    const double segments_ = 0;
};

// Says Hello, sends a heartbeat each 500 ms and reads whatever comes, in one task.
class RouterStandIn
{
public:
    RouterStandIn(const std::string &name, const std::string &agentAddress);
    ~RouterStandIn();
    RouterStandIn(const RouterStandIn &) = delete;
    auto operator=(const RouterStandIn &) -> RouterStandIn & = delete;

    auto isConnected() const -> bool;
    auto traffic() const -> Traffic;

private:
    auto sendMessage(const std::string &encoded) const -> void;
    auto run() const -> void;

    int socket_ = -1;
    std::thread task_;
};

} // namespace jasminewood::slopes
