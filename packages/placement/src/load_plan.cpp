#include "jasminewood/placement/load_plan.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace jasminewood::placement
{

namespace
{

// Number of upstreams that the classes need with one model of a pool. An empty version matches any version.
struct ModelNeed
{
    manifest::AllowedModel allowedModel_;
    std::uint32_t upstreamCount_ = 0;
};

auto ceilDivide(std::uint64_t value, std::uint64_t divisor) -> std::uint32_t
{
    return static_cast<std::uint32_t>((value + divisor - 1) / divisor);
}

auto satisfies(const ModelVersion &heldVersion, const manifest::AllowedModel &allowedModel) -> bool
{
    return heldVersion.model_ == allowedModel.model_
        && (allowedModel.version_.empty() || heldVersion.version_ == allowedModel.version_);
}

auto holds(const UpstreamState &upstream, const manifest::AllowedModel &allowedModel) -> bool
{
    return std::any_of(
        upstream.loaded_.begin(), upstream.loaded_.end(), [&allowedModel](const ModelVersion &heldVersion) -> bool {
            return satisfies(heldVersion, allowedModel);
        });
}

auto isServing(const UpstreamState &upstream) -> bool
{
    return upstream.confirmed_ && upstream.inService_ && !upstream.loading_;
}

// Plans the loads of one pool. Steps already chosen are included in the counts, so that the steps are safe together.
class PoolPlanner
{
public:
    PoolPlanner(const manifest::Manifest &manifest, const manifest::Pool &pool, const LoadLimits &limits)
        : manifest_(manifest)
        , pool_(pool)
        , limits_(limits)
    {
    }

    auto add(const UpstreamState &upstream) -> void
    {
        members_.push_back(&upstream);
    }

    // Orders the needs by their highest tier.
    auto computeNeeds(const DemandByClass &demand) -> void
    {
        auto classes = std::vector<const manifest::RequestClass *>();
        for (const auto &[name, requestClass] : manifest_.classes_) {
            if (requestClass.pool_ == pool_.name_ && !requestClass.models_.empty()) {
                classes.push_back(&requestClass);
            }
        }
        std::stable_sort(classes.begin(), classes.end(), [](const auto *left, const auto *right) -> bool {
            return left->tier_ < right->tier_;
        });
        for (const auto *requestClass : classes) {
            const auto found = demand.find(requestClass->name_);
            const auto attempts = found == demand.end() ? 0 : found->second;
            for (const auto &allowedModel : requestClass->models_) {
                addNeed(allowedModel, ceilDivide(attempts, requestClass->models_.size()));
            }
        }
        for (auto &need : needs_) {
            need.upstreamCount_ = std::max(1U, ceilDivide(need.upstreamCount_, std::max(1U, pool_.concurrency_)));
        }
    }

    auto planSteps() -> std::vector<LoadStep>
    {
        auto result = std::vector<LoadStep>();
        while (true) {
            const auto step = nextStep();
            if (!step) {
                return result;
            }
            selectedUpstreams_.insert(step->upstream_);
            plannedVersions_.push_back(step->target_);
            result.push_back(*step);
        }
    }

private:
    auto addNeed(const manifest::AllowedModel &allowedModel, std::uint32_t attempts) -> void
    {
        const auto isSameModel = [&allowedModel](const ModelNeed &need) -> bool {
            return need.allowedModel_ == allowedModel;
        };
        const auto existing = std::find_if(needs_.begin(), needs_.end(), isSameModel);
        if (existing == needs_.end()) {
            needs_.push_back(ModelNeed {.allowedModel_ = allowedModel, .upstreamCount_ = attempts});
        } else {
            existing->upstreamCount_ += attempts;
        }
    }

    auto inService(const UpstreamState &upstream) const -> bool
    {
        return isServing(upstream) && selectedUpstreams_.count(upstream.name_) == 0;
    }

    template <typename Predicate>
    auto countMembers(Predicate predicate) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
            std::count_if(members_.begin(), members_.end(), [&](const UpstreamState *member) -> bool {
                return predicate(*member);
            }));
    }

    auto holderCount(const manifest::AllowedModel &allowedModel) const -> std::uint32_t
    {
        return countMembers([&](const UpstreamState &member) -> bool {
            return inService(member) && holds(member, allowedModel);
        });
    }

    // Returns the number of upstreams that hold the model in service or will do so after a running or planned load.
    auto currentAndPendingHolders(const manifest::AllowedModel &allowedModel) const -> std::uint32_t
    {
        const auto isLoading = [&](const UpstreamState &member) -> bool {
            return member.confirmed_ && member.loading_ && member.target_ && satisfies(*member.target_, allowedModel);
        };
        const auto plannedCount = std::count_if(
            plannedVersions_.begin(), plannedVersions_.end(), [&allowedModel](const ModelVersion &planned) -> bool {
                return satisfies(planned, allowedModel);
            });
        return holderCount(allowedModel) + countMembers(isLoading) + static_cast<std::uint32_t>(plannedCount);
    }

    auto holdsNeededModel(const UpstreamState &member) const -> bool
    {
        return std::any_of(needs_.begin(), needs_.end(), [&member](const ModelNeed &need) -> bool {
            return holds(member, need.allowedModel_);
        });
    }

    auto mayLeaveService(const UpstreamState &member) const -> bool
    {
        const auto servingCount = countMembers([this](const UpstreamState &other) -> bool {
            return inService(other);
        });
        const auto minimum = ceilDivide(std::uint64_t(members_.size()) * limits_.minimumInServicePercent_, 100);
        if (servingCount <= minimum) {
            return false;
        }
        if (!holdsNeededModel(member)) {
            return true;
        }
        // Counts only needs that upstreams in service can meet, so that demand for a missing model does not block its
        // load.
        const auto required = std::accumulate(needs_.begin(), needs_.end(), std::uint64_t(0),
            [this](std::uint64_t sum, const ModelNeed &need) -> std::uint64_t {
                return sum + std::min(need.upstreamCount_, holderCount(need.allowedModel_));
            });
        const auto usefulCount = countMembers([this](const UpstreamState &other) -> bool {
            return inService(other) && holdsNeededModel(other);
        });
        return usefulCount > required && std::all_of(needs_.begin(), needs_.end(), [&](const ModelNeed &need) -> bool {
            return !holds(member, need.allowedModel_) || holderCount(need.allowedModel_) > need.upstreamCount_;
        });
    }

    auto mayLoad(const UpstreamState &member) const -> bool
    {
        const auto available = member.confirmed_ && !member.loading_ && selectedUpstreams_.count(member.name_) == 0;
        return available && (!member.inService_ || mayLeaveService(member));
    }

    // The lowest cost is preferred: upstreams out of service first, then those whose models no class needs.
    auto selectionCost(const UpstreamState &member) const -> int
    {
        return (member.inService_ ? 2 : 0) + (holdsNeededModel(member) ? 1 : 0);
    }

    auto candidateFor(const manifest::AllowedModel &allowedModel) const -> const UpstreamState *
    {
        const UpstreamState *best = nullptr;
        for (const auto *member : members_) {
            if (mayLoad(*member) && !holds(*member, allowedModel)
                && (best == nullptr || selectionCost(*member) < selectionCost(*best))) {
                best = member;
            }
        }
        return best;
    }

    auto nextStep() const -> std::optional<LoadStep>
    {
        const auto loadingCount = countMembers([](const UpstreamState &member) -> bool {
            return member.loading_ || !member.confirmed_;
        });
        if (loadingCount + selectedUpstreams_.size() >= maximumConcurrentLoads(pool_, limits_)) {
            return std::nullopt;
        }
        for (const auto &need : needs_) {
            const auto *member = currentAndPendingHolders(need.allowedModel_) < need.upstreamCount_
                ? candidateFor(need.allowedModel_)
                : nullptr;
            if (member != nullptr) {
                return LoadStep {.upstream_ = member->name_,
                    .agentIncarnation_ = member->agentIncarnation_,
                    .target_ = versionFor(need.allowedModel_),
                    .evicted_ = versionToEvict(*member)};
            }
        }
        return std::nullopt;
    }

    // Returns the newest version if the class accepts any version.
    auto versionFor(const manifest::AllowedModel &allowedModel) const -> ModelVersion
    {
        const auto *model = manifest_.modelNamed(allowedModel.model_);
        const auto useNewest = allowedModel.version_.empty() && model != nullptr && !model->versions_.empty();
        return ModelVersion {
            .model_ = allowedModel.model_, .version_ = useNewest ? model->versions_.back() : allowedModel.version_};
    }

    auto versionToEvict(const UpstreamState &member) const -> std::optional<ModelVersion>
    {
        const auto &loaded = member.loaded_;
        if (loaded.empty() || loaded.size() < limits_.modelsPerUpstream_) {
            return std::nullopt;
        }
        const auto unneededVersion
            = std::find_if(loaded.begin(), loaded.end(), [this](const ModelVersion &heldVersion) -> bool {
                  return std::none_of(needs_.begin(), needs_.end(), [&heldVersion](const ModelNeed &need) -> bool {
                      return satisfies(heldVersion, need.allowedModel_);
                  });
              });
        return unneededVersion == loaded.end() ? loaded.front() : *unneededVersion;
    }

    const manifest::Manifest &manifest_;
    const manifest::Pool &pool_;
    const LoadLimits &limits_;
    std::vector<const UpstreamState *> members_;
    std::vector<ModelNeed> needs_;
    std::set<std::string> selectedUpstreams_;
    std::vector<ModelVersion> plannedVersions_;
};

} // namespace

auto maximumConcurrentLoads(const manifest::Pool &pool, const LoadLimits &limits) -> std::uint32_t
{
    if (pool.weightStoreBytesPerSecond_ == 0) {
        return 0;
    }
    const auto bytesPerUpstream = std::max<std::uint64_t>(1, limits.upstreamBytesPerSecond_);
    return static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>(pool.weightStoreBytesPerSecond_ / bytesPerUpstream, 1, UINT32_MAX));
}

auto planLoads(const manifest::Manifest &manifest, const std::vector<UpstreamState> &upstreams,
    const DemandByClass &demand, const LoadLimits &limits) -> std::vector<LoadStep>
{
    auto result = std::vector<LoadStep>();
    for (const auto &[name, pool] : manifest.pools_) {
        if (pool.kind_ != manifest::PoolKind::Engine) {
            continue;
        }
        auto planner = PoolPlanner(manifest, pool, limits);
        for (const auto &upstream : upstreams) {
            if (upstream.pool_ == name) {
                planner.add(upstream);
            }
        }
        planner.computeNeeds(demand);
        for (const auto &step : planner.planSteps()) {
            result.push_back(step);
        }
    }
    return result;
}

} // namespace jasminewood::placement
