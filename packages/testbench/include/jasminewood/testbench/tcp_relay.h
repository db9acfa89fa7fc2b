#pragma once

#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

#include "jasminewood/core/clock.h"
#include "jasminewood/testbench/sockets.h"

// A TCP relay on loopback that loses, silences or delays what passes through it.
//
//     auto relay = testbench::TcpRelay("127.0.0.1:7100");
//     connectTo(relay.address());
//     relay.blackholeOpenConnections();

namespace jasminewood::testbench
{

// Thread-safe. One thread forwards all connections.
class TcpRelay
{
public:
    // Throws std::runtime_error if no port can be had.
    explicit TcpRelay(const std::string &target);

    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    auto operator=(const TcpRelay &) -> TcpRelay & = delete;

    // Where clients connect.
    auto address() const -> std::string;

    // Connects new clients to another target from now on.
    auto setTarget(const std::string &target) -> void;

    // Connections that are open now, silent ones included.
    auto connectionCount() -> std::size_t;

    // Stops forwarding on all connections open now, in both directions, and keeps them open, as a lost path does. New
    // connections work.
    auto blackholeOpenConnections() -> void;

    // Closes all connections and refuses new ones until restore().
    auto closeAndRefuse() -> void;

    // Ends a cut. The address stays the same.
    auto restore() -> void;

    // Delivers what arrives from now on after a time, in the order of arrival.
    auto setDelay(Milliseconds time) -> void;

private:
    struct Chunk
    {
        const TimePoint due_;
        const std::string bytes_;
    };

    // What goes from one side to the other.
    struct Channel
    {
        std::deque<Chunk> pending_;
        bool ended_ = false;
    };

    struct Pair
    {
        Socket client_;
        Socket server_;
        bool silent_ = false;
        Channel toServer_;
        Channel toClient_;
    };

    auto run() -> void;

    // The wake-up, the listener and both sides of each pair.
    auto descriptors() -> std::vector<pollfd>;

    // The milliseconds until the next delayed chunk is due, or -1 if there is none.
    auto timeout() -> int;

    auto acceptOne() -> void;

    auto wake() const -> void;

    // Takes over what has arrived at one side.
    auto receive(const Socket &from, Channel &channel) const -> void;

    // Writes what is due; returns false if the stream is over.
    static auto deliver(Channel &channel, const Socket &to, TimePoint now) -> bool;

    // Keeps the port while the relay is cut and nobody listens.
    const Socket reservation_;
    std::mutex mutex_;
    // Empty while the relay is cut.
    std::optional<Socket> listener_;
    std::string target_;
    std::list<Pair> pairs_;
    Milliseconds delay_ = Milliseconds(0);
    int wake_ = -1;
    bool stopped_ = false;
    std::thread task_;
};

} // namespace jasminewood::testbench
