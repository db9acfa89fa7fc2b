#pragma once

#include <string_view>

namespace jasminewood::manifest::internal
{

// Whether prefix covers path up to a slash or its end: "/services/booking" covers "/services/booking/7" but not
// "/services/bookings".
inline auto isPathPrefix(std::string_view prefix, std::string_view path) -> bool
{
    return path.starts_with(prefix)
        && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

} // namespace jasminewood::manifest::internal
