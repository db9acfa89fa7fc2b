#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Finds the requests that crash the upstreams that run them. A fingerprint stands for account, class and body.
//
//     suspicion.crashed("agent-3@1f/1", fingerprintsThatRan, now);
//     switch (suspicion.verdict(fingerprint, now)) { ... }
//     suspicion.completed(fingerprint, now);

namespace jasminewood::routing
{

// How a request is to be run.
enum class CrashVerdict : std::uint8_t
{
    Unsuspected,
    // Runs as the only suspect of its upstream.
    Suspect,
    // Does not run.
    Refused,
};

// Distinct crashes from which on a fingerprint is refused.
constexpr std::size_t crashesBeforeRefusal = 2;
// A crash counts for this long.
constexpr Milliseconds crashExpiry = std::chrono::minutes(10);
// Fingerprints remembered; the one whose last crash is oldest is forgotten first.
constexpr std::size_t maximumSuspects = 4096;
// Crashes remembered per fingerprint. More than refusedCrashes, since cleared ones are kept until they expire.
constexpr std::size_t maximumCrashesPerSuspect = 8;

// One crash that a fingerprint was part of, for the other routers.
struct CrashReport
{
    const std::uint64_t fingerprint_ = 0;
    // Identifies the crash and not the request.
    const std::string crashId_;
    // Time since the crash, so that a report that travels between routers does not live for ever.
    const Milliseconds age_ = Milliseconds(0);
    // True if the fingerprint has completed since; this outweighs reports of the same crash without it.
    const bool cleared_ = false;

    auto operator<=>(const CrashReport &) const = default;
};

// Merging is idempotent, commutative and associative up to the precision of the reported ages, so reports can be
// repeated, reordered and passed on. Not thread-safe. Precondition: now does not go backwards.
class PoisonRequestDetector
{
public:
    // The upstream's process died while these requests ran. Repeated calls for one crash count once.
    auto recordCrash(const std::string &crashId, const std::vector<std::uint64_t> &fingerprints, TimePoint now) -> void;

    // A request with this fingerprint ran to its end, so the crashes known so far were not its fault.
    auto recordCompletion(std::uint64_t fingerprint, TimePoint now) -> void;

    auto verdict(std::uint64_t fingerprint, TimePoint now) const -> CrashVerdict;

    // Returns all crashes that count now, or were cleared and have not expired.
    auto reports(TimePoint now) const -> std::vector<CrashReport>;

    // Takes over another router's reports.
    auto merge(const std::vector<CrashReport> &reports, TimePoint now) -> void;

private:
    struct Crash
    {
        TimePoint at_;
        bool cleared_ = false;
    };

    struct Suspect
    {
        std::map<std::string, Crash> crashes_;
        TimePoint latest_;
    };

    auto record(std::uint64_t fingerprint, const std::string &crashId, const Crash &crash) -> void;
    // Leaves the suspect as it is if none of its crashes is cleared; it is refused then.
    static auto forgetOldestCleared(Suspect &suspect) -> void;
    auto forgetExpired(TimePoint now) -> void;
    auto forgetOldest() -> void;

    std::map<std::uint64_t, Suspect> suspects_;
};

} // namespace jasminewood::routing
