#include "jasminewood/routing/prefix_cache_model.h"

namespace jasminewood::routing
{

auto PrefixCacheModel::recordPrompt(
    const std::string &engine, const std::vector<PromptSegment> &parts, std::uint64_t capacity) -> void
{
    auto &cache = caches_[engine];
    for (const auto &part : parts) {
        const auto found = cache.places_.find(part.id_);
        if (found != cache.places_.end()) {
            cache.parts_.splice(cache.parts_.begin(), cache.parts_, found->second);
            continue;
        }
        cache.parts_.push_front(part);
        cache.places_[part.id_] = cache.parts_.begin();
        cache.tokens_ += part.tokens_;
    }
    while (cache.tokens_ > capacity || cache.parts_.size() > maximumSegmentsPerEngine) {
        cache.tokens_ -= cache.parts_.back().tokens_;
        cache.places_.erase(cache.parts_.back().id_);
        cache.parts_.pop_back();
    }
}

auto PrefixCacheModel::cachedPrefixTokens(const std::string &engine, const std::vector<PromptSegment> &parts) const
    -> std::uint64_t
{
    const auto found = caches_.find(engine);
    auto tokens = std::uint64_t(0);
    if (found == caches_.end()) {
        return tokens;
    }
    for (const auto &part : parts) {
        if (!found->second.places_.contains(part.id_)) {
            break;
        }
        tokens += part.tokens_;
    }
    return tokens;
}

auto PrefixCacheModel::clear(const std::string &engine) -> void
{
    caches_.erase(engine);
}

} // namespace jasminewood::routing
