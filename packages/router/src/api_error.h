#pragma once

#include <string>

#include "jasminewood/core/failure.h"
#include "jasminewood/http/server.h"
#include "jasminewood/manifest/manifest.h"

// Answers of the callers' interface that are no chat completions.

namespace jasminewood::router::internal
{

// Returns the error object that callers get: message, type, code, step, peer, run_state, retry_after_ms and request_id.
auto errorJson(const std::string &requestId, const Failure &failure) -> std::string;

// Returns the HTTP status for a request that could not be answered: 503 if it was not run and may be repeated, 422 if
// it is quarantined, 502 otherwise.
auto statusOf(const Failure &failure) -> int;

auto errorResponse(int status, const std::string &requestId, const Failure &failure) -> http::BufferedResponse;

// The path exists, but not with this method; allowed stands in the header Allow.
auto wrongMethod(const std::string &requestId, const std::string &allowed) -> http::BufferedResponse;

// Passes a service's answer through.
auto serviceResponse(const std::string &requestId, int status, const std::string &contentType, const std::string &body)
    -> http::BufferedResponse;

// Returns the path and query of the upstream call: the service's own path prefix is taken off.
auto upstreamPath(const manifest::Pool &pool, const http::Request &request) -> std::string;

} // namespace jasminewood::router::internal
