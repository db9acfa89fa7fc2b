#pragma once

#include <memory>
#include <optional>

#include "body_receiver.h"
#include "head_receiver.h"
#include "request_parser.h"
#include "response_writer.h"
#include "server_context.h"

// The connection of a caller: reads its requests one after the other and responds to each.

namespace jasminewood::http::internal
{

// Runs on the connection's thread.
class CallerConnection
{
public:
    // The socket must stay open.
    CallerConnection(ServerContext &server, int socket);

    // Serves requests until the connection is to be closed.
    auto serve() -> void;

private:
    // A request whose head has been received.
    struct CurrentRequest
    {
        const RequestHead &head_;
        const Arrival arrival_;
        const ConnectionLimits limits_;
        RequestParser &parser_;
        ResponseProgress progress_ = {};
        // What its header fields have reserved; empty if they take little memory.
        std::shared_ptr<Reservation> headMemory_ = nullptr;
    };

    // Each of these returns whether the connection remains open.
    auto serveNext() -> bool;
    auto serveHead(const ReceivedHead &received, RequestParser &parser) -> bool;
    auto serveRequest(CurrentRequest &request) -> bool;
    auto serveWithBody(CurrentRequest &request) -> bool;
    auto respond(CurrentRequest &request, const Body &body) -> bool;
    auto refuse(CurrentRequest &request, const Refusal &refusal) -> bool;

    auto reportPartialHead(const PartialHead &head) -> void;
    auto refuseHead(const RefusedHead &head) -> void;

    // Returns why the request is refused by its head, if it is.
    auto checkHead(CurrentRequest &request) -> std::optional<Refusal>;
    // Returns whether there is memory for the copies of the header fields.
    auto reserveHeadMemory(CurrentRequest &request) -> bool;
    // Returns the response of the AdmissionCheck, if there is one and it refuses the request.
    auto checkAdmission(const CurrentRequest &request) -> std::optional<BufferedResponse>;

    auto receiveBody(CurrentRequest &request) -> ReceivedBody;

    auto makeRequest(const CurrentRequest &request, const Body &body) const -> Request;
    auto callHandler(const Request &request, ResponseProgress &progress) const -> Response;
    auto persistence(const RequestHead &head) -> Persistence;
    // Returns the time for which the connection may be idle by the limits in force.
    auto idleTimeout() const -> Milliseconds;
    // Returns why a request ends whose caller sends no more.
    auto reasonFor(ReceiveEnd end) const -> EndReason;
    auto finish(const CurrentRequest &request) -> void;

    ServerContext &server_;
    const int socket_;
    ReceiveBuffer buffer_;
    // In force since the last response.
    Milliseconds idleTimeout_;
};

} // namespace jasminewood::http::internal
