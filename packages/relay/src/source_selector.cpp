#include "jasminewood/relay/source_selector.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace jasminewood::relay
{

namespace
{

constexpr std::uint32_t maximumDoublings = 3;

// All routers rank the routers of a data centre alike.
auto rankOf(const std::string &router) -> std::pair<std::uint64_t, std::string>
{
    return {XXH3_64bits(router.data(), router.size()), router};
}

} // namespace

SourceSelector::SourceSelector(std::string self)
    : self_(std::move(self))
{
}

auto SourceSelector::isAvoided(const std::string &router, TimePoint now) const -> bool
{
    const auto found = failures_.find(router);
    return found != failures_.end() && now < found->second.avoidedUntil_;
}

auto SourceSelector::best(const std::vector<std::string> &routers, TimePoint now) const -> std::optional<std::string>
{
    auto found = std::optional<std::string>();
    for (const auto &router : routers) {
        if (!isAvoided(router, now) && (!found || rankOf(router) > rankOf(*found))) {
            found = router;
        }
    }
    return found;
}

auto SourceSelector::choose(const RouterNames &routers, TimePoint now) const -> std::optional<std::string>
{
    auto candidates = routers.sameDataCentre_;
    candidates.push_back(self_);
    const auto nearest = best(candidates, now);
    const auto source = nearest ? nearest : best(routers.elsewhere_, now);
    return source == self_ ? std::nullopt : source;
}

auto SourceSelector::recordFailure(const std::string &router, TimePoint now) -> void
{
    auto &failures = failures_[router];
    failures.avoidedUntil_
        = now + std::min(maximumAvoidTime, minimumAvoidTime * (1 << std::min(failures.count_, maximumDoublings)));
    ++failures.count_;
}

auto SourceSelector::recordSuccess(const std::string &router) -> void
{
    failures_.erase(router);
}

} // namespace jasminewood::relay
