#include "connection_end.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace jasminewood::http::internal
{

namespace
{

constexpr int firstRedirectionStatus = 300;

} // namespace

auto inspectConnection(int socket) -> ConnectionEnd
{
    auto poller = pollfd {.fd = socket, .events = 0, .revents = 0};
    const auto isReset = poll(&poller, 1, 0) > 0 && (poller.revents & (POLLERR | POLLHUP)) != 0;
    auto unacknowledgedBytes = 0;
    const auto known = ioctl(socket, SIOCOUTQ, &unacknowledgedBytes) == 0;
    return {.reset_ = isReset, .hasUnacknowledgedData_ = known && unacknowledgedBytes > 0};
}

auto interruptionOf(int status, UploadState upload, const ConnectionEnd &end) -> std::optional<std::string_view>
{
    if (end.reset_) {
        return "the peer reset the connection behind its response";
    }
    const auto hasWholeRequest = upload == UploadState::Complete && !end.hasUnacknowledgedData_;
    if (status < firstRedirectionStatus && !hasWholeRequest) {
        return "the peer closed the connection before it had received the request";
    }
    return std::nullopt;
}

} // namespace jasminewood::http::internal
