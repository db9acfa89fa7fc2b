#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/http/server.h"

// Writes responses to the connections of callers. A response needs no memory of the request that it answers.

namespace jasminewood::http::internal
{

// How far the response to a request came. Used on the connection's thread only.
struct ResponseProgress
{
    bool begun_ = false;
    std::size_t streamedBytes_ = 0;
    // Why the response is not the handler's complete one, as far as that is known.
    std::optional<EndReason> reason_ = {};
    std::string detail_ = {};
};

// What a response says of its connection.
struct Persistence
{
    // The connection closes after the response.
    const bool close_ = false;
    // The caller keeps a connection only if it is told so.
    const bool isHttp10_ = false;
    // The value of the Keep-Alive field; empty for none.
    const std::string keepAlive_ = {};

    auto operator<=>(const Persistence &) const = default;
};

// Sends responses to one request. Not thread-safe.
class ResponseWriter
{
public:
    // A caller that accepts no data for the timeout counts as disconnected. A response to a HEAD request has no body.
    ResponseWriter(int socket, Milliseconds timeout, bool isHead, ResponseProgress &progress);

    // Sends the response to its end. Returns whether it is complete and the connection remains open.
    auto write(const Response &response, const Persistence &persistence) -> bool;

private:
    enum class StreamState : std::uint8_t
    {
        Open,
        Complete,
        Failed,
    };

    auto writeBuffered(const BufferedResponse &response, const Persistence &persistence) -> bool;
    auto writeStream(const StreamResponse &response, const Persistence &persistence) -> bool;
    // Sends the events of a stream; returns whether the stream is complete.
    auto writeEvents(const StreamResponse &response, bool isChunked) -> bool;
    auto writeEvent(const StreamEvent &event, bool isChunked) -> StreamState;
    auto writeChunk(const std::string &data, bool isChunked) -> bool;
    auto endBody(bool isChunked) -> bool;
    auto send(std::string_view text) -> bool;

    const int socket_;
    const Milliseconds timeout_;
    const bool isHead_;
    ResponseProgress &progress_;
};

// Returns a response as it is sent on a connection that closes after it.
auto responseText(const BufferedResponse &response) -> std::string;

// Sends a response while the body of the request still arrives, and closes the sending side. Then reads and discards
// until the caller closes, for a bounded time and up to discardedBytes: closing a socket with unread data resets the
// connection, and the caller could lose the response. The connection must be closed afterwards.
auto respondDuringBody(int socket, const BufferedResponse &response, std::size_t discardedBytes) -> void;

// Returns the JSON response for an error that the server itself detects.
auto errorResponse(int status, const std::string &message, RunState runState) -> BufferedResponse;

} // namespace jasminewood::http::internal
