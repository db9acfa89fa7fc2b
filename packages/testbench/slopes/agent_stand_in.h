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

// Stand-ins for many agents in one process: they accept routers, report a constant load and note manifests.

namespace jasminewood::slopes
{

// What all stand-ins of a measurement have seen. Thread-safe.
class StandInLog
{
public:
    auto connected() -> void;
    auto received(std::uint64_t revision) -> void;

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

// One stand-in with a task that accepts and one for each connection.
class AgentStandIn
{
public:
    // The address is empty if no port could be bound.
    AgentStandIn(const std::string &name, std::shared_ptr<StandInLog> log);
    ~AgentStandIn();
    AgentStandIn(const AgentStandIn &) = delete;
    auto operator=(const AgentStandIn &) -> AgentStandIn & = delete;

    auto name() const -> const std::string &;
    auto address() const -> std::string;

private:
    auto acceptRouters() -> void;
    auto serve(const std::shared_ptr<link::Connection> &connection) -> void;

    const std::string name_;
    const std::shared_ptr<StandInLog> log_;
    std::shared_ptr<link::Listener> listener_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<link::Connection>> connections_;
    std::vector<std::thread> tasks_;
    std::thread acceptor_;
};

} // namespace jasminewood::slopes
