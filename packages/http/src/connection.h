#pragma once

#include <memory>
#include <optional>
#include <string>

#include <microhttpd.h>

#include "jasminewood/http/server.h"

// Converts between libmicrohttpd's connection and the types of the public interface.

namespace jasminewood::http::internal
{

// How far the response to a request came. Used on the connection's thread only.
struct ResponseProgress
{
    bool begun_ = false;
    std::size_t streamedBytes_ = 0;
    // Why the response is not the handler's complete one, as far as the server itself decided that.
    std::optional<EndReason> reason_ = {};
    std::string detail_ = {};
};

// A request whose body is being received.
struct PendingRequest
{
    std::string target_;
    Arrival arrival_;
    std::size_t maximumBodyBytes_ = 0;
    std::string body_ = {};
    // Its entry in ReceivingBodies, and the bytes that are reserved for it.
    std::optional<std::uint64_t> bodyId_ = {};
    std::size_t reservedBytes_ = 0;
    bool headersReceived_ = false;
    // Whether the AdmissionCheck refused the request.
    bool refused_ = false;
    bool responseDecided_ = false;
    // Whether the request has been read to its end.
    bool complete_ = false;
    // BufferedResponse::resource_ of its response.
    std::shared_ptr<const void> responseResource_ = nullptr;
    std::shared_ptr<ResponseProgress> progress_ = std::make_shared<ResponseProgress>();
};

// Builds the request from the connection.
auto makeRequest(MHD_Connection *connection, const char *method, const char *path, const PendingRequest &pending,
    const Body &body) -> Request;

// Returns when the data that was last received on the connection had arrived.
auto arrivalOfLastData(MHD_Connection *connection) -> Arrival;

// Returns the value of a header field, or an empty string if the field is missing.
auto headerValue(MHD_Connection *connection, const char *name) -> std::string;

// Returns the declared length of the body; 0 if there is no body, nothing if its length is not declared.
auto declaredBodyBytes(MHD_Connection *connection) -> std::optional<std::size_t>;

// Returns whether the header fields define the length of the body ambiguously. A peer that applies another length would
// parse a part of the body as a separate request (request smuggling).
auto hasAmbiguousLength(MHD_Connection *connection) -> bool;

// Returns the socket of the connection.
auto socketOf(MHD_Connection *connection) -> int;

// What a response says of its connection.
struct Persistence
{
    // The connection closes after the response.
    const bool close_ = false;
    // The value of the Keep-Alive field; empty for none.
    const std::string keepAlive_ = {};

    auto operator<=>(const Persistence &) const = default;
};

// Returns the size of the request line and the header fields.
auto headerBytes(MHD_Connection *connection) -> std::size_t;

// Queues the response. Returns MHD_NO, which closes the
// connection at once, for closeWithoutResponse.
auto queueResponse(MHD_Connection *connection, const Response &response, const Persistence &persistence,
    const std::shared_ptr<ResponseProgress> &progress) -> MHD_Result;

// Returns a response as it is sent on a connection that closes after it.
auto responseText(const BufferedResponse &response) -> std::string;

// Sends a response while the body of the request still arrives, which MHD_queue_response() of libmicrohttpd 0.9.75
// refuses, and closes the sending side. Then reads and discards until the caller closes, for a bounded time and up to
// discardedBytes: closing a socket with unread data resets the connection, and the caller could lose the response. The
// connection must be closed afterwards.
auto respondDuringBody(MHD_Connection *connection, const BufferedResponse &response, std::size_t discardedBytes)
    -> void;

// Returns the JSON response for an error that the server itself detects.
auto errorResponse(int status, const std::string &message, RunState runState) -> BufferedResponse;

} // namespace jasminewood::http::internal
