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

// Long enough that only a failing test reaches it.
constexpr auto generousTimeout = std::chrono::seconds(30);

inline auto helloOf(const std::string &name, std::uint64_t incarnation = 1) -> wire::Hello
{
    return wire::Hello {
        .node_ = {.name_ = name, .incarnation_ = incarnation}, .role_ = wire::Role::Agent, .dataCentre_ = "lj-a"};
}

inline auto frameOf(std::uint64_t offset, const std::string &data = "x") -> wire::Message
{
    return wire::Frame {.attempt_ = {.requestId_ = "r", .number_ = 1}, .offset_ = offset, .data_ = data};
}

// The events of several threads in the order of their arrival.
class EventLog
{
public:
    auto add(const std::string &event) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        events_.push_back(event);
        added_.notify_all();
    }

    // Waits for at least this number of events and returns all; fails the test after generousTimeout.
    auto waitFor(std::size_t count) -> std::vector<std::string>
    {
        auto lock = std::unique_lock(mutex_);
        const auto enough = added_.wait_for(lock, generousTimeout, [&] {
            return events_.size() >= count;
        });
        auto message = std::string("too few events:");
        for (const auto &event : events_) {
            message += " [" + event + "]";
        }
        testkit::check(enough, message);
        return events_;
    }

private:
    std::mutex mutex_;
    std::condition_variable added_;
    std::vector<std::string> events_;
};

// An accepting process: one thread accepts connections; each connection has a thread that sends every frame back.
class TestServer
{
public:
    explicit TestServer(const wire::Hello &hello = helloOf("server"), const std::string &address = "127.0.0.1:0")
        : listener_(*Listener::listen(address, hello))
        , acceptThread_([this] {
            acceptAll();
        })
    {
    }

    ~TestServer()
    {
        listener_->close();
        acceptThread_.join();
        for (const auto &connection : connections_) {
            connection->close();
        }
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    TestServer(const TestServer &) = delete;
    auto operator=(const TestServer &) -> TestServer & = delete;

    auto address() const -> const std::string &
    {
        return listener_->address();
    }

    // Returns the reasons for which connections ended.
    auto connectionFailures() -> EventLog &
    {
        return connectionFailures_;
    }

private:
    auto acceptAll() -> void
    {
        while (const auto accepted = listener_->accept()) {
            connections_.push_back(*accepted);
            threads_.emplace_back([this, connection = *accepted] {
                connectionFailures_.add(toString(serveConnection(connection, handlersFor(*connection))));
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

    EventLog connectionFailures_;
    const std::shared_ptr<Listener> listener_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

} // namespace jasminewood::link
