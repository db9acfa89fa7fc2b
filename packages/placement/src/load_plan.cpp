#include "jasminewood/placement/load_plan.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace jasminewood::placement
{

namespace
{

// What classes need of one model of a pool. An empty version stands for any.
struct Need
{
    manifest::AllowedModel choice_;
    std::uint32_t upstreams_ = 0;
};

auto ceilDivide(std::uint64_t value, std::uint64_t divisor) -> std::uint32_t
{
    return static_cast<std::uint32_t>((value + divisor - 1) / divisor);
}

auto satisfies(const ModelVersion &held, const manifest::AllowedModel &choice) -> bool
{
    return held.model_ == choice.model_ && (choice.version_.empty() || held.version_ == choice.version_);
}

auto holds(const UpstreamState &upstream, const manifest::AllowedModel &choice) -> bool
{
    return std::any_of(upstream.loaded_.begin(), upstream.loaded_.end(), [&choice](const ModelVersion &held) -> bool {
        return satisfies(held, choice);
    });
}

auto serves(const UpstreamState &upstream) -> bool
{
    return upstream.confirmed_ && upstream.inService_ && !upstream.loading_;
}

// Plans for one pool. Counts change as steps are chosen, so that the steps are safe together.
class PoolPlan
{
public:
    PoolPlan(const manifest::Manifest &manifest, const manifest::Pool &pool, const LoadLimits &limits)
        : manifest_(manifest)
        , pool_(pool)
        , limits_(limits)
    {
    }

    auto add(const UpstreamState &upstream) -> void
    {
        members_.push_back(&upstream);
    }

    // The needs are in the order of their highest tier.
    auto readNeeds(const DemandByClass &demand) -> void
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
            for (const auto &choice : requestClass->models_) {
                addNeed(choice, ceilDivide(attempts, requestClass->models_.size()));
            }
        }
        for (auto &need : needs_) {
            need.upstreams_ = std::max(1U, ceilDivide(need.upstreams_, std::max(1U, pool_.concurrency_)));
        }
    }

    auto steps() -> std::vector<LoadStep>
    {
        auto result = std::vector<LoadStep>();
        while (true) {
            const auto step = next();
            if (!step) {
                return result;
            }
            taken_.insert(step->upstream_);
            planned_.push_back(step->target_);
            result.push_back(*step);
        }
    }

private:
    auto addNeed(const manifest::AllowedModel &choice, std::uint32_t attempts) -> void
    {
        const auto same = [&choice](const Need &need) -> bool {
            return need.choice_ == choice;
        };
        const auto known = std::find_if(needs_.begin(), needs_.end(), same);
        if (known == needs_.end()) {
            needs_.push_back(Need {.choice_ = choice, .upstreams_ = attempts});
        } else {
            known->upstreams_ += attempts;
        }
    }

    auto inService(const UpstreamState &upstream) const -> bool
    {
        return serves(upstream) && taken_.count(upstream.name_) == 0;
    }

    template <typename Predicate>
    auto count(Predicate predicate) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
            std::count_if(members_.begin(), members_.end(), [&](const UpstreamState *member) -> bool {
                return predicate(*member);
            }));
    }

    auto holders(const manifest::AllowedModel &choice) const -> std::uint32_t
    {
        return count([&](const UpstreamState &member) -> bool {
            return inService(member) && holds(member, choice);
        });
    }

    // Upstreams in service, or on their way there, that have or will have the model.
    auto supply(const manifest::AllowedModel &choice) const -> std::uint32_t
    {
        const auto arriving = [&](const UpstreamState &member) -> bool {
            return member.confirmed_ && member.loading_ && member.target_ && satisfies(*member.target_, choice);
        };
        const auto planned
            = std::count_if(planned_.begin(), planned_.end(), [&choice](const ModelVersion &load) -> bool {
                  return satisfies(load, choice);
              });
        return holders(choice) + count(arriving) + static_cast<std::uint32_t>(planned);
    }

    auto useful(const UpstreamState &member) const -> bool
    {
        return std::any_of(needs_.begin(), needs_.end(), [&member](const Need &need) -> bool {
            return holds(member, need.choice_);
        });
    }

    auto mayLeaveService(const UpstreamState &member) const -> bool
    {
        const auto serving = count([this](const UpstreamState &other) -> bool {
            return inService(other);
        });
        const auto minimum = ceilDivide(std::uint64_t(members_.size()) * limits_.minimumInServicePercent_, 100);
        if (serving <= minimum) {
            return false;
        }
        if (!useful(member)) {
            return true;
        }
        // Demand for a model that is not in service keeps no upstream from loading it.
        const auto due = std::accumulate(needs_.begin(), needs_.end(), std::uint64_t(0),
            [this](std::uint64_t sum, const Need &need) -> std::uint64_t {
                return sum + std::min(need.upstreams_, holders(need.choice_));
            });
        const auto usable = count([this](const UpstreamState &other) -> bool {
            return inService(other) && useful(other);
        });
        return usable > due && std::all_of(needs_.begin(), needs_.end(), [&](const Need &need) -> bool {
            return !holds(member, need.choice_) || holders(need.choice_) > need.upstreams_;
        });
    }

    auto mayLoad(const UpstreamState &member) const -> bool
    {
        const auto free = member.confirmed_ && !member.loading_ && taken_.count(member.name_) == 0;
        return free && (!member.inService_ || mayLeaveService(member));
    }

    // Prefers upstreams out of service, then those that no class needs.
    auto cost(const UpstreamState &member) const -> int
    {
        return (member.inService_ ? 2 : 0) + (useful(member) ? 1 : 0);
    }

    auto candidateFor(const manifest::AllowedModel &choice) const -> const UpstreamState *
    {
        const UpstreamState *best = nullptr;
        for (const auto *member : members_) {
            if (mayLoad(*member) && !holds(*member, choice) && (best == nullptr || cost(*member) < cost(*best))) {
                best = member;
            }
        }
        return best;
    }

    auto next() const -> std::optional<LoadStep>
    {
        const auto busy = count([](const UpstreamState &member) -> bool {
            return member.loading_ || !member.confirmed_;
        });
        if (busy + taken_.size() >= maximumConcurrentLoads(pool_, limits_)) {
            return std::nullopt;
        }
        for (const auto &need : needs_) {
            const auto *member = supply(need.choice_) < need.upstreams_ ? candidateFor(need.choice_) : nullptr;
            if (member != nullptr) {
                return LoadStep {.upstream_ = member->name_,
                    .agentIncarnation_ = member->agentIncarnation_,
                    .target_ = versionFor(need.choice_),
                    .evicted_ = replacedAt(*member)};
            }
        }
        return std::nullopt;
    }

    // The newest version if the classes accept any.
    auto versionFor(const manifest::AllowedModel &choice) const -> ModelVersion
    {
        const auto *model = manifest_.modelNamed(choice.model_);
        const auto any = choice.version_.empty() && model != nullptr && !model->versions_.empty();
        return ModelVersion {.model_ = choice.model_, .version_ = any ? model->versions_.back() : choice.version_};
    }

    auto replacedAt(const UpstreamState &member) const -> std::optional<ModelVersion>
    {
        const auto &loaded = member.loaded_;
        if (loaded.empty() || loaded.size() < limits_.modelsPerUpstream_) {
            return std::nullopt;
        }
        const auto unneeded = std::find_if(loaded.begin(), loaded.end(), [this](const ModelVersion &held) -> bool {
            return std::none_of(needs_.begin(), needs_.end(), [&held](const Need &need) -> bool {
                return satisfies(held, need.choice_);
            });
        });
        return unneeded == loaded.end() ? loaded.front() : *unneeded;
    }

    const manifest::Manifest &manifest_;
    const manifest::Pool &pool_;
    const LoadLimits &limits_;
    std::vector<const UpstreamState *> members_;
    std::vector<Need> needs_;
    std::set<std::string> taken_;
    std::vector<ModelVersion> planned_;
};

} // namespace

auto maximumConcurrentLoads(const manifest::Pool &pool, const LoadLimits &limits) -> std::uint32_t
{
    if (pool.weightStoreBytesPerSecond_ == 0) {
        return 0;
    }
    const auto each = std::max<std::uint64_t>(1, limits.upstreamBytesPerSecond_);
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(pool.weightStoreBytesPerSecond_ / each, 1, UINT32_MAX));
}

auto planLoads(const manifest::Manifest &manifest, const std::vector<UpstreamState> &upstreams,
    const DemandByClass &demand, const LoadLimits &limits) -> std::vector<LoadStep>
{
    auto result = std::vector<LoadStep>();
    for (const auto &[name, pool] : manifest.pools_) {
        if (pool.kind_ != manifest::PoolKind::Engine) {
            continue;
        }
        auto plan = PoolPlan(manifest, pool, limits);
        for (const auto &upstream : upstreams) {
            if (upstream.pool_ == name) {
                plan.add(upstream);
            }
        }
        plan.readNeeds(demand);
        for (const auto &step : plan.steps()) {
            result.push_back(step);
        }
    }
    return result;
}

} // namespace jasminewood::placement
