#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "jasminewood/link/listener.h"

// Measures the round trip of one message over loopback, one at a time, between two tasks of this process.

using namespace jasminewood;

namespace
{

constexpr auto warmUpRounds = 1000;
constexpr auto rounds = 10000;
constexpr auto timeout = Milliseconds(5000);

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

auto measure(link::Connection &connection) -> std::vector<Microseconds>
{
    const auto frame
        = wire::Frame {.attempt_ = {.requestId_ = "r-lj-a-1-7", .number_ = 1}, .data_ = std::string(64, 'x')};
    auto times = std::vector<Microseconds>();
    for (auto round = 0; round < warmUpRounds + rounds; ++round) {
        const auto sent = Clock::now();
        if (connection.send(frame)) {
            break;
        }
        if (!std::holds_alternative<wire::Message>(connection.receive(timeout))) {
            break;
        }
        if (round >= warmUpRounds) {
            times.push_back(std::chrono::duration_cast<Microseconds>(Clock::now() - sent));
        }
    }
    return times;
}

} // namespace

auto main() -> int
{
    const auto own = wire::Hello {.node_ = {.name_ = "bench", .incarnation_ = 1}};
    const auto listener = link::Listener::listen("127.0.0.1:0", own);
    if (!listener) {
        return 1;
    }
    auto echoing = std::thread(echo, *listener);
    const auto connection = link::Connection::dial((*listener)->address(), own, timeout);
    auto times = connection ? measure(**connection) : std::vector<Microseconds>();
    if (connection) {
        (*connection)->close();
    }
    (*listener)->close();
    echoing.join();
    if (times.size() != rounds) {
        fmt::print(stderr, "only {} of {} rounds completed\n", times.size(), rounds);
        return 1;
    }
    std::sort(times.begin(), times.end());
    fmt::print("round trips: {}, median: {} us, p99: {} us\n", times.size(), times[rounds / 2].count(),
        times[rounds * 99 / 100].count());
    return 0;
}
