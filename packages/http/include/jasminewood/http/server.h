#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/http/body.h"

// An HTTP/1.1 server with one thread for each connection. Requests are parsed by Boost.Beast.
//
//     const auto server = http::Server::start({.port_ = 8080}, [](const http::Request &request) -> http::Response {
//         return http::BufferedResponse {.status_ = 200, .body_ = request.path_};
//     });

namespace jasminewood::http
{

// One header field of a request or a response.
struct HeaderField
{
    const std::string name_;
    const std::string value_;

    auto operator<=>(const HeaderField &) const = default;
};

// A time by both clocks.
struct Arrival
{
    const TimePoint steady_;
    const BootTime boot_;

    auto operator<=>(const Arrival &) const = default;
};

// A request whose body has arrived completely, or, for an AdmissionCheck, its header section.
struct Request
{
    const std::string method_;
    const std::string path_;
    // The query as "name=value&name=value", decoded.
    const std::string query_;
    // Header fields by lower-case name; the last value of a repeated field.
    const std::map<std::string, std::string> headers_;
    // All header fields as received, in any order.
    const std::vector<HeaderField> fields_;
    // The request target as received, including its query, not decoded.
    const std::string requestTarget_;
    // Query parameters by name, decoded.
    const std::map<std::string, std::string> parameters_;
    const Body body_;
    // Returns whether the caller closed its connection. Does not block. Valid until the response ends, so that
    // nextEvent_ of a StreamResponse may use a copy.
    const std::function<auto()->bool> callerDisconnected_;
    // The socket of the caller's connection, for poll() only: it reports a hang-up when the caller closes. Valid as
    // long as callerDisconnected_.
    const int callerDescriptor_ = -1;
    // When the request arrived: when its first line was read, less the time for which that data had waited in the
    // kernel, as far as the kernel tells.
    const Arrival arrival_ = {};
};

// A response with this status closes the connection without sending anything.
inline constexpr int closeWithoutResponse = 0;

// A response whose body is known when the handler returns.
struct BufferedResponse
{
    const int status_ = 200;
    const std::vector<HeaderField> headers_;
    const std::string body_;
    // Kept until the response has been sent, or cannot be sent any more. May be empty.
    const std::shared_ptr<const void> resource_ = nullptr;

    auto operator<=>(const BufferedResponse &) const = default;
};

// Data to send at once. An empty chunk is skipped.
struct Chunk
{
    const std::string data_;

    auto operator<=>(const Chunk &) const = default;
};

// The stream is complete.
struct EndOfStream
{
    auto operator<=>(const EndOfStream &) const = default;
};

// The stream failed: the connection is closed without a valid end, so that the caller sees a truncated response.
struct AbortStream
{
    auto operator<=>(const AbortStream &) const = default;
};

using StreamEvent = std::variant<Chunk, EndOfStream, AbortStream>;

// A response whose body is produced while it is sent.
struct StreamResponse
{
    const int status_ = 200;
    const std::vector<HeaderField> headers_;
    // Returns the next event. Runs on the connection's thread and may block.
    const std::function<auto()->StreamEvent> nextEvent_;
    // Called exactly once when the response ends or the caller disconnects. May be empty.
    const std::function<auto()->void> onClosed_;
};

using Response = std::variant<BufferedResponse, StreamResponse>;

// Runs on the connection's thread and may block. An exception that it throws yields a response with status 500, which
// says that the request may have run.
using Handler = std::function<auto(const Request &)->Response>;

// Decides on a request by its header section, before its body is read, if the body may be longer than
// uncheckedBodyBytes; body_ is empty then. Returns the response of a request that is refused, after which the
// connection closes; empty if the body is to be read and the handler called, as after an exception. Runs on the
// connection's thread.
using AdmissionCheck = std::function<auto(const Request &)->std::optional<BufferedResponse>>;

// A body that is declared to be at most this long is read in any case. It needs no more memory than a header section,
// and the connection of its caller can be kept if the handler refuses the request.
constexpr std::size_t uncheckedBodyBytes = std::size_t(16) * 1024;

// The longest head (request line and header fields) that any limit allows, in bytes.
constexpr std::size_t maximumHeaderBytes = std::size_t(64) * 1024;

struct ServerOptions
{
    const std::string address_ = "127.0.0.1";
    // 0 lets the system choose a free port.
    const std::uint16_t port_ = 0;
    // A larger body is rejected with status 413 and the handler is not called.
    const std::size_t maximumBodyBytes_ = std::size_t(4) << 20U;
    // What all bodies, and heads with very many fields, together may hold in memory, in bytes; at least two bodies of
    // the largest size. A request for which there is none is refused with status 503 and the handler is not called.
    const std::size_t maximumBodyMemory_ = std::size_t(32) << 20U;
    const unsigned maximumConnections_ = 4096;
    // A connection without a request in progress is closed after this time. A caller that accepts no data for this time
    // is treated as disconnected.
    const std::chrono::seconds idleTimeout_ = std::chrono::seconds(60);

