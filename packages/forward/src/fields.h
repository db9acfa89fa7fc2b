#pragma once

#include <vector>

#include "jasminewood/http/server.h"

// Header fields that concern one connection only.

namespace jasminewood::forward::internal
{

// Returns the fields without those of the connection, those that the Connection field names, and the body's length,
// which the next message states by itself.
auto endToEnd(const std::vector<http::HeaderField> &fields) -> std::vector<http::HeaderField>;

} // namespace jasminewood::forward::internal
