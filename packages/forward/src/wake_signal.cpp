#include "jasminewood/forward/wake_signal.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace jasminewood::forward
{

namespace
{

// Returns the time for poll(), rounded up so that it does not return too early.
auto pollTimeout(TimePoint until) -> int
{
    const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now()).count();
    return int(std::clamp<std::int64_t>(left, 0, std::numeric_limits<int>::max()));
}

} // namespace

auto WakeSignal::create() -> std::shared_ptr<WakeSignal>
{
    const auto descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    return descriptor < 0 ? nullptr : std::shared_ptr<WakeSignal>(new WakeSignal(descriptor));
}

WakeSignal::WakeSignal(int descriptor)
    : descriptor_(descriptor)
{
}

WakeSignal::~WakeSignal()
{
    close(descriptor_);
}

auto WakeSignal::wake() const -> void
{
    // Fails only if the signal has been set very often already.
    static_cast<void>(eventfd_write(descriptor_, 1));
}

auto WakeSignal::wait(int socket, TimePoint until) const -> bool
{
    auto watched = std::array<pollfd, 2> {pollfd {.fd = descriptor_, .events = POLLIN, .revents = 0},
        pollfd {.fd = socket, .events = POLLRDHUP, .revents = 0}};
    while (poll(watched.data(), watched.size(), pollTimeout(until)) < 0 && errno == EINTR) {}
    return (watched[0].revents & POLLIN) != 0;
}

} // namespace jasminewood::forward
