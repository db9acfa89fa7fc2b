#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "jasminewood/core/clock.h"

// Prompt tokens that the other routers gave to model engines and that these have not read yet, as the routers report.
//
//     tokens.take("router-2", true, {{"engine-3", 9'000}}, now);
//     const auto before = tokens.unread("engine-3", now);

namespace jasminewood::routing
{

// A router whose last report is older is not counted: it is gone, or the path to it is.
constexpr Milliseconds peerReportExpiry = Milliseconds(2'500);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class PeerTokens
{
public:
    // A report of a router. With complete set, engines that it does not name have no unread tokens of that router.
    auto take(const std::string &router, bool complete, const std::map<std::string, std::uint64_t> &tokens,
        TimePoint now) -> void;

    // Returns the unread tokens of all other routers at the engine.
    auto unread(const std::string &engine, TimePoint now) const -> std::uint64_t;

    // Returns the number of routers that report.
    auto peers(TimePoint now) const -> std::size_t;

private:
    struct Router
    {
        TimePoint reportedAt_;
        std::map<std::string, std::uint64_t> tokens_;
    };

    std::map<std::string, Router> routers_;
};

// Returns what changed from one set of unread tokens to another; an engine that is no longer named has 0.
auto changedTokens(const std::map<std::string, std::uint64_t> &before,
    const std::map<std::string, std::uint64_t> &after) -> std::map<std::string, std::uint64_t>;

} // namespace jasminewood::routing
