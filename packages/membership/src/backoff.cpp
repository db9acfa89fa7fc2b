#include "jasminewood/membership/backoff.h"

#include <algorithm>

namespace jasminewood::membership
{

namespace
{

// A larger shift could overflow the delay; the maximum applies long before.
constexpr std::uint32_t maximumDoublings = 20;

// SplitMix64, whose state is a single word: there is one generator for each of thousands of peers.
auto nextRandom(std::uint64_t &state) -> std::uint64_t
{
    state += 0x9e3779b97f4a7c15U;
    auto value = state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

Backoff::Backoff(std::uint64_t seed, Milliseconds base, Milliseconds maximum)
    : randomState_(seed)
    , base_(base)
    , maximum_(maximum)
{
}

auto Backoff::nextDelay() -> Milliseconds
{
    const auto bound = static_cast<std::uint64_t>(ceiling().count());
    doublings_ = std::min(doublings_ + 1, maximumDoublings);
    return Milliseconds(nextRandom(randomState_) % (bound + 1));
}

auto Backoff::ceiling() const -> Milliseconds
{
    return std::min(maximum_, base_ * (std::int64_t(1) << doublings_));
}

auto Backoff::reset() -> void
{
    doublings_ = 0;
}

} // namespace jasminewood::membership
