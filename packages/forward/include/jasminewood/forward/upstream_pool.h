#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/forward/dialect.h"
#include "jasminewood/membership/directory.h"
#include "jasminewood/routing/policy.h"
#include "jasminewood/routing/upstream_health.h"

// What this process knows of each upstream, and the choice among them.
//
//     const auto chosen = pool.choose(service, request, excluded, Clock::now());
//     pool.released(chosen->id_, outcome, Clock::now());

namespace jasminewood::forward
{

// What an attempt showed about its upstream.
enum class AttemptResult : std::uint8_t
{
    Answered,
    // No connection, or one that broke without the caller's doing.
    Broken,
    // The address belongs to another upstream.
    Replaced,
    // The caller left, or the time was over.
    Abandoned,
};

// After a failed connection an upstream gets no work for this time; it grows with each further one.
constexpr Milliseconds firstRest = Milliseconds(500);
constexpr Milliseconds longestRest = Milliseconds(4'000);

// Thread-safe.
class UpstreamPool
{
public:
    UpstreamPool(std::uint64_t seed, const std::string &dataCentre);

    // Replaces the upstreams that take new work.
    auto replace(const std::vector<membership::UpstreamRecord> &records) -> void;

    // Chooses an upstream of the service and counts the attempt. Fails with step "choose" if there is none.
    auto choose(const std::string &service, const std::optional<Prompt> &prompt,
        const std::vector<std::string> &excluded, TimePoint now) -> Result<membership::UpstreamRecord>;

    // The attempt is over. Each choose() that succeeds is followed by one call.
    auto released(const std::string &id, AttemptResult result, TimePoint now) -> void;

    // The upstream's answer stated its load.
    auto reported(const std::string &id, const LoadReport &report) -> void;

    // Time from the order to the beginning of the answer.
    auto answeredAfter(const std::string &id, Microseconds time, TimePoint now) -> void;

    // Returns whether any upstream takes work for the service.
    auto serves(const std::string &service) const -> bool;

private:
    struct Upstream
    {
        std::shared_ptr<const membership::UpstreamRecord> record_;
        std::uint32_t outstanding_ = 0;
        // The load as last reported, and the attempts of this process that were outstanding then.
        std::uint32_t reportedRunning_ = 0;
        std::uint32_t reportedWaiting_ = 0;
        std::uint32_t outstandingAtReport_ = 0;
        double slowness_ = 1;
        std::uint32_t failures_ = 0;
        std::optional<TimePoint> restsUntil_;
        bool replaced_ = false;
    };

    auto candidate(const Upstream &upstream, routing::UpstreamHealth &health, TimePoint now) const
        -> routing::Candidate;

    mutable std::mutex mutex_;
    routing::Chooser chooser_;
    std::map<std::string, Upstream> upstreams_;
    std::map<std::string, routing::UpstreamHealth> health_;
};

} // namespace jasminewood::forward
