#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claim_table.h"
#include "jasminewood/admission/account_rate_limiter.h"
#include "line_request.h"
#include "simulated_upstreams.h"

namespace jasminewood::second_frontend
{

using Lines = std::vector<std::string>;

// Serves input lines one at a time: admits, routes, queues and runs their requests. Not thread-safe.
class LineFrontend
{
public:
    LineFrontend(std::shared_ptr<const manifest::Manifest> manifest, TimePoint now);

    // Returns the output lines for an input line.
    auto serve(const std::string &line, TimePoint now) -> Lines;

private:
    auto serve(const ChatLine &chat, TimePoint now) -> Lines;
    auto serve(const BookingLine &booking, TimePoint now) -> Lines;
    auto serve(const RunLine &run, TimePoint now) -> Lines;
    auto serve(const MalformedLine &malformed, TimePoint now) -> Lines;

    auto classify(const std::string &account, const std::string &requestClass) const
        -> Result<const manifest::RequestClass *>;
    auto makeQueueEntry(const AttemptId &attempt, const std::string &account,
        const manifest::RequestClass &requestClass, TimePoint now) const -> scheduling::QueueEntry;
    auto runClaim(claims::ClaimStateMachine &machine, const scheduling::QueueEntry &entry, const BookingLine &booking,
        TimePoint now) -> std::string;
    auto perform(const claims::Action &action, const scheduling::QueueEntry &entry, const BookingLine &booking,
        TimePoint now, std::string &responseText) -> std::optional<claims::Event>;
    auto dispatch(const claims::DispatchAttempt &action, const scheduling::QueueEntry &entry,
        const BookingLine &booking, TimePoint now) -> claims::Event;

    std::shared_ptr<const manifest::Manifest> manifest_;
    admission::AccountRateLimiter limiter_;
    SimulatedUpstreams upstreams_;
    ClaimTable claims_;
    std::uint64_t requestCount_ = 0;
};

} // namespace jasminewood::second_frontend
