#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/deadlines/first_token.h"

// Chooses the model engine for a prompt: one that has its prefix cached and little pending prefill, in the lane for
// prompts of its length.
//
// With chunked prefill, an engine interleaves the prefill of new prompts with the output tokens of running requests, so
// a long prompt increases the inter-token latency of all concurrent streams. Each engine therefore belongs to one of
// two lanes: the long-prompt lane, for prompts that are long compared with the others, and the short-prompt lane.
// Requests of a lane use engines of the other lane only while their own engines are overloaded.
//
//     size = routing::longPromptLaneSize(0.5, ids.size(), size);
//     const auto lanes = routing::selectLongPromptLane(ids, size);
//     const auto index = chooser.choose(prompt, candidates);

namespace jasminewood::routing
{

struct EngineCandidate
{
    const std::string id_;
    const std::string dataCentre_;
    // Prompt tokens whose prefill is pending there.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Those of them that the engine prefills after a prompt that is in time: of late requests and of less urgent ones.
    const std::uint64_t laterPrefillTokens_ = 0;
    // Prompt tokens that this router expects in the engine's prefix cache.
    const std::uint64_t cachedPrefixTokens_ = 0;
    // Requests running and queued there, as last reported.
    const std::uint32_t activeRequests_ = 0;
    const std::uint32_t slots_ = 1;
    // Latency relative to the usual latency; at least 1.
    const double slowness_ = 1;
    const bool inLongPromptLane_ = false;

    auto operator<=>(const EngineCandidate &) const = default;
};

struct PromptRequest
{
    const std::uint64_t promptTokens_ = 0;
    const bool isLongPrompt_ = false;
    // Identifies the longest prefix that is shared with other requests; 0 if there is none.
    const std::uint64_t sharedPrefixId_ = 0;
    // Length of the shared prefix in tokens.
    const std::uint64_t sharedPrefixTokens_ = 0;
    // The prompt tokens that an engine of usual speed prefills until the response is due; empty if that is not known.
    const std::optional<std::uint64_t> tokensUntilDue_ = std::nullopt;

    auto operator<=>(const PromptRequest &) const = default;
};

// An engine of the other lane is chosen only if it is better by this many tokens.
constexpr double crossLanePenaltyTokens = 12'000;
// Cost of a long prompt for each stream that runs at an engine of the other lane: the prefill increases the inter-token
// latency of the stream, which costs as much as this many tokens.
constexpr double tokensPerDelayedStream = 4'000;
// Cost of a first output token that comes too late. It exceeds that of computing a shared prefix of some thousand
// tokens again, so a request leaves the queue of the engine that has its prefix cached if it would be late there and
// not elsewhere.
constexpr double lateFirstTokenCost = 60'000;
// Costs that differ by less than this count as equal; an engine in the router's own data centre is then preferred.
constexpr double costTieTokens = 64;

// Returns what the engine has to do before a further prompt.
auto engineState(const EngineCandidate &candidate) -> deadlines::EngineState;

// Returns the cost of the choice in prompt tokens to prefill before the first output token. cachedTokens are the tokens
// of the prompt that the candidate has cached, for certain or by assumption.
auto prefillCost(const PromptRequest &request, const EngineCandidate &candidate, std::uint64_t cachedTokens) -> double;

// Weight of the tokens of a shared prefix that would have to be computed again: they delay not only the request itself
// but all prompts that the engine processes after it.
constexpr double recomputeWeight = 9;

// Returns the number of engines in the long-prompt lane: the given share of all engines, at least one for each lane if
// there are two or more engines, and none if the share is 0. Keeps the previous size while it differs from the share by
// less than one engine, because an engine that changes lanes has the wrong prompts in its cache.
auto longPromptLaneSize(double share, std::size_t engines, std::size_t previous) -> std::size_t;

// Returns for each engine whether it belongs to the long-prompt lane, to which `size` engines are assigned. All routers
// with the same engines compute the same lanes, and adding or removing an engine changes the lane of few others.
auto selectLongPromptLane(const std::vector<std::string> &ids, std::size_t size) -> std::vector<bool>;

// Not thread-safe. Two choosers with the same seed and inputs make the same choices.
class EngineChooser
{
public:
    explicit EngineChooser(std::uint64_t seed, std::string dataCentre = {});

    // Returns the index of the best candidate. Precondition: candidates is not empty.
    auto choose(const PromptRequest &request, const std::vector<EngineCandidate> &candidates) -> std::size_t;

private:
    std::mt19937_64 random_;
    std::string dataCentre_;
};

} // namespace jasminewood::routing
