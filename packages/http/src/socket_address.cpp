#include "jasminewood/http/socket_address.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <system_error>

#include <arpa/inet.h>

namespace jasminewood::http
{

namespace
{

auto parsePort(std::string_view text) -> std::uint16_t
{
    auto port = std::uint16_t(0);
    const auto *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && parsedEnd == end ? port : std::uint16_t(0);
}

// Returns whether one host can have this address: not "this network", multicast, reserved or broadcast.
auto isHostAddress(in_addr address) -> bool
{
    constexpr std::uint32_t firstByteShift = 24;
    constexpr std::uint32_t firstMulticastByte = 224;
    const auto firstByte = ntohl(address.s_addr) >> firstByteShift;
    return firstByte > 0 && firstByte < firstMulticastByte;
}

} // namespace

auto parseSocketAddress(const std::string &text) -> std::optional<sockaddr_in>
{
    const auto colon = std::min(text.find_first_not_of("0123456789."), text.size());
    const auto port = text.substr(colon).starts_with(':') ? parsePort(std::string_view(text).substr(colon + 1)) : 0;
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    const auto isValid = port > 0 && inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1
        && isHostAddress(address.sin_addr);
    return isValid ? std::optional(address) : std::nullopt;
}

} // namespace jasminewood::http
