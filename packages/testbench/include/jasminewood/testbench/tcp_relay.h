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

// A TCP relay on loopback that injects network faults: refused, blackholed or delayed connections.
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
    // Throws std::runtime_error if no port can be bound.
    explicit TcpRelay(const std::string &target);

    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    auto operator=(const TcpRelay &) -> TcpRelay & = delete;

    // Returns the "127.0.0.1:PORT" at which clients connect.
    auto address() const -> std::string;

    // Sets the target of connections accepted from now on.
    auto setTarget(const std::string &target) -> void;

    // Returns the number of open connections, blackholed ones included.
    auto connectionCount() -> std::size_t;

    // Stops forwarding in both directions on all connections open now but keeps them open, as a lost network path
    // does. New connections are forwarded.
    auto blackholeOpenConnections() -> void;

    // Closes all connections and refuses new ones until restore().
    auto closeAndRefuse() -> void;

    // Accepts connections again after closeAndRefuse(), at the same address.
    auto restore() -> void;

    // Delays the bytes that arrive from now on and keeps their order.
    auto setDelay(Milliseconds delay) -> void;

private:
    struct Chunk
    {
        const TimePoint deliverAt_;
        const std::string bytes_;
    };

    // One direction of a connection.
    struct Channel
    {
        std::deque<Chunk> pending_;
        bool endOfStream_ = false;
    };

    struct Connection
    {
        Socket client_;
        Socket server_;
        bool blackholed_ = false;
        Channel toServer_;
        Channel toClient_;
    };

    auto run() -> void;

    // Returns the descriptors to poll: the wake-up descriptor, the listener, then client and server of each connection.
    auto pollDescriptors() -> std::vector<pollfd>;

    // Returns the milliseconds until the next chunk must be forwarded, or -1 if there is none.
    auto pollTimeout() -> int;

    auto acceptConnection() -> void;

    auto wake() const -> void;

    // Appends the bytes that have arrived from a peer to a channel.
    auto receive(const Socket &from, Channel &channel) const -> void;

    // Writes the chunks whose delay is over; returns false if the stream has ended.
    static auto forwardDue(Channel &channel, const Socket &to, TimePoint now) -> bool;

    // Keeps the port reserved while the relay refuses connections.
    const Socket reservation_;
    std::mutex mutex_;
    // Empty while the relay refuses connections.
    std::optional<Socket> listener_;
    std::string target_;
    std::list<Connection> connections_;
    Milliseconds delay_ = Milliseconds(0);
    int wakeDescriptor_ = -1;
    bool stopped_ = false;
    std::thread thread_;
};

} // namespace jasminewood::testbench
