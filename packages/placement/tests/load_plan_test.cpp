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

const auto version1 = ModelVersion {.model_ = "film", .version_ = "1"};
const auto version2 = ModelVersion {.model_ = "film", .version_ = "2"};
const auto limits = LoadLimits {.upstreamBytesPerSecond_ = 100, .minimumInServicePercent_ = 50};

// Class "quote" (tier 0) needs film:2, class "chat" needs film:1. Each upstream runs 4 attempts at a time.
auto testManifest(std::uint64_t bandwidth) -> manifest::Manifest
{
    return manifest::Manifest {
        .classes_ = {{"chat", {.name_ = "chat", .tier_ = 1, .models_ = {{"film", "1"}}, .pool_ = "gpu"}},
            {"quote", {.name_ = "quote", .tier_ = 0, .models_ = {{"film", "2"}}, .pool_ = "gpu"}}},
        .models_ = {{"film", {.name_ = "film", .versions_ = {"1", "2"}, .pool_ = "gpu"}}},
        .pools_ = {{"gpu", {.name_ = "gpu", .concurrency_ = 4, .weightStoreBytesPerSecond_ = bandwidth}}}};
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

auto fourUpstreams() -> std::vector<UpstreamState>
{
    return {upstream("a", version1), upstream("b", version1), upstream("c", version1), upstream("d", version1)};
}

const testkit::TestSuite suite = {"a load plan",
    {
        section("for a version that no upstream holds",
            {
                test("loads it on an upstream whose current version is in surplus",
                    [] {
                        const auto steps
                            = planLoads(testManifest(100), fourUpstreams(), {{"chat", 8}, {"quote", 8}}, limits);
                        check(steps.size() == 1 && steps.front().target_ == version2);
                        check(steps.front().evicted_ == version1);
                    }),
                // Guards against a load that evicts a version that the demand of a class needs.
                test("uses no upstream that another class needs",
                    [] {
                        check(planLoads(testManifest(900), fourUpstreams(), {{"chat", 16}, {"quote", 8}}, limits)
                                  .empty());
                    }),
                // Guards against a pool that goes out of service as a whole to load.
                test("keeps the minimum fraction in service",
                    [] {
                        check(planLoads(testManifest(900), fourUpstreams(), {{"chat", 1}, {"quote", 99}}, limits).size()
                            == 2);
                    }),
            }),
        section("of a new leader",
            {
                // Guards against running loads of an earlier leader that the new leader has no reports of yet.
                test("counts upstreams that have not replied to it as loading",
                    [] {
                        const auto upstreams = std::vector {upstream("a", version1), upstream("b", version1),
                            upstream("c", version1), upstream("d", version1, false)};
                        check(planLoads(testManifest(100), upstreams, {{"quote", 8}}, limits).empty());
                        check(planLoads(testManifest(200), upstreams, {{"quote", 8}}, limits).size() == 1);
                    }),
            }),
        section("for a pool without a weight store",
            {
                test("has no steps",
                    [] {
                        check(planLoads(testManifest(0), fourUpstreams(), {{"quote", 8}}, limits).empty());
                    }),
            }),
        section("for any state of a pool",
            {
                // Guards against a load that exceeds the bandwidth, or that leaves fewer upstreams in service than the
                // minimum or the demand requires.
                property("keeps within the bandwidth and leaves enough upstreams in service",
                    [](const std::vector<std::uint8_t> &states, std::uint8_t bandwidth, std::uint8_t chat,
                        std::uint8_t quote) {
                        auto upstreams = std::vector<UpstreamState>();
                        for (const auto state : states) {
                            upstreams.push_back(upstream("u" + std::to_string(upstreams.size()),
                                state % 2 == 0 ? version1 : version2, state % 16 != 15, state % 16 >= 14));
                        }
                        const auto steps = planLoads(testManifest(bandwidth * 10), upstreams,
                            {{"chat", chat / 8}, {"quote", quote / 8}}, limits);
                        auto loadingCount = steps.size();
                        auto servingCount = std::size_t(0);
                        auto chatHolders = std::size_t(0);
                        for (const auto &each : upstreams) {
                            loadingCount += each.inService_ ? 0 : 1;
                            servingCount += each.inService_ ? 1 : 0;
                            chatHolders += each.inService_ && each.loaded_.front() == version1 ? 1 : 0;
                        }
                        auto chatEvicted = std::size_t(0);
                        for (const auto &step : steps) {
                            chatEvicted += step.evicted_ == version1 ? 1 : 0;
                        }
                        const auto chatNeed = std::max<std::size_t>(1, (chat / 8 + 3) / 4);
                        RC_ASSERT(steps.empty()
                            || loadingCount
                                <= maximumConcurrentLoads(testManifest(bandwidth * 10).pools_.at("gpu"), limits));
                        RC_ASSERT(steps.empty() || (servingCount - steps.size()) * 2 >= upstreams.size());
                        RC_ASSERT(chatEvicted == 0 || chatHolders - chatEvicted >= chatNeed);
                    }),
            }),
    }};

} // namespace
