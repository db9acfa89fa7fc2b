#include "simulated_upstreams.h"

#include <utility>

namespace jasminewood::second_frontend
{

namespace
{

// Fixed, so that the same input leads to the same decisions in every run.
constexpr std::uint64_t seed = 1;
constexpr std::uint64_t incarnation = 1;
constexpr auto simulatedTimeToFirstToken = Microseconds(20'000);
constexpr auto percent = 100.0;

auto schedulerPolicy(const manifest::Manifest &manifest, const manifest::Pool &pool) -> scheduling::SchedulerPolicy
{
    auto classes = std::vector<scheduling::ClassPolicy>();
    for (const auto &[name, requestClass] : manifest.classes_) {
        if (requestClass.pool_ == pool.name_) {
            classes.push_back(scheduling::ClassPolicy {.name_ = name,
                .tier_ = requestClass.tier_,
                .minimumShare_ = requestClass.minimumShare_ / percent,
                .maximumWait_ = requestClass.maximumWait_});
        }
    }
    return scheduling::SchedulerPolicy {.classes_ = std::move(classes),
        .concurrency_ = pool.concurrency_,
        .longLaneSlots_ = pool.longLaneSlots_,
        .longAttemptTokens_ = pool.longTokens_,
        .queueLimit_ = pool.queueLimit_};
}

} // namespace

SimulatedUpstreams::SimulatedUpstreams(const manifest::Manifest &manifest, TimePoint now)
    : members_(seed)
    , chooser_(seed)
{
    for (const auto &[name, pool] : manifest.pools_) {
        for (auto number = 1; number <= upstreamsPerPool; ++number) {
            const auto node = NodeId {.name_ = name + "-" + std::to_string(number), .incarnation_ = incarnation};
            members_.onConnected(
                membership::Peer {.node_ = node, .address_ = "simulated", .pool_ = name, .dataCentre_ = "local"}, now);
            upstreams_.emplace(node,
                Upstream {.scheduler_ = scheduling::AttemptScheduler(schedulerPolicy(manifest, pool)), .outputs_ = {}});
        }
    }
}

auto SimulatedUpstreams::choose(const std::string &pool, const routing::SelectionRequest &request, TimePoint now)
    -> Result<NodeId>
{
    auto candidates = std::vector<routing::UpstreamCandidate>();
    for (const auto &member : members_.routableMembers(pool)) {
        const auto &scheduler = upstreams_.at(member.node_).scheduler_;
        candidates.push_back(routing::UpstreamCandidate {.node_ = member.node_,
            .dataCentre_ = member.dataCentre_,
            .outstanding_ = scheduler.runningCount(),
            .queuedAhead_ = scheduler.queuedCount(),
            .freeSlots_ = scheduler.freeSlotCount(),
            .slowness_ = health_.slowness(member.node_, now)});
    }
    return chooser_.choose(routing::PowerOfChoices {}, request, candidates);
}

auto SimulatedUpstreams::enqueue(const NodeId &upstream, const scheduling::QueueEntry &entry, const std::string &output,
    TimePoint now) -> scheduling::EnqueueResult
{
    auto &chosen = upstreams_.at(upstream);
    auto enqueued = chosen.scheduler_.enqueue(entry, now);
    if (!std::holds_alternative<scheduling::Rejected>(enqueued)) {
        chosen.outputs_.emplace(entry.attempt_, output);
    }
    if (const auto *eviction = std::get_if<scheduling::QueuedAfterEviction>(&enqueued)) {
        chosen.outputs_.erase(eviction->evicted_);
    }
    return enqueued;
}

auto SimulatedUpstreams::runNext(TimePoint now) -> std::optional<CompletedAttempt>
{
    for (const auto &[node, upstream] : upstreams_) {
        if (const auto completed = runNext(node, now)) {
            return completed;
        }
    }
    return std::nullopt;
}

auto SimulatedUpstreams::runNext(const NodeId &upstream, TimePoint now) -> std::optional<CompletedAttempt>
{
    auto &chosen = upstreams_.at(upstream);
    const auto entry = chosen.scheduler_.startNext(now);
    if (!entry) {
        return std::nullopt;
    }
    const auto output = chosen.outputs_.extract(entry->attempt_).mapped();
    health_.recordTimeToFirstToken(upstream, simulatedTimeToFirstToken, now);
    chosen.scheduler_.onFinished(entry->attempt_, static_cast<std::uint32_t>(output.size()));
    return CompletedAttempt {.attempt_ = entry->attempt_, .upstream_ = upstream, .output_ = output};
}

} // namespace jasminewood::second_frontend
