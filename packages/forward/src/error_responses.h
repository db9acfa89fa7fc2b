#pragma once

#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/admission.h"
#include "jasminewood/http/server.h"

// The error responses that the router generates itself.

namespace jasminewood::forward::internal
{

constexpr int serviceUnavailable = 503;
// Retry delay sent if there is no configuration or no upstream, or if no upstream ran the request.
constexpr Milliseconds unavailableRetryAfter = Milliseconds(500);

// Returns a JSON error with run state not_run.
auto refusalResponse(const Refusal &refusal, const std::string &requestId) -> http::BufferedResponse;

// Returns a JSON error for a request that may have run. The status is 502 or 504.
auto failureResponse(int status, const Failure &failure, const std::string &requestId) -> http::Response;

} // namespace jasminewood::forward::internal
