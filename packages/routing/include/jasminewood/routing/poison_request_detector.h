#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Detects poison requests: those that crash the upstreams that run them. A fingerprint identifies a request by account,
// class and body.
//
//     detector.recordCrash("agent-3@1f/1", runningFingerprints, now);
//     switch (detector.verdict(fingerprint, now)) { ... }
//     detector.recordCompletion(fingerprint, now);

namespace jasminewood::routing
{

// Whether and how a request may run.
enum class CrashVerdict : std::uint8_t
{
    Unsuspected,
    // Runs only at an upstream that runs no other suspect.
    Suspect,
    // Must not run.
    Refused,
};

// The number of distinct crashes after which a fingerprint is refused.
constexpr std::size_t crashesBeforeRefusal = 2;
// How long a crash counts against a fingerprint.
constexpr Milliseconds crashExpiry = std::chrono::minutes(10);
// The maximum number of fingerprints tracked; the one whose last crash is oldest is evicted first.
constexpr std::size_t maximumSuspects = 4096;
// The maximum number of crashes tracked per fingerprint. More than crashesBeforeRefusal, because cleared crashes are
// kept until they expire.
constexpr std::size_t maximumCrashesPerSuspect = 8;

// A crash during which a request with the fingerprint was running, as reported to the other routers.
struct CrashReport
{
    const std::uint64_t fingerprint_ = 0;
    // Identifies the crash, not the request.
    const std::string crashId_;
    // Time since the crash, so that a report expires although routers keep passing it on.
    const Milliseconds age_ = Milliseconds(0);
    // True if a request with the fingerprint has completed since. Takes precedence over reports of the same crash in
    // which it is false.
    const bool cleared_ = false;

    auto operator<=>(const CrashReport &) const = default;
};

// Merging is idempotent, commutative and associative up to the precision of the reported ages, so reports can be
// repeated, reordered and passed on. Not thread-safe. Precondition: now does not go backwards.
class PoisonRequestDetector
{
public:
    // Records that an upstream's process crashed while requests with these fingerprints ran. Repeated calls for one
    // crash count once.
    auto recordCrash(const std::string &crashId, const std::vector<std::uint64_t> &fingerprints, TimePoint now) -> void;

    // Records that a request with this fingerprint ran to completion, so that it did not cause the crashes recorded so
    // far.
    auto recordCompletion(std::uint64_t fingerprint, TimePoint now) -> void;

    // Returns whether and how a request with this fingerprint may run now.
    auto verdict(std::uint64_t fingerprint, TimePoint now) const -> CrashVerdict;

    // Returns all crashes that have not expired, including cleared ones.
    auto reports(TimePoint now) const -> std::vector<CrashReport>;

    // Merges the reports of another router.
    auto merge(const std::vector<CrashReport> &reports, TimePoint now) -> void;

private:
    struct Crash
    {
        TimePoint crashedAt_;
        bool cleared_ = false;
    };

    struct Suspect
    {
        std::map<std::string, Crash> crashes_;
        TimePoint latestCrashAt_;
    };

    auto record(std::uint64_t fingerprint, const std::string &crashId, const Crash &crash) -> void;
    // Has no effect if no crash of the suspect is cleared; the suspect is refused then.
    static auto evictOldestCleared(Suspect &suspect) -> void;
    auto removeExpired(TimePoint now) -> void;
    auto evictOldestSuspect() -> void;

    std::map<std::uint64_t, Suspect> suspects_;
};

} // namespace jasminewood::routing
