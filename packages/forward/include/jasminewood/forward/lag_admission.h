#pragma once

#include <mutex>
#include <optional>

#include "jasminewood/congestion/lag_admission.h"
#include "jasminewood/congestion/lag_estimator.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/observe/metrics.h"

// Measures the lag of this process and decides which requests are refused because of it.
//
//     admission.recordRequest(delay, now);
//     const auto decision = admission.admit(request, hasPeers, now);

namespace jasminewood::forward
{

// Below this lag no request is examined, since targets are longer than four times as much.
constexpr auto minimumExaminedLag = Milliseconds(25);

// Thread-safe.
class LagAdmission
{
public:
    LagAdmission(const observe::Metrics &metrics, TimePoint startedAt);

    // Counts a request whose data waited for this time until a thread handled it.
    auto recordRequest(Clock::duration delay, TimePoint now) -> void;

    // Returns the present lag; 0 while it is too short to refuse anything.
    auto lag(TimePoint now) const -> Milliseconds;

    // Decides on a request that was counted. hasPeers says whether other routers were heard of recently.
    auto admit(const congestion::LagRequest &request, bool hasPeers, TimePoint now) -> congestion::LagDecision;

private:
    const TimePoint startedAt_;
    const observe::Histogram delays_;
    const observe::Counter refusals_;
    mutable std::mutex mutex_;
    congestion::LagEstimator estimator_;
    congestion::RefusalTally tally_;
};

} // namespace jasminewood::forward
