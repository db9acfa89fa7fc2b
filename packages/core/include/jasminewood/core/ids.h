#pragma once

#include <compare>
#include <cstdint>
#include <string>

// Identifiers of requests, attempts and processes.
//
//     const auto first = AttemptId{.requestId_ = "r-lj-a-1-7", .number_ = 1};

namespace jasminewood
{

// One attempt to run a request at one upstream. A request has one attempt at a time, or two while it is hedged. Attempt
// numbers start at 1 and are never reused within a request.
struct AttemptId
{
    const std::string requestId_;
    const std::uint32_t number_ = 0;

    auto operator<=>(const AttemptId &) const = default;
};

// Identifies one run of one process. A restarted process keeps its name and gets a new incarnation, so that messages
// addressed to its previous run can be rejected.
struct NodeId
{
    const std::string name_;
    const std::uint64_t incarnation_ = 0;

    auto operator<=>(const NodeId &) const = default;
};

// Returns "REQUEST#NUMBER", the form used in logs and in the time line.
auto toString(const AttemptId &attempt) -> std::string;

// Returns "NAME@INCARNATION", with the incarnation in hexadecimal: the form used in logs and in the time line.
auto toString(const NodeId &node) -> std::string;

} // namespace jasminewood
