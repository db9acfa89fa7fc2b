#pragma once

#include "jasminewood/http/server.h"

namespace jasminewood::forward::internal
{

// Returns for how long the last data of a request had waited when a thread began to handle it. Unlike the time since
// the arrival, this does not include the time in which a slow caller sent a body.
auto handlingDelay(const http::Request &request, TimePoint now) -> Clock::duration;

} // namespace jasminewood::forward::internal
