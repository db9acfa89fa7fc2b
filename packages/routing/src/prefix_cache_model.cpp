#include "jasminewood/routing/prefix_cache_model.h"

namespace jasminewood::routing
{

auto PrefixCacheModel::recordPrompt(
    const std::string &engine, const std::vector<PromptSegment> &segments, std::uint64_t capacity) -> void
{
    auto &cache = caches_[engine];
    for (const auto &segment : segments) {
        const auto found = cache.positions_.find(segment.id_);
        if (found != cache.positions_.end()) {
            cache.segments_.splice(cache.segments_.begin(), cache.segments_, found->second);
            continue;
        }
        cache.segments_.push_front(segment);
        cache.positions_[segment.id_] = cache.segments_.begin();
        cache.tokens_ += segment.tokens_;
    }
    while (cache.tokens_ > capacity || cache.segments_.size() > maximumSegmentsPerEngine) {
        cache.tokens_ -= cache.segments_.back().tokens_;
        cache.positions_.erase(cache.segments_.back().id_);
        cache.segments_.pop_back();
    }
}

auto PrefixCacheModel::cachedPrefixTokens(const std::string &engine, const std::vector<PromptSegment> &segments) const
    -> std::uint64_t
{
    const auto found = caches_.find(engine);
    auto tokens = std::uint64_t(0);
    if (found == caches_.end()) {
        return tokens;
    }
    for (const auto &segment : segments) {
        if (!found->second.positions_.contains(segment.id_)) {
            break;
        }
        tokens += segment.tokens_;
    }
    return tokens;
}

auto PrefixCacheModel::clear(const std::string &engine) -> void
{
    caches_.erase(engine);
}

} // namespace jasminewood::routing
