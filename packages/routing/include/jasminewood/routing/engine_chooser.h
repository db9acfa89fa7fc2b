#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "jasminewood/core/result.h"

// Choice of the model engine for a prompt: where the beginning of the prompt is cached, where little has to be read
// before it, and apart from prompts of the other lane.
//
// An engine reads prompts in chunks between the tokens of the requests that run there, so a long prompt stretches the
// pauses of all streams beside it. Each engine therefore belongs to one of two lanes: prompts that are long by
// comparison, and the others. A lane takes engines of the other one only while its own are overloaded.
//
//     size = routing::laneSize(0.5, ids.size(), size);
//     const auto lanes = routing::longLane(ids, size);
//     const auto index = chooser.choose(prompt, candidates);

namespace jasminewood::routing
{

struct EngineCandidate
{
    const std::string id_;
    const std::string dataCentre_;
    // Prompt tokens that this router sent there and that the engine has not read yet.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Tokens of the prompt that need not be read there, as far as this router knows.
    const std::uint64_t cachedPrefixTokens_ = 0;
    // Requests running and waiting there, as last reported.
    const std::uint32_t activeRequests_ = 0;
    const std::uint32_t slots_ = 1;
    // How long work takes there, relative to the usual time; at least 1.
    const double slowness_ = 1;
    const bool inLongPromptLane_ = false;

    auto operator<=>(const EngineCandidate &) const = default;
};

struct PromptRequest
{
    const std::uint64_t promptTokens_ = 0;
    const bool isLongPrompt_ = false;
    // Identifies the longest beginning that other requests share; 0 if there is none.
    const std::uint64_t sharedPrefixId_ = 0;
    // Tokens up to the end of that part.
    const std::uint64_t sharedPrefixTokens_ = 0;

    auto operator<=>(const PromptRequest &) const = default;
};

// A running request delays a new one about as much as this many unread prompt tokens.
constexpr double tokensPerRunningRequest = 20;
// A request that waits for a slot delays a new one by about this many tokens.
constexpr double tokensPerQueuedRequest = 4'000;
// An engine of the other lane is taken if it is better by this many tokens.
constexpr double crossLanePenaltyTokens = 12'000;
// A long prompt at an engine of short ones stretches the pauses of each stream that runs there, which costs as much as
// this many tokens.
constexpr double tokensPerDelayedStream = 4'000;
// Choices whose costs differ by less are equal, and the engine of the same data centre is preferred.
constexpr double costTieTokens = 64;

// Returns the cost of the choice in prompt tokens that have to be read before the first output token.
auto prefillCost(const PromptRequest &request, const EngineCandidate &candidate, bool home) -> double;

// Tokens of a shared part that would be read again count this many times: besides the request itself they delay all
// that the engine reads after it.
constexpr double recomputeWeight = 9;

// Returns the number of engines for long prompts: the share of all engines, at least one for each lane if there are two
// or more, and none if the share is 0. The previous size stays while it differs from the share by less than an engine,
// since an engine that changes its lane has the wrong prompts in its cache.
auto longPromptLaneSize(double share, std::size_t engines, std::size_t previous) -> std::size_t;

// Returns for each engine whether it belongs to the lane of long prompts, which has that many engines. All routers that
// know the same engines get the same lanes, and an engine that comes or goes changes the lane of few others.
auto selectLongPromptLane(const std::vector<std::string> &ids, std::size_t size) -> std::vector<bool>;

// Not thread-safe. Two choosers with the same seed and inputs choose alike.
class EngineChooser
{
public:
    explicit EngineChooser(std::uint64_t seed, std::string dataCentre = {});

    // Returns the position of the best candidate. Precondition: candidates is not empty.
    auto choose(const PromptRequest &request, const std::vector<EngineCandidate> &candidates) -> std::size_t;

private:
    std::mt19937_64 random_;
    std::string dataCentre_;
};

} // namespace jasminewood::routing
