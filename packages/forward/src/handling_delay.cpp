#include "handling_delay.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminewood::forward::internal
{

namespace
{

// A shorter time since the arrival is taken as it is, which saves a system call for most requests.
constexpr auto negligibleDelay = Milliseconds(5);

// Returns the time since the kernel last received data of the peer; empty if the kernel does not tell.
auto timeSinceLastData(int socket) -> std::optional<Milliseconds>
{
    auto info = tcp_info {};
    auto size = socklen_t(sizeof(info));
    const auto known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
    return known ? std::optional(Milliseconds(info.tcpi_last_data_recv)) : std::nullopt;
}

} // namespace

auto handlingDelay(const http::Request &request, TimePoint now) -> Clock::duration
{
    const auto sinceArrival = now - request.arrival_.steady_;
    if (sinceArrival <= negligibleDelay) {
        return sinceArrival;
    }
    const auto sinceLastData = timeSinceLastData(request.callerDescriptor_);
    return std::min<Clock::duration>(sinceArrival, sinceLastData.value_or(Milliseconds(0)));
}

} // namespace jasminewood::forward::internal
