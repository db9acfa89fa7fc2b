#include "jasminewood/scheduling/work_share_window.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jasminewood::scheduling
{

namespace
{

// Work in tokens below which a class is removed from the window.
constexpr double negligibleWork = 0.01;

} // namespace

auto WorkShareWindow::addWork(const std::string &requestClass, double work, TimePoint now) -> void
{
    decay(now);
    adjustWork(requestClass, work);
}

auto WorkShareWindow::adjustWork(const std::string &requestClass, double work) -> void
{
    auto &total = workByClass_[requestClass];
    total = std::max(0.0, total + work);
}

auto WorkShareWindow::share(const std::string &requestClass) const -> double
{
    const auto found = workByClass_.find(requestClass);
    if (found == workByClass_.end() || found->second <= 0) {
        return 0;
    }
    const auto total
        = std::accumulate(workByClass_.begin(), workByClass_.end(), 0.0, [](double sum, const auto &entry) {
              return sum + entry.second;
          });
    return found->second / total;
}

auto WorkShareWindow::decay(TimePoint now) -> void
{
    if (now <= decayedAt_) {
        return;
    }
    const auto halfLives = std::chrono::duration<double>(now - decayedAt_) / shareHalfLife;
    const auto factor = std::exp2(-halfLives);
    for (auto &[requestClass, work] : workByClass_) {
        work *= factor;
    }
    std::erase_if(workByClass_, [](const auto &entry) {
        return entry.second < negligibleWork;
    });
    decayedAt_ = now;
}

} // namespace jasminewood::scheduling
