#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Finds the segments of prompts that crash each engine which begins to respond to them, whatever else the prompts hold.
//
//     detector.recordCrash({.crashId_ = "engine-3@7", .segments_ = {0x5c, 0x91}}, now);
//     detector.recordStart({0x5c}, now);
//     if (const auto wait = detector.admit({0x5c, 0x91}, turnOf, now)) { /* refuse, retry after *wait */ }
//
// No two such requests are alike, so the segment has to be found rather than the request. Each request that was lost in
// a crash before its first token is evidence against all of its segments, and each request that got a first token is
// evidence for its segments: it takes back what was held against them before. What remains is refused. The decision
// depends on the evidence only, so routers that know the same decide the same.

namespace jasminewood::routing
{

// The crashes, at different moments, after which a segment is refused.
constexpr std::size_t crashesBeforeSegmentRefusal = 3;
// Crashes of several engines within this time count once: they have a common cause, such as a power failure, and not
// one request each.
constexpr Milliseconds commonCauseTime = Milliseconds(500);
// How long a segment is refused after its last crash. The time doubles with each crash that a later trial causes.
constexpr Milliseconds minimumSegmentRefusal = Milliseconds(30'000);
constexpr Milliseconds maximumSegmentRefusal = Milliseconds(600'000);
// How long a router that lets a request try a refused segment waits for the outcome before it lets another one.
constexpr Milliseconds segmentTrialTime = Milliseconds(10'000);
// How long evidence is kept. Longer than the longest refusal, so that a trial after it is judged by what came before.
constexpr Milliseconds crashEvidenceExpiry = Milliseconds(900'000);
// The maximum number of crashes kept as evidence; the oldest is dropped first.
constexpr std::size_t maximumPromptCrashes = 64;

// A request that was lost, before its first token, in the crash of an engine.
struct PromptCrash
{
    // Identifies the crash; equal for all requests that were lost in it.
    const std::string crashId_;
    // The ids of the prompt's segments that other prompts may share, in order.
    const std::vector<std::uint64_t> segments_;

    auto operator<=>(const PromptCrash &) const = default;
};

// Evidence with its age, so that it expires although routers keep passing it on.
struct PromptCrashReport
{
    const PromptCrash crash_;
    const Milliseconds age_ = Milliseconds(0);

    auto operator<=>(const PromptCrashReport &) const = default;
};

// An engine sent the first token of a response to a prompt with this segment.
struct SegmentStartReport
{
    const std::uint64_t segment_ = 0;
    const Milliseconds age_ = Milliseconds(0);

    auto operator<=>(const SegmentStartReport &) const = default;
};

struct CrashEvidence
{
    const std::vector<PromptCrashReport> crashes_;
    const std::vector<SegmentStartReport> starts_;

    auto operator<=>(const CrashEvidence &) const = default;
};

// Returns how long after the end of a segment's refusal this router may try it. It differs between the routers, so that
// one of them tries while the others wait for what it reports.
using TrialTurn = std::function<auto(std::uint64_t segment)->Milliseconds>;

// Merging is idempotent and, up to the precision of the ages, commutative, so reports may be lost, repeated, reordered
// and passed on. Not thread-safe. Precondition: now does not go backwards.
class CrashingPromptDetector
{
public:
    // Returns whether this was not known yet, so that other routers should be told.
    auto recordCrash(const PromptCrash &crash, TimePoint now) -> bool;

    // Records the first token of a request. Returns whether it takes back evidence against a segment.
    auto recordStart(const std::vector<std::uint64_t> &segments, TimePoint now) -> bool;

    // Merges the evidence of another router. Returns whether any of it is new.
    auto merge(const CrashEvidence &evidence, TimePoint now) -> bool;

    // Returns whether there is no evidence.
    auto isEmpty() const -> bool;

    // Returns all evidence that has not expired.
    auto evidence(TimePoint now) const -> CrashEvidence;

    // Returns how long requests with these segments are still refused; empty if this one may be sent. It then is the
    // trial of each of its segments whose refusal has ended.
    auto admit(const std::vector<std::uint64_t> &segments, const TrialTurn &turn, TimePoint now)
        -> std::optional<Milliseconds>;

    // Returns the segments that are refused now.
    auto refusedSegments(TimePoint now) const -> std::vector<std::uint64_t>;

private:
    auto addCrash(const PromptCrash &crash, TimePoint crashedAt) -> bool;
    auto addStart(std::uint64_t segment, TimePoint startedAt) -> bool;
    // Returns whether a first token was seen of a prompt with this segment after the time.
    auto startedAfter(std::uint64_t segment, TimePoint time) const -> bool;
    // Returns whether a first token was seen, after the crash, of a prompt with each of its segments.
    auto isTakenBack(const PromptCrash &crash, TimePoint crashedAt) const -> bool;
    auto removeUseless(TimePoint now) -> void;
    auto decide() -> void;

    // By crash; the time is that of the first report.
    std::map<PromptCrash, TimePoint> crashes_;
    // The last start of each segment of crashes_.
    std::map<std::uint64_t, TimePoint> starts_;
    // The decision: until when each segment is refused.
    std::map<std::uint64_t, TimePoint> refusedUntil_;
    // When the last trial of a refused segment began here.
    std::map<std::uint64_t, TimePoint> trials_;
};

} // namespace jasminewood::routing
