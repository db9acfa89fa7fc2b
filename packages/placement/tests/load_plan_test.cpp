#include "jasminewood/placement/load_plan.h"

#include "jasminewood/testkit/property.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::placement;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

const auto first = ModelVersion {.model_ = "film", .version_ = "1"};
const auto second = ModelVersion {.model_ = "film", .version_ = "2"};
const auto limits = LoadLimits {.upstreamBytesPerSecond_ = 100, .minimumInServicePercent_ = 50};

// Class "quote" (tier 0) needs film:2, class "chat" film:1. Each upstream runs 4 attempts.
auto sample(std::uint64_t rate) -> manifest::Manifest
{
    return manifest::Manifest {
        .classes_ = {{"chat", {.name_ = "chat", .tier_ = 1, .models_ = {{"film", "1"}}, .pool_ = "gpu"}},
            {"quote", {.name_ = "quote", .tier_ = 0, .models_ = {{"film", "2"}}, .pool_ = "gpu"}}},
        .models_ = {{"film", {.name_ = "film", .versions_ = {"1", "2"}, .pool_ = "gpu"}}},
        .pools_ = {{"gpu", {.name_ = "gpu", .concurrency_ = 4, .weightStoreBytesPerSecond_ = rate}}}};
}

auto upstream(const std::string &name, const ModelVersion &held, bool confirmed = true, bool loading = false)
    -> UpstreamState
{
    return UpstreamState {.name_ = name,
        .pool_ = "gpu",
        .agentIncarnation_ = 1,
        .confirmed_ = confirmed,
        .inService_ = confirmed && !loading,
        .loading_ = loading,
        .loaded_ = {held}};
}

auto four() -> std::vector<UpstreamState>
{
    return {upstream("a", first), upstream("b", first), upstream("c", first), upstream("d", first)};
}

const testkit::TestSuite story = {"a load plan",
    {
        section("for a version that no upstream holds",
            {
                test("loads it where the present model is in surplus",
                    [] {
                        const auto steps = planLoads(sample(100), four(), {{"chat", 8}, {"quote", 8}}, limits);
                        check(steps.size() == 1 && steps.front().target_ == second);
                        check(steps.front().evicted_ == first);
                    }),
                // Guards against a load that takes from a class what its demand needs.
                test("takes no upstream that another class needs",
                    [] {
                        check(planLoads(sample(900), four(), {{"chat", 16}, {"quote", 8}}, limits).empty());
                    }),
                // Guards against a pool that goes out of service to load.
                test("keeps the minimum fraction in service",
                    [] {
                        check(planLoads(sample(900), four(), {{"chat", 1}, {"quote", 99}}, limits).size() == 2);
                    }),
            }),
        section("of a new leader",
            {
                // Guards against loads of an earlier leader that are not known yet.
                test("counts upstreams that have not answered it as loading",
                    [] {
                        const auto upstreams = std::vector {upstream("a", first), upstream("b", first),
                            upstream("c", first), upstream("d", first, false)};
                        check(planLoads(sample(100), upstreams, {{"quote", 8}}, limits).empty());
                        check(planLoads(sample(200), upstreams, {{"quote", 8}}, limits).size() == 1);
                    }),
            }),
        section("for a pool without a weight store",
            {
                test("has no steps",
                    [] {
                        check(planLoads(sample(0), four(), {{"quote", 8}}, limits).empty());
                    }),
            }),
        section("for any state of a pool",
            {
                // Guards against a step that exceeds the rate, or that lowers service below the minimum or the need.
                property("keeps the rate and the service",
                    [](const std::vector<std::uint8_t> &states, std::uint8_t rate, std::uint8_t chat,
                        std::uint8_t quote) {
                        auto upstreams = std::vector<UpstreamState>();
                        for (const auto state : states) {
                            upstreams.push_back(upstream("u" + std::to_string(upstreams.size()),
                                state % 2 == 0 ? first : second, state % 16 != 15, state % 16 >= 14));
                        }
                        const auto steps = planLoads(
                            sample(rate * 10), upstreams, {{"chat", chat / 8}, {"quote", quote / 8}}, limits);
                        auto busy = steps.size();
                        auto serving = std::size_t(0);
                        auto chatHolders = std::size_t(0);
                        for (const auto &each : upstreams) {
                            busy += each.inService_ ? 0 : 1;
                            serving += each.inService_ ? 1 : 0;
                            chatHolders += each.inService_ && each.loaded_.front() == first ? 1 : 0;
                        }
                        auto chatTaken = std::size_t(0);
                        for (const auto &step : steps) {
                            chatTaken += step.evicted_ == first ? 1 : 0;
                        }
                        const auto chatNeed = std::max<std::size_t>(1, (chat / 8 + 3) / 4);
                        RC_ASSERT(steps.empty()
                            || busy <= maximumConcurrentLoads(sample(rate * 10).pools_.at("gpu"), limits));
                        RC_ASSERT(steps.empty() || (serving - steps.size()) * 2 >= upstreams.size());
                        RC_ASSERT(chatTaken == 0 || chatHolders - chatTaken >= chatNeed);
                    }),
            }),
    }};

} // namespace
