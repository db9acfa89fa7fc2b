#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"

// HTTP helpers of the fake services.

namespace jasminewood::testbench::internal
{

auto jsonResponse(int status, const nlohmann::json &body) -> http::BufferedResponse;

// Returns an error response in the format of the OpenAI API.
auto errorResponse(int status, const std::string &message) -> http::BufferedResponse;

// Returns the value of a request header, or an empty string if it is missing.
auto headerOf(const http::Request &request, const std::string &lowerCaseName) -> std::string;

} // namespace jasminewood::testbench::internal
