#pragma once

#include <compare>
#include <optional>
#include <string_view>

// How a connection stood when this side closed it. A response without a length or chunks is complete only if its
// connection ended without an error (RFC 9112, section 8), and libcurl does not look for one behind the end of the
// data.

namespace jasminewood::http::internal
{

struct ConnectionEnd
{
    // The peer reset the connection.
    const bool reset_ = false;
    // The peer's kernel has not acknowledged all data that was sent. A peer that closes then resets the connection as
    // the data arrives.
    const bool hasUnacknowledgedData_ = false;

    auto operator<=>(const ConnectionEnd &) const = default;
};

// Returns how the connection of the socket stands. Precondition: the socket is open.
auto inspectConnection(int socket) -> ConnectionEnd;

// How much of a request libcurl has handed to the kernel.
enum class UploadState
{
    Complete,
    // libcurl gave up the rest, because the peer closed the connection or refused the request.
    Abandoned,
};

// Returns why a response that ended with its connection is not complete; empty if it is. A response that refuses the
// request may end before the upload does.
auto interruptionOf(int status, UploadState upload, const ConnectionEnd &end) -> std::optional<std::string_view>;

} // namespace jasminewood::http::internal
