#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/routes/route_table.h"

// Whether a request may be forwarded, and within which time.

namespace jasminewood::forward
{

// A request that is not forwarded. Each of these statuses means that it did not run.
struct Refusal
{
    const int status_ = 503;
    // In lower case with underscores, for programs.
    const std::string code_;
    const std::string message_;
    // When the caller may ask again; 0 if asking again is useless.
    const Milliseconds retryAfter_ = Milliseconds(0);

    auto operator<=>(const Refusal &) const = default;
};

// The pointers belong to the route table.
struct AdmittedRequest
{
    const routes::Route *route_ = nullptr;
    // nullptr for an anonymous request.
    const routes::Account *account_ = nullptr;
    // 0 is the most urgent.
    const std::uint32_t enginePriority_ = 0;
    // The time that the request may take in all.
    const Milliseconds timeout_ = Milliseconds(0);
};

// The patience of a caller that does not state any, and the longest that is believed.
constexpr Milliseconds maximumTimeout = std::chrono::minutes(10);

// Keys are not believed while keysTrusted is false, since one may have been taken away meanwhile.
auto admit(const routes::RouteTable &table, const RequestMetadata &demand, const std::string &target, bool keysTrusted)
    -> std::variant<AdmittedRequest, Refusal>;

} // namespace jasminewood::forward
