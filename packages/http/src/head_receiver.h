#pragma once

#include <compare>
#include <string>
#include <variant>

#include "jasminewood/http/server.h"
#include "refusal.h"
#include "request_parser.h"
#include "socket_io.h"

// Receives the heads of requests.

namespace jasminewood::http::internal
{

struct ReceivedHead
{
    const RequestHead head_;
    const Arrival arrival_;

    auto operator<=>(const ReceivedHead &) const = default;
};

// What was received is no head, or a head that is too long.
struct RefusedHead
{
    // The request target as received; empty if the request line is incomplete.
    const std::string target_;
    const Refusal refusal_;

    auto operator<=>(const RefusedHead &) const = default;
};

// The connection ended before a head was complete.
struct PartialHead
{
    // The request target as received; empty if the request line is incomplete.
    const std::string target_;
    const ReceiveEnd end_ = ReceiveEnd::EndOfData;

    auto operator<=>(const PartialHead &) const = default;
};

using HeadOutcome = std::variant<ReceivedHead, RefusedHead, PartialHead>;

// Reads the next head on the connection. The timeout applies to each pause of the caller.
auto receiveHead(int socket, ReceiveBuffer &buffer, RequestParser &parser, std::size_t maximumHeadBytes,
    Milliseconds timeout) -> HeadOutcome;

} // namespace jasminewood::http::internal
