#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/delivery/output_buffer.h"
#include "jasminewood/manifest/manifest.h"
#include "jasminewood/membership/member_table.h"
#include "jasminewood/routing/upstream_chooser.h"
#include "jasminewood/routing/upstream_health.h"
#include "jasminewood/scheduling/attempt_scheduler.h"

namespace jasminewood::second_frontend
{

constexpr int upstreamsPerPool = 3;

// An attempt that has ended, with its complete output.
struct CompletedAttempt
{
    const AttemptId attempt_;
    const NodeId upstream_;
    const std::string output_;

    auto operator<=>(const CompletedAttempt &) const = default;
};

// Simulates three upstreams for each pool of the manifest, each with a scheduler of its own, in one process and in
// simulated time. Not thread-safe.
class SimulatedUpstreams
{
public:
    SimulatedUpstreams(const manifest::Manifest &manifest, TimePoint now);

    // Chooses an upstream of the pool.
    auto choose(const std::string &pool, const routing::SelectionRequest &request, TimePoint now) -> Result<NodeId>;

    // Queues an attempt whose response will be this output.
    auto enqueue(const NodeId &upstream, const scheduling::QueueEntry &entry, const std::string &output, TimePoint now)
        -> scheduling::EnqueueResult;

    // Runs the next attempt of any upstream to its end. Returns nothing if all queues are empty.
    auto runNext(TimePoint now) -> std::optional<CompletedAttempt>;

    // Runs the next attempt of this upstream to its end. Returns nothing if its queue is empty.
    auto runNext(const NodeId &upstream, TimePoint now) -> std::optional<CompletedAttempt>;

private:
    struct Upstream
    {
        scheduling::AttemptScheduler scheduler_;
        std::map<AttemptId, std::string> outputs_;
    };

    membership::MemberTable members_;
    routing::UpstreamChooser chooser_;
    routing::UpstreamHealth health_;
    std::map<NodeId, Upstream> upstreams_;
};

} // namespace jasminewood::second_frontend
