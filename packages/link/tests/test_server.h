#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/link/listener.h"
#include "jasminewood/link/serve_connection.h"
#include "jasminewood/testkit/test_suite.h"

namespace jasminewood::link
{

// No test waits so long unless it fails.
constexpr auto generousDeadline = std::chrono::seconds(30);

inline auto helloOf(const std::string &name, std::uint64_t incarnation = 1) -> wire::Hello
{
    return wire::Hello {
        .node_ = {.name_ = name, .incarnation_ = incarnation}, .role_ = wire::Role::Agent, .dataCentre_ = "lj-a"};
}

inline auto frameOf(std::uint64_t offset, const std::string &data = "x") -> wire::Message
{
    return wire::Frame {.attempt_ = {.requestId_ = "r", .number_ = 1}, .offset_ = offset, .data_ = data};
}

// What happened, in order, across tasks.
class EventLog
{
public:
    auto add(const std::string &event) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        events_.push_back(event);
        added_.notify_all();
    }

    // Waits until there are so many events and returns all; fails the test at the deadline.
    auto waitFor(std::size_t count) -> std::vector<std::string>
    {
        auto lock = std::unique_lock(mutex_);
        const auto arrived = added_.wait_for(lock, generousDeadline, [&] {
            return events_.size() >= count;
        });
        auto seen = std::string("too few events:");
        for (const auto &event : events_) {
            seen += " [" + event + "]";
        }
        testkit::check(arrived, seen);
        return events_;
    }

private:
    std::mutex mutex_;
    std::condition_variable added_;
    std::vector<std::string> events_;
};

// An accepting process: one task accepts, one task serves each connection and sends every frame back.
class TestServer
{
public:
    explicit TestServer(const wire::Hello &own = helloOf("server"), const std::string &address = "127.0.0.1:0")
        : listener_(*Listener::listen(address, own))
        , accepting_([this] {
            acceptAll();
        })
    {
    }

    ~TestServer()
    {
        listener_->close();
        accepting_.join();
        for (const auto &connection : connections_) {
            connection->close();
        }
        for (auto &task : tasks_) {
            task.join();
        }
    }

    TestServer(const TestServer &) = delete;
    auto operator=(const TestServer &) -> TestServer & = delete;

    auto address() const -> const std::string &
    {
        return listener_->address();
    }

    // The reasons for which connections ended.
    auto ends() -> EventLog &
    {
        return ends_;
    }

private:
    auto acceptAll() -> void
    {
        while (const auto accepted = listener_->accept()) {
            connections_.push_back(*accepted);
            tasks_.emplace_back([this, connection = *accepted] {
                ends_.add(toString(serveConnection(connection, handlersFor(*connection))));
            });
        }
    }

    static auto handlersFor(Connection &connection) -> ServeHandlers
    {
        return {.onConnected_ = {},
            .onMessage_ =
                [&connection](const wire::Message &message) {
                    if (std::holds_alternative<wire::Frame>(message)) {
                        connection.send(message);
                    }
                },
            .loadReport_ =
                [] {
                    return wire::LoadReport {.running_ = 7};
                }};
    }

    EventLog ends_;
    const std::shared_ptr<Listener> listener_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::thread> tasks_;
    std::thread accepting_;
};

} // namespace jasminewood::link
