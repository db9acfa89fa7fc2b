#include "jasminewood/link/backoff.h"

#include <algorithm>

namespace jasminewood::link
{

Backoff::Backoff(std::uint64_t seed)
    : random_(seed)
{
}

auto Backoff::nextDelay() -> Milliseconds
{
    const auto maximum = ceiling_.count();
    ceiling_ = std::min(2 * ceiling_, maximumBackoff);
    return Milliseconds(std::uniform_int_distribution(maximum / 2, maximum)(random_));
}

auto Backoff::reset() -> void
{
    ceiling_ = initialBackoff;
}

} // namespace jasminewood::link
