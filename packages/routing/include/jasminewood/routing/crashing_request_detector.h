#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jasminewood/core/clock.h"

// Finds the segments of prompts that crash each engine which begins to respond to them, whatever else the prompts hold.
//
//     detector.recordCrash(crash, {0x5c, 0x91}, now);
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
constexpr Milliseconds commonCauseTime = Milliseconds(250);
// How long a segment is refused after its last crash. The time doubles with each crash that a later trial causes.
constexpr Milliseconds minimumSegmentRefusal = Milliseconds(30'000);
constexpr Milliseconds maximumSegmentRefusal = Milliseconds(600'000);
// How long a router that lets a request try a refused segment waits for the outcome before it lets another one.
constexpr Milliseconds segmentTrialTime = Milliseconds(10'000);
// How long evidence is kept. Longer than the longest refusal, so that a trial after it is judged by what came before.
constexpr Milliseconds crashEvidenceExpiry = Milliseconds(900'000);
// The maximum numbers of segments, and of crashes of each, that are kept as evidence.
constexpr std::size_t maximumAccusedSegments = 256;
constexpr std::size_t maximumCrashesPerSegment = 32;

// Identifies a crash; equal for all requests that were lost in it.
using CrashId = std::uint64_t;

// A crash with its age, so that it expires although routers keep passing it on.
struct CrashReportOfSegment
{
    const CrashId crash_ = 0;
    const Milliseconds age_ = Milliseconds(0);

    auto operator<=>(const CrashReportOfSegment &) const = default;
};

// What is known about one segment.
struct SegmentEvidence
{
    const std::uint64_t segment_ = 0;
    // The last position at which it was seen in a prompt.
    const std::uint32_t depth_ = 0;
    // Crashes in which requests with it were lost before their first token, since the last first token.
    const std::vector<CrashReportOfSegment> crashes_;
    // The age of the last first token of a request with it; empty if none is known.
    const std::optional<Milliseconds> startAge_;

    auto operator<=>(const SegmentEvidence &) const = default;
};

using CrashEvidence = std::vector<SegmentEvidence>;

// Returns how long after the end of a segment's refusal this router may try it. It differs between the routers, so that
// one of them tries while the others wait for what it reports.
using TrialTurn = std::function<auto(std::uint64_t segment)->Milliseconds>;

// Merging is idempotent and, up to the precision of the ages, commutative, so reports may be lost, repeated, reordered
// and passed on. Not thread-safe. Precondition: now does not go backwards.
class CrashingRequestDetector
{
public:
    // Records that a request was lost, before its first token, in the crash of an engine. The segments are those that
    // other prompts may share, in order.
    auto recordCrash(CrashId crash, const std::vector<std::uint64_t> &segments, TimePoint now) -> void;

    // Records the first token of a request.
    auto recordStart(const std::vector<std::uint64_t> &segments, TimePoint now) -> void;

    // Merges the evidence of another router.
    auto merge(const CrashEvidence &evidence, TimePoint now) -> void;

    // Returns and clears the evidence about which this router has recorded something since the last call.
    auto takeNews(TimePoint now) -> CrashEvidence;

    // Returns whether takeNews() would return anything.
    auto hasNews() const -> bool;

    // Returns whether there is no evidence.
    auto isEmpty() const -> bool;

    // Returns the evidence about at most this many segments, those with the most crashes first.
    auto evidence(std::size_t maximumSegments, TimePoint now) const -> CrashEvidence;

    // Returns how long requests with these segments are still refused; empty if this one may be sent. It then is the
    // trial of each of its segments whose refusal has ended.
    auto admit(const std::vector<std::uint64_t> &segments, const TrialTurn &turn, TimePoint now)
        -> std::optional<Milliseconds>;

    // Returns the segments that are refused now.
    auto refusedSegments(TimePoint now) const -> std::vector<std::uint64_t>;

private:
    struct Accusation
    {
        std::uint32_t depth_ = 0;
        // By crash; the time is that of the first report.
        std::map<CrashId, TimePoint> crashes_;
        std::optional<TimePoint> startedAt_;
    };

    using Accusations = std::map<std::uint64_t, Accusation>;

    // Returns whether the crash was not known yet.
    auto accuse(std::uint64_t segment, std::uint32_t depth, CrashId crash, TimePoint crashedAt) -> bool;
    // Returns whether there was anything to take back.
    static auto takeBack(Accusation &accusation, TimePoint startedAt) -> bool;
    static auto moments(const Accusation &accusation) -> std::vector<TimePoint>;
    static auto lastTime(const Accusation &accusation) -> TimePoint;
    static auto dropLeastTellingCrash(Accusation &accusation) -> void;
    static auto mostAccused(const Accusations &accusations) -> Accusations::const_iterator;
    static auto findRefused(Accusations accusations) -> std::map<std::uint64_t, TimePoint>;
    static auto makeEvidence(std::uint64_t segment, const Accusation &accusation, TimePoint now) -> SegmentEvidence;
    auto removeExpired(TimePoint now) -> void;
    auto decide(TimePoint now) -> void;

    Accusations accusations_;
    // The segments about which this router has recorded something since takeNews().
    std::set<std::uint64_t> news_;
    // The decision: until when each segment is refused.
    std::map<std::uint64_t, TimePoint> refusedUntil_;
    // When the last trial of a refused segment began here.
    std::map<std::uint64_t, TimePoint> trials_;
};

} // namespace jasminewood::routing
