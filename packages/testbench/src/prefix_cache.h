#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

// The engine's cache of prompt prefixes.

namespace jasminewood::testbench::internal
{

// LRU set of prompt blocks of 256 bytes; a block counts as cached only after all blocks before it. Not thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maximumBlocks);

    // Returns how many leading bytes of the prompt are cached, and caches all of its whole blocks.
    auto use(std::string_view prompt) -> std::size_t;

private:
    auto touch(std::uint64_t block) -> bool;

    const std::size_t maximumBlocks_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

} // namespace jasminewood::testbench::internal
