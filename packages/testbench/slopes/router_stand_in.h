#pragma once

#include <string>
#include <thread>

#include "jasminewood/core/clock.h"

// Simulates a router that is connected to an agent. It uses a plain socket, whose bytes and segments the kernel counts.

namespace jasminewood::slopes
{

// Snapshot of the counters since the connection was opened.
struct Traffic
{
    const double bytesReceived_ = 0;
    const double bytesSent_ = 0;
    // Segments in both directions, acknowledgements included.
    const double segments_ = 0;
};

// Sends Hello and a heartbeat every 500 ms, and discards all received data, on one thread.
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
    std::thread thread_;
};

} // namespace jasminewood::slopes
