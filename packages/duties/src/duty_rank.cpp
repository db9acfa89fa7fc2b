#include "jasminewood/duties/duty_rank.h"

#include <algorithm>

#include <xxhash.h>

namespace jasminewood::duties
{

auto rankRouters(const std::string &duty, const std::set<std::string> &routers) -> std::vector<std::string>
{
    const auto weightOf = [&duty](const std::string &router) {
        const auto text = duty + "\n" + router;
        return XXH3_64bits(text.data(), text.size());
    };
    auto ranked = std::vector<std::string>(routers.begin(), routers.end());
    std::sort(ranked.begin(), ranked.end(), [&weightOf](const std::string &first, const std::string &second) {
        return std::make_pair(weightOf(first), first) < std::make_pair(weightOf(second), second);
    });
    return ranked;
}

auto candidacyDelay(const std::string &duty, const std::set<std::string> &routers, const std::string &router)
    -> Milliseconds
{
    const auto ranked = rankRouters(duty, routers);
    const auto rank = std::find(ranked.begin(), ranked.end(), router) - ranked.begin();
    return std::min(maximumCandidacyDelay, candidacyDelayPerRank * rank);
}

} // namespace jasminewood::duties
