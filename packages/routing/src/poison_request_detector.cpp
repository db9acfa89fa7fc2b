#include "jasminewood/routing/poison_request_detector.h"

#include <algorithm>

namespace jasminewood::routing
{

namespace
{

auto hasExpired(TimePoint crashedAt, TimePoint now) -> bool
{
    return now - crashedAt >= crashExpiry;
}

} // namespace

auto PoisonRequestDetector::recordCrash(
    const std::string &crashId, const std::vector<std::uint64_t> &fingerprints, TimePoint now) -> void
{
    removeExpired(now);
    for (const auto fingerprint : fingerprints) {
        record(fingerprint, crashId, Crash {.crashedAt_ = now});
    }
}

auto PoisonRequestDetector::recordCompletion(std::uint64_t fingerprint, TimePoint now) -> void
{
    removeExpired(now);
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return;
    }
    // Cleared crashes are kept, so that a late report of the same crash does not count again.
    for (auto &[crashId, crash] : found->second.crashes_) {
        crash.cleared_ = true;
    }
}

auto PoisonRequestDetector::verdict(std::uint64_t fingerprint, TimePoint now) const -> CrashVerdict
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return CrashVerdict::Unsuspected;
    }
    const auto &crashes = found->second.crashes_;
    const auto countedCrashes = std::count_if(crashes.begin(), crashes.end(), [&](const auto &entry) {
        return !entry.second.cleared_ && !hasExpired(entry.second.crashedAt_, now);
    });
    if (countedCrashes >= static_cast<std::ptrdiff_t>(crashesBeforeRefusal)) {
        return CrashVerdict::Refused;
    }
    return countedCrashes > 0 ? CrashVerdict::Suspect : CrashVerdict::Unsuspected;
}

auto PoisonRequestDetector::reports(TimePoint now) const -> std::vector<CrashReport>
{
    auto reports = std::vector<CrashReport>();
    for (const auto &[fingerprint, suspect] : suspects_) {
        for (const auto &[crashId, crash] : suspect.crashes_) {
            if (!hasExpired(crash.crashedAt_, now)) {
                const auto age = std::chrono::duration_cast<Milliseconds>(now - crash.crashedAt_);
                reports.push_back(CrashReport {
                    .fingerprint_ = fingerprint, .crashId_ = crashId, .age_ = age, .cleared_ = crash.cleared_});
            }
        }
    }
    return reports;
}

auto PoisonRequestDetector::merge(const std::vector<CrashReport> &reports, TimePoint now) -> void
{
    removeExpired(now);
    for (const auto &report : reports) {
        if (report.age_ < crashExpiry) {
            record(report.fingerprint_, report.crashId_,
                Crash {.crashedAt_ = now - report.age_, .cleared_ = report.cleared_});
        }
    }
}

auto PoisonRequestDetector::record(std::uint64_t fingerprint, const std::string &crashId, const Crash &crash) -> void
{
    if (!suspects_.contains(fingerprint) && suspects_.size() >= maximumSuspects) {
        evictOldestSuspect();
    }
    auto &suspect = suspects_[fingerprint];
    suspect.latestCrashAt_ = std::max(suspect.latestCrashAt_, crash.crashedAt_);
    const auto existing = suspect.crashes_.find(crashId);
    if (existing != suspect.crashes_.end()) {
        existing->second.crashedAt_ = std::min(existing->second.crashedAt_, crash.crashedAt_);
        existing->second.cleared_ = existing->second.cleared_ || crash.cleared_;
        return;
    }
    if (suspect.crashes_.size() >= maximumCrashesPerSuspect) {
        evictOldestCleared(suspect);
    }
    if (suspect.crashes_.size() < maximumCrashesPerSuspect) {
        suspect.crashes_.emplace(crashId, crash);
    }
}

auto PoisonRequestDetector::evictOldestCleared(Suspect &suspect) -> void
{
    auto oldest = suspect.crashes_.end();
    for (auto position = suspect.crashes_.begin(); position != suspect.crashes_.end(); ++position) {
        const auto &crash = position->second;
        if (crash.cleared_ && (oldest == suspect.crashes_.end() || crash.crashedAt_ < oldest->second.crashedAt_)) {
            oldest = position;
        }
    }
    if (oldest != suspect.crashes_.end()) {
        suspect.crashes_.erase(oldest);
    }
}

auto PoisonRequestDetector::removeExpired(TimePoint now) -> void
{
    for (auto &[fingerprint, suspect] : suspects_) {
        std::erase_if(suspect.crashes_, [&](const auto &entry) {
            return hasExpired(entry.second.crashedAt_, now);
        });
    }
    std::erase_if(suspects_, [](const auto &entry) {
        return entry.second.crashes_.empty();
    });
}

auto PoisonRequestDetector::evictOldestSuspect() -> void
{
    const auto oldest = std::min_element(suspects_.begin(), suspects_.end(), [](const auto &left, const auto &right) {
        return left.second.latestCrashAt_ < right.second.latestCrashAt_;
    });
    suspects_.erase(oldest);
}

} // namespace jasminewood::routing
