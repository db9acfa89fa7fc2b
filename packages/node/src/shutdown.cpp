#include "jasminewood/node/shutdown.h"

#include <csignal>

namespace jasminewood::node
{

namespace
{

auto stopSignals() -> sigset_t
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

auto blockStopSignals() -> void
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

auto waitForStopSignal() -> int
{
    const auto signals = stopSignals();
    auto received = 0;
    sigwait(&signals, &received);
    return received;
}

} // namespace jasminewood::node
