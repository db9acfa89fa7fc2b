#include "jasminewood/routing/crashing_request_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::routing
{

namespace
{

// After how many crashes a feature is refused, which of them count once, and for how long it is refused.
struct RefusalLimits
{
    const std::size_t crashes_ = 0;
    const std::size_t begunCrashes_ = 0;
    const Milliseconds commonCauseTime_ = Milliseconds(0);
    const Milliseconds firstTime_ = Milliseconds(0);
    const Milliseconds secondTime_ = Milliseconds(0);
    const Milliseconds maximumTime_ = Milliseconds(0);
    const Milliseconds trialTime_ = Milliseconds(0);
};

auto limitsOf(const RequestFeature &feature) -> RefusalLimits
{
    return std::visit(Overloaded {[](const SharedSegment & /*segment*/) {
                                      return RefusalLimits {.crashes_ = crashesBeforeSegmentRefusal,
                                          .begunCrashes_ = begunCrashesBeforeSegmentRefusal,
                                          .commonCauseTime_ = commonCauseTime,
                                          .firstTime_ = firstSegmentRefusal,
                                          .secondTime_ = secondSegmentRefusal,
                                          .maximumTime_ = maximumSegmentRefusal,
                                          .trialTime_ = segmentTrialTime};
                                  },
                          [](const WholeRequest & /*request*/) {
                              return RefusalLimits {.crashes_ = crashesBeforeRequestRefusal,
                                  .begunCrashes_ = crashesBeforeRequestRefusal,
                                  .commonCauseTime_ = requestCommonCauseTime,
                                  .firstTime_ = firstRequestRefusal,
                                  .secondTime_ = secondRequestRefusal,
                                  .maximumTime_ = maximumRequestRefusal,
                                  .trialTime_ = requestTrialTime};
                          }},
        feature);
}

auto isWholeRequest(const RequestFeature &feature) -> bool
{
    return std::holds_alternative<WholeRequest>(feature);
}

// Returns for how long a feature is refused after this number of crashes, if so many are needed for the first refusal.
auto refusalTime(const RefusalLimits &limits, std::size_t needed, std::size_t crashes) -> Milliseconds
{
    if (crashes <= needed) {
        return limits.firstTime_;
    }
    auto time = limits.secondTime_;
    for (auto count = needed + 1; count < crashes && time < limits.maximumTime_; ++count) {
        time *= 2;
    }
    return std::min(time, limits.maximumTime_);
}

// Orders features with their number of crashes and their last time; the latest is the most telling of equals.
template <typename Entry>
auto isLessAccused(const std::tuple<std::size_t, TimePoint, Entry> &left,
    const std::tuple<std::size_t, TimePoint, Entry> &right) -> bool
{
    return std::pair(std::get<0>(left), std::get<1>(left)) < std::pair(std::get<0>(right), std::get<1>(right));
}

auto ageOf(TimePoint time, TimePoint now) -> Milliseconds
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
}

} // namespace

auto CrashingRequestDetector::recordCrash(const RequestCrash &crash, const RequestFeatures &features, TimePoint now)
    -> void
{
    for (auto depth = std::size_t(0); depth < features.size(); ++depth) {
        if (accuse(features[depth], std::uint32_t(depth), crash.id_,
                {.crashedAt_ = now, .previous_ = crash.previous_, .answersBegan_ = crash.answerBegan_})) {
            news_.insert(features[depth]);
        }
    }
    decide(now);
}

auto CrashingRequestDetector::recordSuccess(const RequestFeatures &features, TimePoint now) -> void
{
    auto takesBack = false;
    for (const auto &feature : features) {
        const auto found = accusations_.find(feature);
        if (found != accusations_.end() && takeBack(found->second, now)) {
            news_.insert(feature);
            takesBack = true;
        }
    }
    if (takesBack) {
        decide(now);
    }
}

auto CrashingRequestDetector::merge(const CrashEvidence &evidence, TimePoint now) -> void
{
    for (const auto &[feature, depth, crashes, successAge] : evidence) {
        for (const auto &[crash, age] : crashes) {
            accuse(feature, depth, crash.id_,
                {.crashedAt_ = now - age, .previous_ = crash.previous_, .answersBegan_ = crash.answerBegan_});
        }
        if (successAge) {
            takeBack(accusations_[feature], now - *successAge);
        }
    }
    decide(now);
}

