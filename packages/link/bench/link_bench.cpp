#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "jasminewood/link/listener.h"

// Measures the round-trip time of one message at a time over loopback, between two threads of this process.

using namespace jasminewood;

namespace
{

constexpr auto warmUpRounds = 1000;
constexpr auto rounds = 10000;
constexpr auto timeout = Milliseconds(5000);

// Accepts one connection and sends every message back until it is closed.
auto echo(const std::shared_ptr<link::Listener> &listener) -> void
{
    const auto accepted = listener->accept();
    if (!accepted || (*accepted)->exchangeHello(timeout)) {
        return;
    }
    while (true) {
        const auto outcome = (*accepted)->receive(timeout);
        const auto *message = std::get_if<wire::Message>(&outcome);
        if (message == nullptr || (*accepted)->send(*message)) {
            return;
        }
    }
}

// Returns the round-trip times after the warm-up; fewer than rounds if the connection fails.
auto measure(link::Connection &connection) -> std::vector<Microseconds>
{
    const auto frame
        = wire::Frame {.attempt_ = {.requestId_ = "r-lj-a-1-7", .number_ = 1}, .data_ = std::string(64, 'x')};
    auto roundTrips = std::vector<Microseconds>();
    for (auto index = 0; index < warmUpRounds + rounds; ++index) {
        const auto sent = Clock::now();
        if (connection.send(frame)) {
            break;
        }
        if (!std::holds_alternative<wire::Message>(connection.receive(timeout))) {
            break;
        }
        if (index >= warmUpRounds) {
            roundTrips.push_back(std::chrono::duration_cast<Microseconds>(Clock::now() - sent));
        }
    }
    return roundTrips;
}

} // namespace

auto main() -> int
{
    const auto hello = wire::Hello {.node_ = {.name_ = "bench", .incarnation_ = 1}};
    const auto listener = link::Listener::listen("127.0.0.1:0", hello);
    if (!listener) {
        return 1;
    }
    auto echoThread = std::thread(echo, *listener);
    const auto connection = link::Connection::dial((*listener)->address(), hello, timeout);
    auto roundTrips = connection ? measure(**connection) : std::vector<Microseconds>();
    if (connection) {
        (*connection)->close();
    }
    (*listener)->close();
    echoThread.join();
    if (roundTrips.size() != rounds) {
        fmt::print(stderr, "only {} of {} rounds completed\n", roundTrips.size(), rounds);
        return 1;
    }
    std::sort(roundTrips.begin(), roundTrips.end());
    fmt::print("round trips: {}, median: {} us, p99: {} us\n", roundTrips.size(), roundTrips[rounds / 2].count(),
        roundTrips[rounds * 99 / 100].count());
    return 0;
}
