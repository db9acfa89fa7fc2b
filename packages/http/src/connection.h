#pragma once

#include <string>

#include <microhttpd.h>

#include "jasminewood/http/server.h"

// The translation between libmicrohttpd's connection and the values of the public interface.

namespace jasminewood::http::internal
{

// Builds the request of a connection whose body has arrived.
auto requestOf(MHD_Connection *connection, const char *method, const char *path, std::string body) -> Request;

// Returns the value of a header field, or an empty string.
auto headerOf(MHD_Connection *connection, const char *name) -> std::string;

// Returns the socket of the connection.
auto socketOf(MHD_Connection *connection) -> int;

// Queues the response; with closing set, the connection closes after it.
auto send(MHD_Connection *connection, const Response &response, bool closing) -> MHD_Result;

// The JSON body of an error that the server itself detects.
auto errorResponse(int status, const std::string &message) -> WholeResponse;

} // namespace jasminewood::http::internal
