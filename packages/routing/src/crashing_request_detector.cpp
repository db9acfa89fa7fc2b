#include "jasminewood/routing/crashing_request_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminewood::routing
{

namespace
{

auto refusalTime(std::size_t crashes) -> Milliseconds
{
    auto time = minimumSegmentRefusal;
    for (auto count = crashesBeforeSegmentRefusal; count < crashes && time < maximumSegmentRefusal; ++count) {
        time *= 2;
    }
    return std::min(time, maximumSegmentRefusal);
}

auto ageOf(TimePoint time, TimePoint now) -> Milliseconds
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
}

} // namespace

auto CrashingRequestDetector::recordCrash(CrashId crash, const std::vector<std::uint64_t> &segments, TimePoint now)
    -> void
{
    for (auto depth = std::size_t(0); depth < segments.size(); ++depth) {
        if (accuse(segments[depth], std::uint32_t(depth), crash, now)) {
            news_.insert(segments[depth]);
        }
    }
    decide(now);
}

auto CrashingRequestDetector::recordStart(const std::vector<std::uint64_t> &segments, TimePoint now) -> void
{
    auto takesBack = false;
    for (const auto segment : segments) {
        const auto found = accusations_.find(segment);
        if (found != accusations_.end() && takeBack(found->second, now)) {
            news_.insert(segment);
            takesBack = true;
        }
    }
    if (takesBack) {
        decide(now);
    }
}

auto CrashingRequestDetector::merge(const CrashEvidence &evidence, TimePoint now) -> void
{
    for (const auto &[segment, depth, crashes, startAge] : evidence) {
        for (const auto &[crash, age] : crashes) {
            accuse(segment, depth, crash, now - age);
        }
        if (startAge) {
            takeBack(accusations_[segment], now - *startAge);
        }
    }
    decide(now);
}

