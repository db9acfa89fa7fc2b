#pragma once

#include <string>

namespace jasminewood::platform::internal
{

// Returns "HOST:PORT" of a URL.
auto peerOf(const std::string &url) -> std::string;

} // namespace jasminewood::platform::internal