    auto operator<=>(const ServerOptions &) const = default;
};

// Bounds of one connection.
struct ConnectionLimits
{
    // A longer request line with its header fields is rejected with status 431.
    const std::size_t maximumHeaderBytes_ = maximumHeaderBytes;
    // A larger body is rejected with status 413. The handler is not called in either case.
    const std::size_t maximumBodyBytes_ = std::size_t(4) << 20U;
    // A connection is not closed sooner than this after the end of its last response. Responses tell it to the caller
    // in a Keep-Alive field.
    const Milliseconds idleTimeout_ = Milliseconds(60'000);

    auto operator<=>(const ConnectionLimits &) const = default;
};

// Returns the limits in force. Called for each new connection and at the start and the end of each request, on any
// thread.
using LimitsSource = std::function<auto()->ConnectionLimits>;

// Why a request got no complete response of its handler.
enum class EndReason : std::uint8_t
{
    // The handler returned closeWithoutResponse.
    HandlerClosed,
    HandlerThrew,
    // nextEvent_ of a stream returned AbortStream.
    StreamAborted,
    StreamThrew,
    // The body exceeds the limit.
    BodyTooLarge,
    // The request line and the header fields exceed the limit.
    HeadTooLarge,
    // There is no memory for the body, or for a head with very many fields.
    NoBodyMemory,
    // The body made no progress while memory was short.
    BodyStalled,
    // The body was not complete after a long time.
    BodyTooSlow,
    // The caller sent or accepted no data for ServerOptions::idleTimeout_.
    IdleTimeout,
    // The server stopped.
    Shutdown,
    // The caller closed the connection, or data could not be read from it.
    CallerClosed,
    // Data could not be sent, or the request was malformed.
    ConnectionFailed,
    // There was no room, or no thread, for the connection; nothing was read from it.
    NoRoom,
};

// Returns a description for logs and metrics.
auto toString(EndReason reason) -> std::string_view;

// Returns whether the request was refused because of its body.
auto isRefusedBody(EndReason reason) -> bool;

// A request that got no complete response of its handler, or a connection that was closed unread.
struct UnservedRequest
{
    const EndReason reason_ = EndReason::ConnectionFailed;
    // The request target as received; empty if nothing was read.
    const std::string target_;
    // Whether the whole request had been read.
    const bool requestRead_ = false;
    // Whether a response had begun.
    const bool responseBegun_ = false;
    // Bytes of a stream's body that were handed to the connection. 0 for other responses.
    const std::size_t streamedBytes_ = 0;
    // The message of the exception or of the HTTP library, if any.
    const std::string detail_;

    auto operator<=>(const UnservedRequest &) const = default;
};

// Called on the connection's thread, or on the accepting one for NoRoom. It must not throw.
using UnservedListener = std::function<auto(const UnservedRequest &)->void>;

// Thread-safe.
class Server
{
public:
    // Binds, listens and serves. Fails with step "bind" and peer "ADDRESS:PORT" if the address cannot be bound. The
    // listener is told of each request without a complete response of the handler; it may be empty. The limits replace
    // those of the options; without a source the options apply, and responses have no Keep-Alive field. Without an
    // admission check all bodies within the limits are read.
    static auto start(const ServerOptions &options, Handler handler, UnservedListener onUnserved = {},
        LimitsSource limits = {}, AdmissionCheck check = {}) -> Result<std::shared_ptr<Server>>;

    // Stops the server as stop() does.
    ~Server();

    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    // The port on which the server listens.
    auto port() const -> std::uint16_t;

    // Returns the number of open connections. At ServerOptions::maximumConnections_ each new one is closed at once.
    auto connectionCount() const -> unsigned;

    // Returns the memory that the bodies and the long heads of requests have reserved, in bytes.
    auto bodyBytes() const -> std::size_t;

    // Makes each later response close its connection. New connections are still accepted.
    auto closeAfterResponses() -> void;

    // Makes responses close their connections, if these were opened before the given time, until so many connections
    // have been closed. What is left of an earlier call no longer applies. Returns how many open connections this can
    // close at most.
    auto closeAfterResponses(std::size_t connections, TimePoint openedBefore) -> std::size_t;

    // Accepts no new connections. Requests on open connections are still served, and each response closes its
    // connection.
    auto stopAccepting() -> void;

    // Waits until no request is in progress; returns whether that happened within the timeout.
    auto waitUntilIdle(Milliseconds timeout) -> bool;

    // Accepts no new connections, and closes each open one as soon as the requests that have been read from it are
    // answered. Returns whether all were closed within the timeout. To a handler that still runs, its caller appears
    // disconnected, so call this when no request is in progress.
    auto closeConnections(Milliseconds timeout) -> bool;

    // Closes all connections and waits for running handlers to return. May be called twice.
    auto stop() -> void;

private:
    class State;

    explicit Server(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::http
