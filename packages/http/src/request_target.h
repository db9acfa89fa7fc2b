#pragma once

#include <map>
#include <string>
#include <string_view>

// The parts of a request target (RFC 3986).

namespace jasminewood::http::internal
{

using Parameters = std::map<std::string, std::string>;

// Returns the path of a request target, with percent-encoded bytes decoded.
auto decodePath(std::string_view target) -> std::string;

// Returns the query parameters of a request target by name, decoded; the last value of a repeated one.
auto decodeParameters(std::string_view target) -> Parameters;

// Returns the parameters as "name=value&name=value".
auto joinParameters(const Parameters &parameters) -> std::string;

} // namespace jasminewood::http::internal
