#pragma once

#include <string>
#include <vector>

#include "jasminewood/forward/admission.h"
#include "jasminewood/http/server.h"

// The answers that this system gives by itself.

namespace jasminewood::forward::internal
{

// A JSON error with the run state not_run.
auto refusalResponse(const Refusal &refusal, const std::string &requestId) -> http::Response;

// A JSON error for a request that may have run. The status is 502 or 504.
auto failureResponse(int status, const Failure &failure, const std::string &requestId) -> http::Response;

} // namespace jasminewood::forward::internal
