#include "jasminewood/http/hang_up.h"

#include <poll.h>

namespace jasminewood::http
{

auto hasHungUp(int socket) -> bool
{
    auto poller = pollfd {.fd = socket, .events = POLLRDHUP, .revents = 0};
    return poll(&poller, 1, 0) > 0 && (poller.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

auto awaitHangUp(int socket, TimePoint until) -> bool
{
    // poll() reports a reset even if it is not asked for.
    auto poller = pollfd {.fd = socket, .events = POLLRDHUP, .revents = 0};
    const auto remaining = std::chrono::ceil<Milliseconds>(until - Clock::now());
    return remaining.count() > 0 && poll(&poller, 1, int(remaining.count())) > 0;
}

} // namespace jasminewood::http
