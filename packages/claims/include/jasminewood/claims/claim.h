#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/ids.h"

// The value that the key-value service holds for one non-idempotent request.

namespace jasminewood::claims
{

// Answers with a larger body are not stored; a repeated request then learns only that the first one ran.
constexpr std::size_t maximumStoredResponseBytes = std::size_t(64) * 1024;

enum class ClaimState : std::uint8_t
{
    // The attempt may be dispatched by the router that the claim names, and by no other.
    Claimed,
    // The attempt ran. Final.
    Completed,
    // The attempt was confirmed as not run and never will be; the key may be claimed again.
    Released,
};

// Returns "claimed", "completed" or "released".
auto toString(ClaimState state) -> std::string_view;

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
    // The router whose attempt this is.
    const NodeId router_;
    // The agent and the incarnation that the attempt is meant for.
    const NodeId agent_;
    const ClaimState state_ = ClaimState::Claimed;
    // Present in completed claims, unless the answer was too large or was lost.
    const std::optional<StoredResponse> response_ = std::nullopt;

    auto operator<=>(const ClaimRecord &) const = default;
};

} // namespace jasminewood::claims