auto CrashingRequestDetector::takeNews(TimePoint now) -> CrashEvidence
{
    auto news = CrashEvidence();
    for (const auto segment : std::exchange(news_, {})) {
        if (const auto found = accusations_.find(segment); found != accusations_.end()) {
            news.push_back(makeEvidence(segment, found->second, now));
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

auto CrashingRequestDetector::evidence(std::size_t maximumSegments, TimePoint now) const -> CrashEvidence
{
    auto ranked = std::vector<std::tuple<std::size_t, TimePoint, std::uint64_t>>();
    for (const auto &[segment, accusation] : accusations_) {
        ranked.emplace_back(accusation.crashes_.size(), lastTime(accusation), segment);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    auto evidence = CrashEvidence();
    for (const auto &[crashes, time, segment] : ranked) {
        if (evidence.size() < maximumSegments) {
            evidence.push_back(makeEvidence(segment, accusations_.at(segment), now));
        }
    }
    return evidence;
}

auto CrashingRequestDetector::admit(const std::vector<std::uint64_t> &segments, const TrialTurn &turn, TimePoint now)
    -> std::optional<Milliseconds>
{
    auto longest = std::optional<Milliseconds>();
    auto tried = std::vector<std::uint64_t>();
    for (const auto segment : segments) {
        const auto refused = refusedUntil_.find(segment);
        if (refused == refusedUntil_.end()) {
            continue;
        }
        const auto trial = trials_.find(segment);
        const auto turnAt = refused->second + turn(segment);
        const auto until = trial == trials_.end() ? turnAt : std::max(turnAt, trial->second + segmentTrialTime);
        if (now < until) {
            const auto rest = std::chrono::ceil<Milliseconds>(until - now);
            longest = std::max(longest.value_or(rest), rest);
        } else {
            tried.push_back(segment);
        }
    }
    for (const auto segment : tried) {
        if (!longest) {
            trials_.insert_or_assign(segment, now);
        }
    }
    return longest;
}

auto CrashingRequestDetector::refusedSegments(TimePoint now) const -> std::vector<std::uint64_t>
{
    auto segments = std::vector<std::uint64_t>();
    for (const auto &[segment, until] : refusedUntil_) {
        if (now < until) {
            segments.push_back(segment);
        }
    }
    return segments;
}

auto CrashingRequestDetector::accuse(std::uint64_t segment, std::uint32_t depth, CrashId crash, TimePoint crashedAt)
    -> bool
{
    auto &accusation = accusations_[segment];
    if (accusation.startedAt_ && *accusation.startedAt_ >= crashedAt) {
        return false;
    }
    accusation.depth_ = std::max(accusation.depth_, depth);
    const auto [position, isNew] = accusation.crashes_.try_emplace(crash, crashedAt);
    position->second = std::min(position->second, crashedAt);
    if (accusation.crashes_.size() > maximumCrashesPerSegment) {
        dropLeastTellingCrash(accusation);
    }
    return isNew;
}

auto CrashingRequestDetector::takeBack(Accusation &accusation, TimePoint startedAt) -> bool
{
    accusation.startedAt_ = std::max(accusation.startedAt_.value_or(startedAt), startedAt);
    const auto erased = std::erase_if(accusation.crashes_, [startedAt](const auto &crash) {
        return crash.second <= startedAt;
    });
    return erased > 0;
}

// Returns the moments of the crashes; those of a common cause count as one.
auto CrashingRequestDetector::moments(const Accusation &accusation) -> std::vector<TimePoint>
{
    auto times = std::vector<TimePoint>();
    for (const auto &[crash, time] : accusation.crashes_) {
        times.push_back(time);
    }
    std::sort(times.begin(), times.end());
    auto moments = std::vector<TimePoint>();
    for (const auto time : times) {
        if (moments.empty() || time - moments.back() >= commonCauseTime) {
            moments.push_back(time);
        }
    }
    return moments;
}

auto CrashingRequestDetector::lastTime(const Accusation &accusation) -> TimePoint
{
    auto last = accusation.startedAt_.value_or(TimePoint());
    for (const auto &[crash, time] : accusation.crashes_) {
        last = std::max(last, time);
    }
    return last;
}

// Drops the crash that came soonest after the one before it.
auto CrashingRequestDetector::dropLeastTellingCrash(Accusation &accusation) -> void
{
    auto byTime = std::vector<std::pair<TimePoint, CrashId>>();
    for (const auto &[crash, time] : accusation.crashes_) {
        byTime.emplace_back(time, crash);
    }
    std::sort(byTime.begin(), byTime.end());
    auto dropped = std::size_t(1);
    for (auto index = std::size_t(2); index < byTime.size(); ++index) {
        const auto gap = byTime[index].first - byTime[index - 1].first;
        dropped = gap < byTime[dropped].first - byTime[dropped - 1].first ? index : dropped;
    }
    accusation.crashes_.erase(byTime[dropped].second);
}

// Returns the segment that explains the most crashes; the deepest one if several do, since it is in the fewest prompts.
auto CrashingRequestDetector::mostAccused(const Accusations &accusations) -> Accusations::const_iterator
{
    auto most = accusations.end();
    auto mostRank = std::tuple(std::size_t(0), std::uint32_t(0));
    for (auto entry = accusations.begin(); entry != accusations.end(); ++entry) {
        const auto rank = std::tuple(moments(entry->second).size(), entry->second.depth_);
        if (most == accusations.end() || rank > mostRank) {
            most = entry;
            mostRank = rank;
        }
    }
    return most;
}

// Returns until when each segment is refused. The most accused one is judged first, and what it explains is not held
// against the others.
auto CrashingRequestDetector::findRefused(Accusations accusations) -> std::map<std::uint64_t, TimePoint>
{
    auto refusedUntil = std::map<std::uint64_t, TimePoint>();
    for (auto accused = mostAccused(accusations); accused != accusations.end(); accused = mostAccused(accusations)) {
        const auto [segment, accusation] = *accused;
        const auto crashMoments = moments(accusation);
        if (crashMoments.size() < crashesBeforeSegmentRefusal) {
            break;
        }
        refusedUntil.emplace(segment, crashMoments.back() + refusalTime(crashMoments.size()));
        accusations.erase(accused);
        for (auto &[other, otherAccusation] : accusations) {
            std::erase_if(otherAccusation.crashes_, [&explained = accusation.crashes_](const auto &crash) {
                return explained.contains(crash.first);
            });
        }
    }
    return refusedUntil;
}

auto CrashingRequestDetector::makeEvidence(std::uint64_t segment, const Accusation &accusation, TimePoint now)
    -> SegmentEvidence
{
    auto crashes = std::vector<CrashReportOfSegment>();
    for (const auto &[crash, crashedAt] : accusation.crashes_) {
        crashes.push_back({.crash_ = crash, .age_ = ageOf(crashedAt, now)});
    }
    const auto startAge
        = accusation.startedAt_ ? std::optional(ageOf(*accusation.startedAt_, now)) : std::optional<Milliseconds>();
    return {.segment_ = segment, .depth_ = accusation.depth_, .crashes_ = crashes, .startAge_ = startAge};
}

auto CrashingRequestDetector::removeExpired(TimePoint now) -> void
{
    for (auto &[segment, accusation] : accusations_) {
        std::erase_if(accusation.crashes_, [now](const auto &crash) {
            return now - crash.second >= crashEvidenceExpiry;
        });
    }
    std::erase_if(accusations_, [now](const auto &entry) {
        return entry.second.crashes_.empty() && now - lastTime(entry.second) >= crashEvidenceExpiry;
    });
    while (accusations_.size() > maximumAccusedSegments) {
        accusations_.erase(
            std::min_element(accusations_.begin(), accusations_.end(), [](const auto &left, const auto &right) {
                return std::pair(left.second.crashes_.size(), lastTime(left.second))
                    < std::pair(right.second.crashes_.size(), lastTime(right.second));
            }));
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
