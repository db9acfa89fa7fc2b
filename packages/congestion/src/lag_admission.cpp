#include "jasminewood/congestion/lag_admission.h"

#include <algorithm>
#include <limits>

namespace jasminewood::congestion
{

namespace
{

// Returns the share of the latency target up to which a lag does not refuse the request.
struct ToleratedShare
{
    const std::uint32_t urgency_;

    auto operator()(const PlainResponse & /*kind*/) const -> double
    {
        const auto urgent = double(leastUrgent - std::min(urgency_, leastUrgent)) / double(leastUrgent);
        return toleratedLagShare + urgentLagShare * urgent;
    }

    auto operator()(const EventStream & /*kind*/) const -> double
    {
        return (*this)(PlainResponse {}) + streamLagShare;
    }
};

struct ResumesStream
{
    auto operator()(const PlainResponse & /*kind*/) const -> bool
    {
        return false;
    }

    auto operator()(const EventStream &stream) const -> bool
    {
        return stream.resumes_;
    }
};

// Returns the share of such requests that is refused.
auto refusedShare(const LagRequest &request, Milliseconds lag) -> double
{
    const auto tolerated = std::visit(ToleratedShare {request.urgency_}, request.kind_);
    const auto pressure = double(lag.count()) / double(request.target_.count());
    return std::clamp((pressure - tolerated) / (1 - tolerated), 0.0, 1.0);
}

// Returns a number from 0 to below 1.
auto fraction(std::uint32_t hash) -> double
{
    return double(hash) / (double(std::numeric_limits<std::uint32_t>::max()) + 1);
}

auto mayRefuse(const LagRequest &request, const LagConditions &conditions) -> bool
{
    const auto isWithinShare = double(conditions.refused_ + 1) <= maximumRefusedShare * double(conditions.requests_);
    return request.target_.count() > 0 && conditions.hasPeers_ && conditions.sinceStart_ >= startupTime && isWithinShare
        && !std::visit(ResumesStream {}, request.kind_);
}

auto secondOf(TimePoint time) -> std::int64_t
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

auto admitUnderLag(const LagRequest &request, const LagConditions &conditions) -> LagDecision
{
    const auto isLate = request.target_ - request.elapsed_ < conditions.lag_;
    if (!mayRefuse(request, conditions) || !isLate) {
        return AdmittedUnderLag {};
    }
    // The two halves of the hash are independent, so that the delays do not depend on the share.
    constexpr auto halfBits = 32U;
    if (fraction(std::uint32_t(request.hash_)) >= refusedShare(request, conditions.lag_)) {
        return AdmittedUnderLag {};
    }
    const auto spread = (maximumRetryDelay - minimumRetryDelay) * fraction(std::uint32_t(request.hash_ >> halfBits));
    return RefusedForLag {.retryAfter_ = minimumRetryDelay + std::chrono::floor<Milliseconds>(spread)};
}

auto RefusalTally::recordRequest(TimePoint now) -> void
{
    requests_ = requests(now) + 1;
    refused_ = refused(now);
    second_ = secondOf(now);
}

auto RefusalTally::recordRefusal(TimePoint now) -> void
{
    requests_ = requests(now);
    refused_ = refused(now) + 1;
    second_ = secondOf(now);
}

auto RefusalTally::requests(TimePoint now) const -> std::uint32_t
{
    return secondOf(now) == second_ ? requests_ : 0;
}

auto RefusalTally::refused(TimePoint now) const -> std::uint32_t
{
    return secondOf(now) == second_ ? refused_ : 0;
}

} // namespace jasminewood::congestion
