#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// Finds the requests that crash each upstream which runs them, by the features that they have in common: the segments
// of their prompts, or all of the request if it comes again unchanged.
//
//     const auto features = RequestFeatures {SharedSegment {.id_ = 0x5c}, WholeRequest {.fingerprint_ = 0x91}};
//     detector.recordCrash({.id_ = crash}, features, now);
//     detector.recordSuccess(features, now);
//     if (const auto wait = detector.admit(features, rankOf, now)) { /* refuse, retry after *wait */ }
//
// Each request that was lost in a crash is evidence against all of its features, and each request that went well is
// evidence for its features: it takes back what was held against them before. What remains is refused. The decision
// depends on the evidence only, so routers that know the same decide the same.

namespace jasminewood::routing
{

// A segment of a prompt that other requests may have too, whatever else they hold.
struct SharedSegment
{
    const std::uint64_t id_ = 0;

    auto operator<=>(const SharedSegment &) const = default;
};

// All that an upstream gets of a request, and the account of its caller.
struct WholeRequest
{
    const std::uint64_t fingerprint_ = 0;

    auto operator<=>(const WholeRequest &) const = default;
};

using RequestFeature = std::variant<SharedSegment, WholeRequest>;

// The features of one request. The earlier one is in more requests than the later one.
using RequestFeatures = std::vector<RequestFeature>;

// The crashes, at different moments, after which a feature is refused.
constexpr std::size_t crashesBeforeSegmentRefusal = 3;
// The same for a segment if the answer had begun in some of them. Many more requests are in that state at any time, so
// that sound ones are lost in it more often where upstreams crash for other reasons.
constexpr std::size_t begunCrashesBeforeSegmentRefusal = 4;
// With so many crashes, some of which came at the same moment, crashesBeforeSegmentRefusal moments are enough all the
// same.
constexpr std::size_t evidentSegmentCrashes = 5;
constexpr std::size_t crashesBeforeRequestRefusal = 2;
// The crashes after which a whole request is refused even if something else explains them.
constexpr std::size_t crashesOfCertainRequest = 3;
// Crashes of several upstreams within this time count once, unless the later one ended a retry of what was lost in the
// earlier one: they have a common cause, such as a power failure, and not one request each.
// Longer for a whole request, since two crashes are enough and reports of them may be late.
constexpr Milliseconds commonCauseTime = Milliseconds(250);
constexpr Milliseconds requestCommonCauseTime = Milliseconds(1'000);
// How long a feature is refused after its last crash: the first time, the second time, and at most. From the second
// time on, the time doubles with each crash that a trial causes. The first refusal of a whole request is short, since
// the request may have been beside another one twice; what the trial shows then is nearly certain.
constexpr Milliseconds firstSegmentRefusal = Milliseconds(30'000);
constexpr Milliseconds secondSegmentRefusal = Milliseconds(60'000);
constexpr Milliseconds maximumSegmentRefusal = Milliseconds(600'000);
constexpr Milliseconds firstRequestRefusal = Milliseconds(5'000);
constexpr Milliseconds secondRequestRefusal = Milliseconds(600'000);
constexpr Milliseconds maximumRequestRefusal = std::chrono::hours(24);
// How long a router that lets a request try a refused feature waits for the outcome before it lets another one.
constexpr Milliseconds segmentTrialTime = Milliseconds(10'000);
constexpr Milliseconds requestTrialTime = Milliseconds(3'000);
// How long evidence is kept; evidence against a refused feature is kept for this time after its refusal, so that a
// trial is judged by what came before.
constexpr Milliseconds crashEvidenceExpiry = Milliseconds(900'000);
// The maximum numbers of segments, of whole requests, and of crashes of each, that are kept as evidence. Each crash
// accuses many whole requests that never come again, which must not displace what is known of segments.
constexpr std::size_t maximumAccusedSegments = 256;
constexpr std::size_t maximumAccusedRequests = 512;
constexpr std::size_t maximumCrashesPerFeature = 32;

// Identifies a crash; equal for all requests that were lost in it.
using CrashId = std::uint64_t;
constexpr CrashId noCrash = 0;

// A crash in which a request was lost.
struct RequestCrash
{
    const CrashId id_ = noCrash;
    // The crash in which the attempt before was lost if this one was a retry, else noCrash.
    const CrashId previous_ = noCrash;
    // Whether the answer to the request had begun.
    const bool answerBegan_ = false;

    auto operator<=>(const RequestCrash &) const = default;
};

// A crash with its age, so that it expires although routers keep passing it on.
struct CrashOfFeature
{
    const RequestCrash crash_;
    const Milliseconds age_ = Milliseconds(0);

    auto operator<=>(const CrashOfFeature &) const = default;
};

// What is known about one feature.
struct FeatureEvidence
{
    const RequestFeature feature_;
    // The last position at which it was seen among the features of a request.
    const std::uint32_t depth_ = 0;
    // Crashes in which requests with it were lost, since the last success.
    const std::vector<CrashOfFeature> crashes_;
    // The age of the last success of a request with it; empty if none is known.
    const std::optional<Milliseconds> successAge_;

    auto operator<=>(const FeatureEvidence &) const = default;
};

using CrashEvidence = std::vector<FeatureEvidence>;

// Returns how many routers may try a feature before this one after the end of its refusal, so that one of them tries
// while the others wait for what it reports.
using TrialRank = std::function<auto(const RequestFeature &feature)->std::size_t>;

// Merging is idempotent and, up to the precision of the ages, commutative, so reports may be lost, repeated, reordered
// and passed on. Not thread-safe. Precondition: now does not go backwards.
class CrashingRequestDetector
{
public:
    // Records that a request was lost in a crash. The features are those that the crash accuses.
    auto recordCrash(const RequestCrash &crash, const RequestFeatures &features, TimePoint now) -> void;

    // Records that a request went so well that these features of it crash no upstream.
    auto recordSuccess(const RequestFeatures &features, TimePoint now) -> void;

    // Merges the evidence of another router.
    auto merge(const CrashEvidence &evidence, TimePoint now) -> void;

    // Returns and clears the evidence about which this router has recorded something since the last call.
    auto takeNews(TimePoint now) -> CrashEvidence;

    // Returns whether takeNews() would return anything.
    auto hasNews() const -> bool;

    // Returns whether there is no evidence.
    auto isEmpty() const -> bool;

    // Returns the evidence about at most this many segments and as many whole requests, those with the most crashes.
    auto evidence(std::size_t maximumOfEachKind, TimePoint now) const -> CrashEvidence;

    // Returns how long requests with these features are still refused; empty if this one may be sent. It then is the
    // trial of each of its features whose refusal has ended.
    auto admit(const RequestFeatures &features, const TrialRank &rank, TimePoint now) -> std::optional<Milliseconds>;

    // Returns the features that are refused now.
    auto refusedFeatures(TimePoint now) const -> RequestFeatures;

private:
    struct Crash
    {
        // By the first report.
        TimePoint crashedAt_;
        CrashId previous_ = noCrash;
        // Whether the answers to all requests that were lost in it had begun.
        bool answersBegan_ = false;
    };

    struct Accusation
    {
        std::uint32_t depth_ = 0;
        std::map<CrashId, Crash> crashes_;
        std::optional<TimePoint> succeededAt_;
    };

    using Accusations = std::map<RequestFeature, Accusation>;

    // Returns whether the crash was not known yet.
    auto accuse(const RequestFeature &feature, std::uint32_t depth, CrashId id, const Crash &crash) -> bool;
    // Returns whether there was anything to take back.
    static auto takeBack(Accusation &accusation, TimePoint succeededAt) -> bool;
    static auto moments(const Accusation &accusation, Milliseconds commonCause) -> std::vector<Crash>;
    static auto lastTime(const Accusation &accusation) -> TimePoint;
    static auto dropLeastTellingCrash(Accusation &accusation) -> void;
    static auto refusalEnd(const RequestFeature &feature, const Accusation &accusation) -> std::optional<TimePoint>;
    // Returns whether a feature may explain its crashes.
    static auto isSuspect(const RequestFeature &feature, const Accusation &accusation) -> bool;
    static auto mostAccused(const Accusations &accusations) -> Accusations::const_iterator;
    static auto findRefused(const Accusations &allAccusations) -> std::map<RequestFeature, TimePoint>;
    static auto makeEvidence(const RequestFeature &feature, const Accusation &accusation, TimePoint now)
        -> FeatureEvidence;
    static auto removeExplained(Accusations &accusations, const Accusation &refused) -> void;
    auto removeExpired(TimePoint now) -> void;
    // Removes the least accused features of a kind beyond the maximum number.
    template <typename Kind>
    auto limit(std::size_t maximum) -> void;
    auto decide(TimePoint now) -> void;

    Accusations accusations_;
    // The features about which this router has recorded something since takeNews().
    std::set<RequestFeature> news_;
    // The decision: until when each feature is refused.
    std::map<RequestFeature, TimePoint> refusedUntil_;
    // When the last trial of a refused feature began here.
    std::map<RequestFeature, TimePoint> trials_;
};

} // namespace jasminewood::routing
