#include "peer.h"

namespace jasminewood::platform::internal
{

auto peerOf(const std::string &url) -> std::string
{
    const auto scheme = url.find("://");
    const auto start = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(start, url.find('/', start) - start);
}

} // namespace jasminewood::platform::internal
