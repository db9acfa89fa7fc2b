#include "jasminewood/routing/prefill_rate.h"

#include <algorithm>
#include <cmath>

namespace jasminewood::routing
{

namespace
{

auto milliseconds(Clock::duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

auto PrefillRate::record(std::uint64_t tokens, double slowness, Clock::duration timeToFirstToken) -> void
{
    if (tokens < minimumSampleTokens) {
        return;
    }
    const auto sample = double(tokens) * slowness / std::max(1.0, milliseconds(timeToFirstToken));
    const auto step = sample < tokensPerMillisecond_ ? -(1 - prefillRateQuantile) : prefillRateQuantile;
    tokensPerMillisecond_ *= std::exp(prefillRateStep * step);
}

auto PrefillRate::tokensIn(Clock::duration time) const -> std::uint64_t
{
    return std::uint64_t(tokensPerMillisecond_ * std::max(0.0, milliseconds(time)));
}

auto PrefillRate::tokensPerMillisecond() const -> double
{
    return tokensPerMillisecond_;
}

} // namespace jasminewood::routing
