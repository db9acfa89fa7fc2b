#pragma once

#include <string_view>

namespace jasminewood::manifest::internal
{

// Returns whether prefix is a prefix of path that ends at a slash or at the end of path: "/services/booking" is one of
// "/services/booking/7" but not of "/services/bookings".
inline auto isPathPrefix(std::string_view prefix, std::string_view path) -> bool
{
    return path.starts_with(prefix)
        && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

} // namespace jasminewood::manifest::internal
