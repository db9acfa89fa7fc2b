#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jasminewood/http/body.h"
#include "jasminewood/http/memory_ledger.h"
#include "jasminewood/http/server.h"
#include "receiving_bodies.h"
#include "refusal.h"
#include "request_parser.h"
#include "socket_io.h"

// Receives the body of one request within the memory for bodies.

namespace jasminewood::http::internal
{

// The connection ended before the body was complete.
struct ConnectionEnd
{
    const ReceiveEnd end_ = ReceiveEnd::EndOfData;

    auto operator<=>(const ConnectionEnd &) const = default;
};

// A body whose last copy releases its memory, or why there is none.
using ReceivedBody = std::variant<Body, Refusal, ConnectionEnd>;

// Used on the connection's thread only; the body of another connection may refuse this one if it is stalled.
class BodyReceiver
{
public:
    // The length is empty if it is not declared.
    BodyReceiver(
        ReceivingBodies &bodies, int socket, std::optional<std::size_t> declaredBytes, std::size_t maximumBodyBytes);

    // Releases the memory, unless the body was taken.
    ~BodyReceiver();

    BodyReceiver(const BodyReceiver &) = delete;
    auto operator=(const BodyReceiver &) -> BodyReceiver & = delete;

    // Reserves the memory of a body with a declared length. Returns a refusal if there is none.
    auto reserveDeclared() -> std::optional<Refusal>;

    // Reads the body to its end. The timeout applies to each pause of the caller.
    auto receive(ReceiveBuffer &buffer, RequestParser &parser, Milliseconds timeout) -> ReceivedBody;

private:
    // Parses what the buffer has. Returns a refusal, or nothing if the body can go on.
    auto parseReceived(ReceiveBuffer &buffer, RequestParser &parser) -> std::optional<Refusal>;
    auto append(std::string_view data) -> std::optional<Refusal>;
    // Reserves memory for a body of this size in all.
    auto reserve(std::size_t bodyBytes) -> std::optional<Refusal>;

    ReceivingBodies &bodies_;
    const BodyId id_;
    const std::optional<std::size_t> declaredBytes_;
    const std::size_t maximumBodyBytes_;
    std::string text_;
    std::size_t reservedBytes_ = 0;
};

} // namespace jasminewood::http::internal
