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

auto PrefixCache::lookUpAndInsert(std::string_view prompt) -> std::size_t
{
    auto cached = std::size_t(0);
    auto contiguous = true;
    auto hash = std::uint64_t(0);
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        // With the previous hash as the seed, the hash of a block covers the whole prefix up to its end.
        hash = XXH64(prompt.data() + start, blockBytes, hash);
        contiguous = touch(hash) && contiguous;
        cached += contiguous ? blockBytes : 0;
    }
    return cached;
}

auto PrefixCache::touch(std::uint64_t block) -> bool
{
    const auto found = blockPositions_.find(block);
    if (found != blockPositions_.end()) {
        lruBlocks_.splice(lruBlocks_.begin(), lruBlocks_, found->second);
        return true;
    }
    if (maximumBlocks_ == 0) {
        return false;
    }
    if (blockPositions_.size() >= maximumBlocks_) {
        blockPositions_.erase(lruBlocks_.back());
        lruBlocks_.pop_back();
    }
    lruBlocks_.push_front(block);
    blockPositions_.emplace(block, lruBlocks_.begin());
    return false;
}

} // namespace jasminewood::testbench::internal
