#pragma once

#include <cstddef>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/http/client.h"

// Calls a router's administration API with the operator key that all deployments use.

namespace jasminewood::testbench::internal
{

constexpr auto operatorKey = "demo-admin-key";
// SHA-256 of operatorKey, in hexadecimal.
constexpr auto operatorKeyHash = "ac5bb3526d3be432ba19fb1fc0712d350c160bd2169cd24401c9fcaeaac2d860";

// Returns a failure unless the response has status 200.
auto requireOk(const std::string &step, const std::string &peer, const Result<http::ClientResponse> &response)
    -> Status;

// Submits a manifest based on the current revision.
auto submitManifest(const std::string &adminUrl, const std::string &manifest, const std::string &submission) -> Status;

// Returns whether /readyz responds with status 200.
auto isReady(const std::string &adminUrl) -> bool;

// Returns the number of upstreams that the router reports as live.
auto liveUpstreams(const std::string &adminUrl) -> std::size_t;

} // namespace jasminewood::testbench::internal
