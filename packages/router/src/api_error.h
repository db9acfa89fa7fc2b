#pragma once

#include <string>

#include "jasminewood/core/failure.h"
#include "jasminewood/http/server.h"
#include "jasminewood/manifest/manifest.h"

// Responses of the callers' API other than chat completions.

namespace jasminewood::router::internal
{

// Returns the error object for callers: message, type, code, step, peer, run_state, retry_after_ms and request_id.
auto errorJson(const std::string &requestId, const Failure &failure) -> std::string;

// Returns the HTTP status of a failed request: 422 if it is quarantined, 503 if it was not run and may be retried, 502
// otherwise.
auto httpStatusFor(const Failure &failure) -> int;

auto errorResponse(int status, const std::string &requestId, const Failure &failure) -> http::BufferedResponse;

// Returns status 405 for an existing path that does not support the request's method; "allowed" goes into the Allow
// header.
auto methodNotAllowed(const std::string &requestId, const std::string &allowed) -> http::BufferedResponse;

// Returns the response of an upstream unchanged, with the X-Request-Id header added.
auto passThroughResponse(const std::string &requestId, int status, const std::string &contentType,
    const std::string &body) -> http::BufferedResponse;

// Returns the path and query of the upstream call, without the path prefix of the service.
auto upstreamPath(const manifest::Pool &pool, const http::Request &request) -> std::string;

} // namespace jasminewood::router::internal
