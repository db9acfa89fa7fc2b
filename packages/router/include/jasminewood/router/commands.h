#pragma once

#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// The operators' commands: each calls the administration API of one router.
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

// Returns whether the name is a command: submit, show, check, upstreams, drain or timeline.
auto isCommand(const std::string &name) -> bool;

// Runs a command and prints its result to standard output. Returns the exit status: 0 on success, 1 if the router
// rejected the command or could not be reached, 2 for invalid arguments.
auto runCommand(const std::string &name, const std::vector<std::string> &arguments, const AdminEndpoint &target) -> int;

} // namespace jasminewood::router
