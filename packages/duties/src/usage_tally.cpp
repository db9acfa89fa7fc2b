#include "jasminewood/duties/usage_tally.h"

#include <algorithm>

namespace jasminewood::duties
{

auto isComplete(const WindowSummary &summary, const std::set<std::string> &routers) -> bool
{
    return std::all_of(routers.begin(), routers.end(), [&summary](const std::string &router) {
        return std::any_of(summary.sources_.begin(), summary.sources_.end(), [&router](const SourceState &source) {
            return source.router_.name_ == router && source.complete_;
        });
    });
}

auto UsageTally::apply(const SourceReport &report, WindowNumber latest, TimePoint now) -> void
{
    const auto oldestKept = latest - std::min(latest, WindowNumber(talliedWindows - 1));
    windows_.erase(windows_.begin(), windows_.lower_bound(oldestKept));
    if (report.number_ < oldestKept || report.number_ > latest) {
        return;
    }
    auto &source = windows_[report.number_][report.router_];
    source.closed_ = source.closed_ || report.closed_;
    source.total_ = std::max(source.total_, report.total_);
    source.heardAt_ = now;
    for (const auto &[account, count] : report.counts_) {
        auto &known = source.counts_[account];
        known = std::max(known, count);
    }
}

auto UsageTally::summary(WindowNumber number, TimePoint now) const -> WindowSummary
{
    const auto found = windows_.find(number);
    auto counts = AccountCounts();
    auto sources = std::vector<SourceState>();
    if (found == windows_.end()) {
        return {};
    }
    for (const auto &[router, source] : found->second) {
        for (const auto &[account, count] : source.counts_) {
            counts[account] += count;
        }
        const auto known = totalOf(source.counts_);
        sources.push_back({.router_ = router,
            .complete_ = source.closed_ && known == source.total_,
            .total_ = known,
            .age_ = std::chrono::floor<Milliseconds>(now - source.heardAt_)});
    }
    return {.counts_ = counts, .sources_ = sources};
}

} // namespace jasminewood::duties
