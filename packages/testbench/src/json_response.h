#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"

// JSON answers of the fakes.

namespace jasminewood::testbench::internal
{

auto jsonResponse(int status, const nlohmann::json &body) -> http::BufferedResponse;

// An error in the form of the OpenAI API.
auto errorResponse(int status, const std::string &message) -> http::BufferedResponse;

// Returns the value of a request header, or an empty string.
auto headerOf(const http::Request &request, const std::string &lowerCaseName) -> std::string;

} // namespace jasminewood::testbench::internal
