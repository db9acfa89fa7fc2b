#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

// Which engines probably hold which parts of prompts, from the requests that this router sent there.
//
//     memory.sent("engine-3", parts, capacity);
//     const auto tokens = memory.cached("engine-3", parts);

namespace jasminewood::routing
{

// A part of a prompt. Parts with one id have the same content.
struct PromptSegment
{
    const std::uint64_t id_ = 0;
    const std::uint32_t tokens_ = 0;

    auto operator<=>(const PromptSegment &) const = default;
};

// Parts remembered for one engine, so that the memory of a router stays bounded.
constexpr std::size_t maximumSegmentsPerEngine = 2'048;

// Not thread-safe.
class PrefixCacheModel
{
public:
    // A prompt of these parts, in order, went to the engine, whose cache holds that many tokens in all. The parts that
    // were used least recently are forgotten first, as the engine does.
    auto recordPrompt(const std::string &engine, const std::vector<PromptSegment> &parts, std::uint64_t capacity)
        -> void;

    // Returns the tokens of the parts from the first on that the engine probably holds. A part counts only if all
    // parts before it do.
    auto cachedPrefixTokens(const std::string &engine, const std::vector<PromptSegment> &parts) const -> std::uint64_t;

    // The engine's cache is lost.
    auto clear(const std::string &engine) -> void;

private:
    struct Cache
    {
        // The most recently used part first.
        std::list<PromptSegment> parts_;
        std::unordered_map<std::uint64_t, std::list<PromptSegment>::iterator> places_;
        std::uint64_t tokens_ = 0;
    };

    std::map<std::string, Cache> caches_;
};

} // namespace jasminewood::routing
