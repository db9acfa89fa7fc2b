#pragma once

#include <vector>

#include "jasminewood/http/server.h"

// Separates end-to-end header fields from hop-by-hop ones.

namespace jasminewood::forward::internal
{

// Returns the fields without hop-by-hop fields, fields that the Connection field lists, and the body's length, which is
// set anew for the forwarded message.
auto endToEndFields(const std::vector<http::HeaderField> &fields) -> std::vector<http::HeaderField>;

} // namespace jasminewood::forward::internal
