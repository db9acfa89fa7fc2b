#pragma once

#include <cstddef>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/http/client.h"

// Calls to a router's administration API with the key of all deployments.

namespace jasminewood::testbench::internal
{

constexpr auto operatorsKey = "demo-admin-key";
// SHA-256 of the key.
constexpr auto operatorsKeyHash = "ac5bb3526d3be432ba19fb1fc0712d350c160bd2169cd24401c9fcaeaac2d860";

// Returns a failure unless the call was answered with status 200.
auto succeeded(const std::string &step, const std::string &peer, const Result<http::ClientResponse> &answer) -> Status;

// Submits a manifest on top of the current one.
auto submitManifest(const std::string &adminUrl, const std::string &manifest, const std::string &submission) -> Status;

// Whether /readyz answers with status 200.
auto isReady(const std::string &adminUrl) -> bool;

// Returns how many upstreams the router sees as live.
auto liveUpstreams(const std::string &adminUrl) -> std::size_t;

} // namespace jasminewood::testbench::internal
