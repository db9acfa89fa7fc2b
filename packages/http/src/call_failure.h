#pragma once

#include <string>

#include <curl/curl.h>

// How the result codes of libcurl appear in the failures of this package.

namespace jasminewood::http::internal
{

// Returns the step of a call that failed with the code.
auto failedStep(CURLcode code, bool connected) -> std::string;

// Returns the reason for a failure. The text of libcurl says which part of a malformed response it refused; for other
// failures it holds times and numbers, which would make equal failures differ.
auto failureReason(CURLcode code, const std::string &errorText) -> std::string;

} // namespace jasminewood::http::internal
