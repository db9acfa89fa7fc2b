#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"

// Which routes carry prompts that are long by comparison, and which share of the engines they need.
//
//     mix.arrived("quotes", 2'890, now);
//     const auto lane = mix.isLong("quotes", now);
//     const auto share = mix.longShare(now);

namespace jasminewood::routing
{

// What arrived longer ago than this counts half.
constexpr Milliseconds mixHalfLife = Milliseconds(20'000);
// A route's prompts are long if their mean is this many times that of the route with the shortest prompts.
constexpr double longPromptFactor = 2.5;
// The weight of the tokens of short prompts against those of long ones: their streams need engines that read little.
constexpr double shortLaneWeight = 2.2;

// Not thread-safe. Precondition: now does not go backwards.
class PromptMix
{
public:
    // A request of the route arrived; tokens counts the part of its prompt that it shares with no other one.
    auto arrived(const std::string &route, std::uint64_t tokens, TimePoint now) -> void;

    auto isLong(const std::string &route) const -> bool;

    // Returns the share of the engines for long prompts, 0 to 1; 0 if no route has long ones.
    auto longShare() const -> double;

private:
    struct Flow
    {
        double requests_ = 0;
        double tokens_ = 0;
    };

    auto decay(TimePoint now) -> void;
    auto shortestMean() const -> double;

    std::map<std::string, Flow> flows_;
    std::optional<TimePoint> decayedAt_;
};

} // namespace jasminewood::routing