auto CrashingRequestDetector::takeNews(TimePoint now) -> CrashEvidence
{
    auto news = CrashEvidence();
    for (const auto &feature : std::exchange(news_, {})) {
        if (const auto found = accusations_.find(feature); found != accusations_.end()) {
            news.push_back(makeEvidence(feature, found->second, now));
        }
    }
    return news;
}

auto CrashingRequestDetector::hasNews() const -> bool
{
    return !news_.empty();
}

auto CrashingRequestDetector::isEmpty() const -> bool
{
    return accusations_.empty();
}

auto CrashingRequestDetector::evidence(std::size_t maximumOfEachKind, TimePoint now) const -> CrashEvidence
{
    auto ranked = std::vector<std::tuple<std::size_t, TimePoint, Accusations::const_iterator>>();
    for (auto entry = accusations_.begin(); entry != accusations_.end(); ++entry) {
        ranked.emplace_back(entry->second.crashes_.size(), lastTime(entry->second), entry);
    }
    std::sort(ranked.rbegin(), ranked.rend(), &isLessAccused<Accusations::const_iterator>);
    auto evidence = CrashEvidence();
    auto countByKind = std::map<std::size_t, std::size_t>();
    for (const auto &[crashes, time, entry] : ranked) {
        if (++countByKind[entry->first.index()] <= maximumOfEachKind) {
            evidence.push_back(makeEvidence(entry->first, entry->second, now));
        }
    }
    return evidence;
}

auto CrashingRequestDetector::admit(const RequestFeatures &features, const TrialRank &rank, TimePoint now)
    -> std::optional<Milliseconds>
{
    auto longest = std::optional<Milliseconds>();
    auto tried = std::vector<const RequestFeature *>();
    for (const auto &feature : features) {
        const auto refused = refusedUntil_.find(feature);
        if (refused == refusedUntil_.end()) {
            continue;
        }
        const auto trial = trials_.find(feature);
        const auto trialTime = limitsOf(feature).trialTime_;
        const auto turnAt = refused->second + std::int64_t(rank(feature)) * trialTime;
        const auto until = trial == trials_.end() ? turnAt : std::max(turnAt, trial->second + trialTime);
        if (now < until) {
            const auto rest = std::chrono::ceil<Milliseconds>(until - now);
            longest = std::max(longest.value_or(rest), rest);
        } else {
            tried.push_back(&feature);
        }
    }
    for (const auto *feature : tried) {
        if (!longest) {
            trials_.insert_or_assign(*feature, now);
        }
    }
    return longest;
}

auto CrashingRequestDetector::refusedFeatures(TimePoint now) const -> RequestFeatures
{
    auto features = RequestFeatures();
    for (const auto &[feature, until] : refusedUntil_) {
        if (now < until) {
            features.push_back(feature);
        }
    }
    return features;
}

auto CrashingRequestDetector::accuse(const RequestFeature &feature, std::uint32_t depth, CrashId id, const Crash &crash)
    -> bool
{
    auto &accusation = accusations_[feature];
    if (accusation.succeededAt_ && *accusation.succeededAt_ >= crash.crashedAt_) {
        return false;
    }
    accusation.depth_ = std::max(accusation.depth_, depth);
    const auto [position, isNew] = accusation.crashes_.try_emplace(id, crash);
    auto &known = position->second;
    known.crashedAt_ = std::min(known.crashedAt_, crash.crashedAt_);
    known.previous_ = std::max(known.previous_, crash.previous_);
    known.answersBegan_ = known.answersBegan_ && crash.answersBegan_;
    if (accusation.crashes_.size() > maximumCrashesPerFeature) {
        dropLeastTellingCrash(accusation);
    }
    return isNew;
}

auto CrashingRequestDetector::takeBack(Accusation &accusation, TimePoint succeededAt) -> bool
{
    accusation.succeededAt_ = std::max(accusation.succeededAt_.value_or(succeededAt), succeededAt);
    const auto erased = std::erase_if(accusation.crashes_, [succeededAt](const auto &crash) {
        return crash.second.crashedAt_ <= succeededAt;
    });
    return erased > 0;
}

