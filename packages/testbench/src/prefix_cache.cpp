#include "prefix_cache.h"

#include <xxhash.h>

namespace jasminewood::testbench::internal
{

namespace
{

constexpr std::size_t blockBytes = 256;

} // namespace

PrefixCache::PrefixCache(std::size_t maximumBlocks)
    : maximumBlocks_(maximumBlocks)
{
}

auto PrefixCache::use(std::string_view prompt) -> std::size_t
{
    auto cached = std::size_t(0);
    auto unbroken = true;
    auto hash = std::uint64_t(0);
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        // The hash of a block covers everything before it through the seed.
        hash = XXH64(prompt.data() + start, blockBytes, hash);
        unbroken = touch(hash) && unbroken;
        cached += unbroken ? blockBytes : 0;
    }
    return cached;
}

auto PrefixCache::touch(std::uint64_t block) -> bool
{
    const auto found = places_.find(block);
    if (found != places_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return true;
    }
    if (maximumBlocks_ == 0) {
        return false;
    }
    if (places_.size() >= maximumBlocks_) {
        places_.erase(recent_.back());
        recent_.pop_back();
    }
    recent_.push_front(block);
    places_.emplace(block, recent_.begin());
    return false;
}

} // namespace jasminewood::testbench::internal
