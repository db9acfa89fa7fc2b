#pragma once

#include <optional>
#include <string>

#include <netinet/in.h>

// Addresses of processes in text that another process wrote.

namespace jasminewood::http
{

// Parses "IP:PORT" with a numeric IPv4 address of one host and a port from 1 to 65535. Returns nothing for any other
// text, such as a name, a multicast or unspecified address, or a URL.
auto parseSocketAddress(const std::string &text) -> std::optional<sockaddr_in>;

} // namespace jasminewood::http