// Returns the crashes at different moments; those that came sooner than this after the one before count as one with it.
auto CrashingRequestDetector::moments(const Accusation &accusation, Milliseconds commonCause) -> std::vector<Crash>
{
    auto crashes = std::vector<Crash>();
    for (const auto &[id, crash] : accusation.crashes_) {
        crashes.push_back(crash);
    }
    std::sort(crashes.begin(), crashes.end(), [](const Crash &left, const Crash &right) {
        return left.crashedAt_ < right.crashedAt_;
    });
    auto moments = std::vector<Crash>();
    for (const auto &crash : crashes) {
        const auto endedRetry = crash.previous_ != noCrash && accusation.crashes_.contains(crash.previous_);
        if (moments.empty() || crash.crashedAt_ - moments.back().crashedAt_ >= commonCause || endedRetry) {
            moments.push_back(crash);
        } else {
            moments.back().answersBegan_ = moments.back().answersBegan_ && crash.answersBegan_;
        }
    }
    return moments;
}

auto CrashingRequestDetector::lastTime(const Accusation &accusation) -> TimePoint
{
    auto last = accusation.succeededAt_.value_or(TimePoint());
    for (const auto &[id, crash] : accusation.crashes_) {
        last = std::max(last, crash.crashedAt_);
    }
    return last;
}

// Drops the crash that came soonest after the one before it.
auto CrashingRequestDetector::dropLeastTellingCrash(Accusation &accusation) -> void
{
    auto byTime = std::vector<std::pair<TimePoint, CrashId>>();
    for (const auto &[id, crash] : accusation.crashes_) {
        byTime.emplace_back(crash.crashedAt_, id);
    }
    std::sort(byTime.begin(), byTime.end());
    auto dropped = std::size_t(1);
    for (auto index = std::size_t(2); index < byTime.size(); ++index) {
        const auto gap = byTime[index].first - byTime[index - 1].first;
        dropped = gap < byTime[dropped].first - byTime[dropped - 1].first ? index : dropped;
    }
    accusation.crashes_.erase(byTime[dropped].second);
}

// Returns until when a feature is refused if no other one explains its crashes; empty if it has too few of them.
auto CrashingRequestDetector::refusalEnd(const RequestFeature &feature, const Accusation &accusation)
    -> std::optional<TimePoint>
{
    const auto limits = limitsOf(feature);
    // Spares the work for the many features that were lost in one crash.
    if (accusation.crashes_.size() < limits.crashes_) {
        return std::nullopt;
    }
    const auto crashMoments = moments(accusation, limits.commonCauseTime_);
    const auto withoutAnswer = std::count_if(crashMoments.begin(), crashMoments.end(), [](const Crash &crash) {
        return !crash.answersBegan_;
    });
    const auto isEvident
        = std::size_t(withoutAnswer) >= limits.crashes_ || accusation.crashes_.size() >= evidentSegmentCrashes;
    const auto needed = isEvident ? limits.crashes_ : limits.begunCrashes_;
    return crashMoments.size() < needed
        ? std::nullopt
        : std::optional(crashMoments.back().crashedAt_ + refusalTime(limits, needed, crashMoments.size()));
}

auto CrashingRequestDetector::isSuspect(const RequestFeature &feature, const Accusation &accusation) -> bool
{
    const auto limits = limitsOf(feature);
    return accusation.crashes_.size() >= limits.crashes_
        && moments(accusation, limits.commonCauseTime_).size() >= limits.crashes_;
}

// Returns, of the features that may explain their crashes, the one that explains the most; if several do, a whole
// request, then the deepest segment, since it is in the fewest requests. The crashes of both kinds are counted in the
// same way.
auto CrashingRequestDetector::mostAccused(const Accusations &accusations) -> Accusations::const_iterator
{
    auto most = accusations.end();
    auto mostRank = std::tuple(std::size_t(0), false, std::uint32_t(0));
    for (auto entry = accusations.begin(); entry != accusations.end(); ++entry) {
        const auto &[feature, accusation] = *entry;
        if (!isSuspect(feature, accusation)) {
            continue;
        }
        const auto rank
            = std::tuple(moments(accusation, commonCauseTime).size(), isWholeRequest(feature), accusation.depth_);
        if (most == accusations.end() || rank > mostRank) {
            most = entry;
            mostRank = rank;
        }
    }
    return most;
}

