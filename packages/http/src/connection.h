#pragma once

#include <string>

#include <microhttpd.h>

#include "jasminewood/http/server.h"

// The translation between libmicrohttpd's connection and the values of the public interface.

namespace jasminewood::http::internal
{

// Builds the request of a connection whose body has arrived.
auto requestOf(MHD_Connection *connection, const char *method, const char *path, std::string target, std::string body)
    -> Request;

// Returns the value of a header field, or an empty string.
auto headerOf(MHD_Connection *connection, const char *name) -> std::string;

// Returns whether the header fields leave the length of the body in doubt. A peer that read the message with another
// length would take a part of the body for a request of its own.
auto ambiguousLength(MHD_Connection *connection) -> bool;

// Returns the socket of the connection.
auto socketOf(MHD_Connection *connection) -> int;

// Queues the response; with closing set, the connection closes after it.
auto send(MHD_Connection *connection, const Response &response, bool closing) -> MHD_Result;

// The JSON body of an error that the server itself detects.
auto errorResponse(int status, const std::string &message) -> BufferedResponse;

} // namespace jasminewood::http::internal
