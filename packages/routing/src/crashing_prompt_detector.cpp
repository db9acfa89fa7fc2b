#include "jasminewood/routing/crashing_prompt_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminewood::routing
{

namespace
{

// What is held against one segment.
struct Accusation
{
    // The last position of the segment within a prompt.
    std::size_t depth_ = 0;
    // The first moment of each crash.
    std::map<std::string, TimePoint> crashes_;
};

using Accusations = std::map<std::uint64_t, Accusation>;

// Returns the moments of crashes; those of a common cause count as one.
auto distinctMoments(const std::map<std::string, TimePoint> &crashes) -> std::vector<TimePoint>
{
    auto times = std::vector<TimePoint>();
    for (const auto &[crashId, time] : crashes) {
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

// Returns the segment that explains the most crashes; the deepest one if several do, since it is in the fewest prompts.
auto mostAccused(const Accusations &accusations) -> Accusations::const_iterator
{
    const auto rank = [](const auto &entry) {
        return std::tuple(distinctMoments(entry.second.crashes_).size(), entry.second.depth_, entry.first);
    };
    return std::max_element(accusations.begin(), accusations.end(), [&rank](const auto &left, const auto &right) {
        return rank(left) < rank(right);
    });
}

auto refusalTime(std::size_t crashes) -> Milliseconds
{
    auto time = minimumSegmentRefusal;
    for (auto count = crashesBeforeSegmentRefusal; count < crashes && time < maximumSegmentRefusal; ++count) {
        time *= 2;
    }
    return std::min(time, maximumSegmentRefusal);
}

// Takes back the crashes that a segment explains from all other segments.
auto removeExplained(Accusations &accusations, const std::map<std::string, TimePoint> &explained) -> void
{
    for (auto &[segment, accusation] : accusations) {
        std::erase_if(accusation.crashes_, [&explained](const auto &crash) {
            return explained.contains(crash.first);
        });
    }
}

// Returns until when each segment is refused. The most accused one is judged first, and what it explains is not held
// against the others.
auto findRefused(Accusations accusations) -> std::map<std::uint64_t, TimePoint>
{
    auto refusedUntil = std::map<std::uint64_t, TimePoint>();
    for (auto accused = mostAccused(accusations); accused != accusations.end(); accused = mostAccused(accusations)) {
        const auto [segment, accusation] = *accused;
        const auto moments = distinctMoments(accusation.crashes_);
        if (moments.size() < crashesBeforeSegmentRefusal) {
            break;
        }
        refusedUntil.emplace(segment, moments.back() + refusalTime(moments.size()));
        accusations.erase(accused);
        removeExplained(accusations, accusation.crashes_);
    }
    return refusedUntil;
}

} // namespace

auto CrashingPromptDetector::recordCrash(const PromptCrash &crash, TimePoint now) -> bool
{
    const auto isNew = addCrash(crash, now);
    removeUseless(now);
    decide();
    return isNew;
}

auto CrashingPromptDetector::recordStart(const std::vector<std::uint64_t> &segments, TimePoint now) -> bool
{
    auto takesBack = false;
    for (const auto segment : segments) {
        takesBack = addStart(segment, now) || takesBack;
    }
    if (takesBack) {
        removeUseless(now);
        decide();
    }
    return takesBack;
}

auto CrashingPromptDetector::merge(const CrashEvidence &evidence, TimePoint now) -> bool
{
    auto isNew = false;
    for (const auto &[crash, age] : evidence.crashes_) {
        if (age < crashEvidenceExpiry) {
            isNew = addCrash(crash, now - age) || isNew;
        }
    }
    for (const auto &[segment, age] : evidence.starts_) {
        isNew = addStart(segment, now - age) || isNew;
    }
    removeUseless(now);
    decide();
    return isNew;
}

auto CrashingPromptDetector::isEmpty() const -> bool
{
    return crashes_.empty();
}

auto CrashingPromptDetector::evidence(TimePoint now) const -> CrashEvidence
{
    const auto ageOf = [now](TimePoint time) {
        return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
    };
    auto crashes = std::vector<PromptCrashReport>();
    for (const auto &[crash, crashedAt] : crashes_) {
        crashes.push_back({.crash_ = crash, .age_ = ageOf(crashedAt)});
    }
    auto starts = std::vector<SegmentStartReport>();
    for (const auto &[segment, startedAt] : starts_) {
        starts.push_back({.segment_ = segment, .age_ = ageOf(startedAt)});
    }
    return {.crashes_ = crashes, .starts_ = starts};
}

auto CrashingPromptDetector::admit(const std::vector<std::uint64_t> &segments, const TrialTurn &turn, TimePoint now)
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

auto CrashingPromptDetector::refusedSegments(TimePoint now) const -> std::vector<std::uint64_t>
{
    auto segments = std::vector<std::uint64_t>();
    for (const auto &[segment, until] : refusedUntil_) {
        if (now < until) {
            segments.push_back(segment);
        }
    }
    return segments;
}

auto CrashingPromptDetector::addCrash(const PromptCrash &crash, TimePoint crashedAt) -> bool
{
    if (crash.segments_.empty()) {
        return false;
    }
    const auto [position, isNew] = crashes_.try_emplace(crash, crashedAt);
    position->second = std::min(position->second, crashedAt);
    return isNew;
}

auto CrashingPromptDetector::addStart(std::uint64_t segment, TimePoint startedAt) -> bool
{
    const auto takesBack = std::any_of(crashes_.begin(), crashes_.end(), [this, segment, startedAt](const auto &entry) {
        const auto &segments = entry.first.segments_;
        return entry.second < startedAt && !startedAfter(segment, entry.second)
            && std::find(segments.begin(), segments.end(), segment) != segments.end();
    });
    if (takesBack) {
        starts_[segment] = startedAt;
    }
    return takesBack;
}

auto CrashingPromptDetector::startedAfter(std::uint64_t segment, TimePoint time) const -> bool
{
    const auto found = starts_.find(segment);
    return found != starts_.end() && found->second > time;
}

auto CrashingPromptDetector::isTakenBack(const PromptCrash &crash, TimePoint crashedAt) const -> bool
{
    return std::all_of(crash.segments_.begin(), crash.segments_.end(), [this, crashedAt](std::uint64_t segment) {
        return startedAfter(segment, crashedAt);
    });
}

auto CrashingPromptDetector::removeUseless(TimePoint now) -> void
{
    std::erase_if(crashes_, [now](const auto &entry) {
        return now - entry.second >= crashEvidenceExpiry;
    });
    while (crashes_.size() > maximumPromptCrashes) {
        const auto oldest
            = std::min_element(crashes_.begin(), crashes_.end(), [this](const auto &left, const auto &right) {
                  return std::pair(!isTakenBack(left.first, left.second), left.second)
                      < std::pair(!isTakenBack(right.first, right.second), right.second);
              });
        crashes_.erase(oldest);
    }
    auto known = std::set<std::uint64_t>();
    for (const auto &[crash, crashedAt] : crashes_) {
        known.insert(crash.segments_.begin(), crash.segments_.end());
    }
    std::erase_if(starts_, [&known](const auto &entry) {
        return !known.contains(entry.first);
    });
}

auto CrashingPromptDetector::decide() -> void
{
    auto accusations = Accusations();
    for (const auto &[crash, crashedAt] : crashes_) {
        for (auto depth = std::size_t(0); depth < crash.segments_.size(); ++depth) {
            if (startedAfter(crash.segments_[depth], crashedAt)) {
                continue;
            }
            auto &accusation = accusations[crash.segments_[depth]];
            accusation.depth_ = std::max(accusation.depth_, depth);
            const auto [position, isNew] = accusation.crashes_.try_emplace(crash.crashId_, crashedAt);
            position->second = std::min(position->second, crashedAt);
        }
    }
    refusedUntil_ = findRefused(accusations);
    std::erase_if(trials_, [this](const auto &entry) {
        return !refusedUntil_.contains(entry.first);
    });
}

} // namespace jasminewood::routing
