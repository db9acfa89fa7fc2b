#include "jasminewood/node/signals.h"

#include <csignal>

namespace jasminewood::node
{

namespace
{

auto handledSignals() -> sigset_t
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

auto blockStopSignals() -> void
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

auto waitForStopSignal(const std::function<auto()->void> &onHangUp) -> int
{
    const auto signals = handledSignals();
    auto received = 0;
    for (sigwait(&signals, &received); received == SIGHUP; sigwait(&signals, &received)) {
        if (onHangUp) {
            onHangUp();
        }
    }
    return received;
}

} // namespace jasminewood::node
