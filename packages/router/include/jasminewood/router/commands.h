#pragma once

#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// The operators' commands: calls of the administration API of one router.
//
//     jasminewood-router submit manifest.ini --admin_url=http://10.0.0.4:8090 --admin_key=KEY

namespace jasminewood::router
{

struct AdminEndpoint
{
    // For example "http://127.0.0.1:8090".
    const std::string url_;
    const std::string bearerKey_;

    auto operator<=>(const AdminEndpoint &) const = default;
};

// Whether there is a command of this name: submit, show, check, upstreams, drain or timeline.
auto isCommand(const std::string &name) -> bool;

// Runs a command and prints its result to standard output. Returns the exit status: 0 on success, 1 if the router
// refused it or could not be reached, 2 for wrong arguments.
auto runCommand(const std::string &name, const std::vector<std::string> &arguments, const AdminEndpoint &target) -> int;

} // namespace jasminewood::router
