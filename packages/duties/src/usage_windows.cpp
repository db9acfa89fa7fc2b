#include "jasminewood/duties/usage_windows.h"

#include <algorithm>
#include <numeric>

namespace jasminewood::duties
{

auto windowAt(Milliseconds time, Milliseconds length) -> WindowNumber
{
    return WindowNumber(std::max<Milliseconds::rep>(time.count(), 0) / length.count());
}

auto windowEnd(WindowNumber number, Milliseconds length) -> Milliseconds
{
    return Milliseconds::rep(number + 1) * length;
}

auto totalOf(const AccountCounts &counts) -> std::uint64_t
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t(0), [](auto sum, const auto &entry) {
        return sum + entry.second;
    });
}

UsageWindows::UsageWindows(Milliseconds length, Milliseconds now)
    : length_(length)
    , firstOpen_(windowAt(now, length))
    , windows_({{firstOpen_, {}}})
{
}

auto UsageWindows::record(const std::string &account, Milliseconds time) -> void
{
    ++windows_[std::max(windowAt(time, length_), firstOpen_)][account];
}

auto UsageWindows::closeEnded(Milliseconds now) -> void
{
    const auto present = windowAt(now, length_);
    const auto oldestKept = present - std::min(present, WindowNumber(reportedWindows - 1));
    for (auto number = std::max(firstOpen_, oldestKept); number <= present; ++number) {
        windows_.try_emplace(number);
    }
    firstOpen_ = std::max(firstOpen_, present);
    windows_.erase(windows_.begin(), windows_.lower_bound(oldestKept));
}

auto UsageWindows::recent(Milliseconds now) -> std::vector<WindowCounts>
{
    closeEnded(now);
    auto result = std::vector<WindowCounts>();
    for (const auto &[number, counts] : windows_) {
        result.push_back({.number_ = number, .closed_ = number < firstOpen_, .counts_ = counts});
    }
    return result;
}

} // namespace jasminewood::duties
