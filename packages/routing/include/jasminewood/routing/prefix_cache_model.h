#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

// Estimates which segments of prompts are in the prefix cache of each engine, from the requests that this router sent
// there.
//
//     model.recordPrompt("engine-3", segments, capacity);
//     const auto tokens = model.cachedPrefixTokens("engine-3", segments);

namespace jasminewood::routing
{

// A segment of a prompt. Segments with the same id have the same content.
struct PromptSegment
{
    const std::uint64_t id_ = 0;
    const std::uint32_t tokens_ = 0;

    auto operator<=>(const PromptSegment &) const = default;
};

// The maximum number of segments tracked per engine, which bounds the memory use of a router.
constexpr std::size_t maximumSegmentsPerEngine = 2'048;

// Not thread-safe.
class PrefixCacheModel
{
public:
    // Records that a prompt of these segments, in order, was sent to the engine, whose cache holds capacity tokens in
    // total. The least recently used segments are evicted first, as the engine does.
    auto recordPrompt(const std::string &engine, const std::vector<PromptSegment> &segments, std::uint64_t capacity)
        -> void;

    // Returns the number of leading tokens of the prompt that the engine probably has cached. A segment counts only if
    // all segments before it do.
    auto cachedPrefixTokens(const std::string &engine, const std::vector<PromptSegment> &segments) const
        -> std::uint64_t;

    // Discards the state of an engine whose cache was lost, for example by a restart.
    auto clear(const std::string &engine) -> void;

private:
    struct Cache
    {
        // Most recently used first.
        std::list<PromptSegment> segments_;
        std::unordered_map<std::uint64_t, std::list<PromptSegment>::iterator> positions_;
        std::uint64_t tokens_ = 0;
    };

    std::map<std::string, Cache> caches_;
};

} // namespace jasminewood::routing