// Returns until when each feature is refused. The most accused one is judged first, and what it explains is not held
// against the others, even if it needs one more crash to be refused itself; except for whole requests that were lost in
// so many crashes that they are refused in any case.
auto CrashingRequestDetector::findRefused(const Accusations &allAccusations) -> std::map<RequestFeature, TimePoint>
{
    auto refusedUntil = std::map<RequestFeature, TimePoint>();
    auto accusations = Accusations();
    for (const auto &[feature, accusation] : allAccusations) {
        if (!isSuspect(feature, accusation)) {
            continue;
        }
        accusations.emplace(feature, accusation);
        if (isWholeRequest(feature) && moments(accusation, requestCommonCauseTime).size() >= crashesOfCertainRequest) {
            refusedUntil.emplace(feature, *refusalEnd(feature, accusation));
        }
    }
    for (auto accused = mostAccused(accusations); accused != accusations.end(); accused = mostAccused(accusations)) {
        const auto [feature, accusation] = *accused;
        if (const auto end = refusalEnd(feature, accusation)) {
            refusedUntil.emplace(feature, *end);
        }
        accusations.erase(accused);
        removeExplained(accusations, accusation);
    }
    return refusedUntil;
}

auto CrashingRequestDetector::removeExplained(Accusations &accusations, const Accusation &refused) -> void
{
    for (auto &[feature, accusation] : accusations) {
        std::erase_if(accusation.crashes_, [&refused](const auto &crash) {
            return refused.crashes_.contains(crash.first);
        });
    }
}

auto CrashingRequestDetector::makeEvidence(const RequestFeature &feature, const Accusation &accusation, TimePoint now)
    -> FeatureEvidence
{
    auto crashes = std::vector<CrashOfFeature>();
    for (const auto &[id, crash] : accusation.crashes_) {
        crashes.push_back({.crash_ = {.id_ = id, .previous_ = crash.previous_, .answerBegan_ = crash.answersBegan_},
            .age_ = ageOf(crash.crashedAt_, now)});
    }
    const auto successAge
        = accusation.succeededAt_ ? std::optional(ageOf(*accusation.succeededAt_, now)) : std::optional<Milliseconds>();
    return {.feature_ = feature, .depth_ = accusation.depth_, .crashes_ = crashes, .successAge_ = successAge};
}

auto CrashingRequestDetector::removeExpired(TimePoint now) -> void
{
    for (auto &[feature, accusation] : accusations_) {
        const auto refusedUntil = refusalEnd(feature, accusation);
        if (refusedUntil && now - *refusedUntil < crashEvidenceExpiry) {
            continue;
        }
        std::erase_if(accusation.crashes_, [now](const auto &crash) {
            return now - crash.second.crashedAt_ >= crashEvidenceExpiry;
        });
    }
    std::erase_if(accusations_, [now](const auto &entry) {
        return entry.second.crashes_.empty() && now - lastTime(entry.second) >= crashEvidenceExpiry;
    });
    limit<SharedSegment>(maximumAccusedSegments);
    limit<WholeRequest>(maximumAccusedRequests);
}

template <typename Kind>
auto CrashingRequestDetector::limit(std::size_t maximum) -> void
{
    auto ranked = std::vector<std::tuple<std::size_t, TimePoint, Accusations::iterator>>();
    for (auto entry = accusations_.begin(); entry != accusations_.end(); ++entry) {
        if (std::holds_alternative<Kind>(entry->first)) {
            ranked.emplace_back(entry->second.crashes_.size(), lastTime(entry->second), entry);
        }
    }
    if (ranked.size() <= maximum) {
        return;
    }
    std::sort(ranked.begin(), ranked.end(), &isLessAccused<Accusations::iterator>);
    for (auto index = std::size_t(0); index < ranked.size() - maximum; ++index) {
        accusations_.erase(std::get<2>(ranked[index]));
    }
}

auto CrashingRequestDetector::decide(TimePoint now) -> void
{
    removeExpired(now);
    refusedUntil_ = findRefused(accusations_);
    std::erase_if(trials_, [this](const auto &entry) {
        return !refusedUntil_.contains(entry.first);
    });
}

} // namespace jasminewood::routing
