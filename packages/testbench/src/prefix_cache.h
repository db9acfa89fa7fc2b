#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

// The prefix cache of the fake engine.

namespace jasminewood::testbench::internal
{

// An LRU set of prompt blocks of 256 bytes; a block counts as cached only if all blocks before it are cached. Not
// thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maximumBlocks);

    // Returns the length of the cached prefix in bytes, and inserts all complete blocks of the prompt.
    auto lookUpAndInsert(std::string_view prompt) -> std::size_t;

private:
    // Marks a block as the most recently used one and returns whether it was cached; inserts it if not.
    auto touch(std::uint64_t block) -> bool;

    const std::size_t maximumBlocks_;
    std::list<std::uint64_t> lruBlocks_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blockPositions_;
};

} // namespace jasminewood::testbench::internal
