#pragma once

#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

#include "sockets.h"

namespace jasminewood::link
{

// A TCP relay on loopback that can go silent on its open connections, as a lost path does, while it serves new ones.
class Relay
{
public:
    explicit Relay(const std::string &target);

    ~Relay();
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    // Where clients connect.
    auto address() const -> std::string;

    // Connects new clients to another target from now on.
    auto retarget(const std::string &target) -> void;

    // Stops forwarding on all connections open now, in both directions, and keeps them open.
    auto silenceOpenConnections() -> void;

private:
    struct Pair
    {
        Socket client_;
        Socket server_;
        bool silent_ = false;
    };

    auto run() -> void;

    // The wake-up, the listener and both sides of each pair.
    auto descriptors() -> std::vector<pollfd>;

    auto acceptOne() -> void;

    // Forwards what has arrived at one side; returns false at the end of the stream.
    static auto forward(const Socket &from, const Socket &to) -> bool;

    const Socket listener_;
    std::mutex mutex_;
    std::string target_;
    std::list<Pair> pairs_;
    int wake_ = -1;
    bool stopped_ = false;
    std::thread task_;
};

} // namespace jasminewood::link
