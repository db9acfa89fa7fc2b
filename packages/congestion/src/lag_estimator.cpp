#include "jasminewood/congestion/lag_estimator.h"

#include <algorithm>

namespace jasminewood::congestion
{

namespace
{

auto windowIndex(TimePoint time) -> std::int64_t
{
    return time.time_since_epoch() / lagWindow;
}

} // namespace

auto LagEstimator::record(Clock::duration delay, TimePoint now) -> void
{
    if (delay > maximumPlausibleLag) {
        return;
    }
    if (const auto index = windowIndex(now); index > current_.index_) {
        previous_ = current_;
        current_ = Window {.index_ = index};
    }
    ++current_.count_;
    current_.total_ += std::max(delay, Clock::duration::zero());
}

auto LagEstimator::lag(TimePoint now) const -> Milliseconds
{
    auto count = std::uint32_t(0);
    auto total = Clock::duration::zero();
    for (const auto &window : {previous_, current_}) {
        if (window.index_ + 1 >= windowIndex(now)) {
            count += window.count_;
            total += window.total_;
        }
    }
    return count < minimumLagSamples ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(total / count);
}

} // namespace jasminewood::congestion
