#pragma once

#include <string>

namespace jasminewood::platform::internal
{

// Returns the "HOST:PORT" part of a URL.
auto peerOf(const std::string &url) -> std::string;

} // namespace jasminewood::platform::internal
