#include "program.h"

#include <csignal>
#include <cstdio>

#include <fmt/format.h>

namespace jasminewood::testbench::internal
{

namespace
{

auto terminationSignals() -> sigset_t
{
    auto signals = sigset_t {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

auto blockTermination() -> void
{
    const auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

auto waitForTermination(std::uint16_t port) -> void
{
    fmt::print("listening {}\n", port);
    std::fflush(stdout);
    const auto signals = terminationSignals();
    auto received = 0;
    sigwait(&signals, &received);
}

auto reportFailure(const Failure &failure) -> int
{
    fmt::print(stderr, "{}\n", toString(failure));
    return 1;
}

} // namespace jasminewood::testbench::internal
