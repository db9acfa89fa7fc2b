#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/ids.h"

// The record that the key-value service stores for one non-idempotent request. It ensures that the request runs at most
// once over all routers and all retries by the caller.

namespace jasminewood::claims
{

// Maximum body size of a stored response. A larger response is not stored; a repeated request then fails with run state
// Ran.
constexpr std::size_t maximumStoredResponseBytes = std::size_t(64) * 1024;

enum class ClaimState : std::uint8_t
{
    // Only the router in the record may dispatch the attempt.
    Claimed,
    // The attempt ran. This state is final.
    Completed,
    // The attempt is confirmed as not run and will never run. The idempotency key may be claimed again.
    Released,
};

// Returns "claimed", "completed" or "released".
auto toString(ClaimState state) -> std::string_view;

// The upstream's response, as stored with a completed claim.
struct StoredResponse
{
    // HTTP status of the upstream.
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    const std::string body_;

    auto operator<=>(const StoredResponse &) const = default;
};

struct ClaimRecord
{
    const AttemptId attempt_;
    // The router that owns the claim.
    const NodeId router_;
    // The agent, with its incarnation, to which the attempt is dispatched.
    const NodeId agent_;
    const ClaimState state_ = ClaimState::Claimed;
    // Present in completed claims, unless the response was too large to store or was lost.
    const std::optional<StoredResponse> response_ = std::nullopt;

    auto operator<=>(const ClaimRecord &) const = default;
};

} // namespace jasminewood::claims
