#pragma once

#include <cstdint>
#include <string>

#include "jasminewood/http/server.h"

namespace jasminewood::forward::internal
{

// Returns a hash of what identifies a request that a caller sends again: the caller's account, the host, the method,
// the path with its query, and the body. Ids and times, which differ each time, are left out.
auto requestFingerprint(const http::Request &request, const std::string &account) -> std::uint64_t;

} // namespace jasminewood::forward::internal
