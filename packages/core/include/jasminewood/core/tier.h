#pragma once

#include <cstdint>

// Service tiers. Tier 0 is the highest; a smaller number takes precedence.

namespace jasminewood
{

using Tier = std::uint8_t;

constexpr Tier highestTier = 0;
constexpr Tier lowestTier = 3;
constexpr int tierCount = 4;

} // namespace jasminewood
