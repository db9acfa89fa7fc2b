#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"

// Fencing tokens that are stored beside the key of a leader and increase also if the store comes back from an older
// copy of itself.

namespace jasminewood::election
{

// The last digits of a token stand for the router's name, so that routers which know different eras of the store
// generate different tokens.
constexpr std::uint64_t tokensPerMillisecond = 1'000;
// How far a new token exceeds one that a receiver of commands has refused: 10 s in terms of the wall clock.
constexpr std::uint64_t stepAfterRefusal = 10'000'000;

struct TokenBasis
{
    // The highest token that this router has seen, in any era of the store.
    const std::uint64_t highestSeen_ = 0;
    // The highest token of this router that a receiver refused, if any.
    const std::optional<std::uint64_t> highestRefused_;
    // Wall clock since the start of 1970.
    const Milliseconds wallClock_ = Milliseconds(0);

    auto operator<=>(const TokenBasis &) const = default;
};

// Returns a token that is greater than those of the basis.
auto nextFencingToken(const TokenBasis &basis, const std::string &router) -> std::uint64_t;

} // namespace jasminewood::election
