#pragma once

#include <string>
#include <string_view>

namespace jasminewood::router
{

// Returns the SHA-256 digest of the bytes in lower-case hex.
auto sha256Hex(std::string_view bytes) -> std::string;

} // namespace jasminewood::router
