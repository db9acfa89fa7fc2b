#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/link/listener.h"

// Simulates many agents in one process: they accept connections from routers, report a constant load and count the
// manifests that they receive.

namespace jasminewood::slopes
{

// Counts the connections and manifests of all simulated agents of a measurement. Thread-safe.
class AgentCounters
{
public:
    auto onConnected() -> void;
    auto onManifest(std::uint64_t revision) -> void;

    // Waits until this many connections were opened; returns false at the deadline.
    auto awaitConnections(std::size_t count, TimePoint deadline) -> bool;

    // Waits until this many manifests were received; returns false at the deadline.
    auto awaitManifests(std::size_t count, TimePoint deadline) -> bool;

    auto manifests() const -> std::size_t;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t connections_ = 0;
    std::size_t manifests_ = 0;
};

// A simulated agent with one thread that accepts connections and one thread for each connection.
class AgentStandIn
{
public:
    // address() is empty if no port could be bound.
    AgentStandIn(const std::string &name, std::shared_ptr<AgentCounters> counters);
    ~AgentStandIn();
    AgentStandIn(const AgentStandIn &) = delete;
    auto operator=(const AgentStandIn &) -> AgentStandIn & = delete;

    auto name() const -> const std::string &;
    auto address() const -> std::string;

private:
    auto acceptRouters() -> void;
    auto serve(const std::shared_ptr<link::Connection> &connection) -> void;

    const std::string name_;
    const std::shared_ptr<AgentCounters> counters_;
    std::shared_ptr<link::Listener> listener_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<link::Connection>> connections_;
    std::vector<std::thread> connectionThreads_;
    std::thread acceptor_;
};

} // namespace jasminewood::slopes
