#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Chooses from which router of its data centre a router gets the changes of the platform's store. One router of each
// data centre reads the store and the others follow it, so that the calls to the store grow with the data centres and
// not with the routers. There is no election: each router chooses by itself, routers that disagree for a while only
// read more than needed, and a router whose source says nothing reads the store itself.

namespace jasminewood::relay
{

// A source that did not keep its follower up to date is passed over for this time, doubled for each further failure in
// a row up to the maximum.
constexpr Milliseconds minimumAvoidTime = Milliseconds(2'000);
constexpr Milliseconds maximumAvoidTime = Milliseconds(16'000);

// The other routers, by name.
struct RouterNames
{
    const std::vector<std::string> sameDataCentre_;
    const std::vector<std::string> elsewhere_;

    auto operator<=>(const RouterNames &) const = default;
};

// Not thread-safe. Precondition of all calls: now does not go backwards.
class SourceSelector
{
public:
    explicit SourceSelector(std::string self);

    // Returns the router to follow; empty if this router reads the store itself. All routers of a data centre that see
    // the same routers and had no failures agree on the one that reads. Routers of other data centres are followed only
    // if this router cannot reach the store and nobody in its data centre helps.
    auto choose(const RouterNames &routers, TimePoint now) const -> std::optional<std::string>;

    // Records that a source, or this router's own read of the store, failed or succeeded.
    auto recordFailure(const std::string &router, TimePoint now) -> void;
    auto recordSuccess(const std::string &router) -> void;

private:
    struct Failures
    {
        std::uint32_t count_ = 0;
        TimePoint avoidedUntil_;
    };

    auto isAvoided(const std::string &router, TimePoint now) const -> bool;
    // Returns the router with the highest rank that is not avoided; empty if there is none.
    auto best(const std::vector<std::string> &routers, TimePoint now) const -> std::optional<std::string>;

    std::string self_;
    std::map<std::string, Failures> failures_;
};

} // namespace jasminewood::relay
