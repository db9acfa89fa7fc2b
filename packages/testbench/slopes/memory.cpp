#include "memory.h"

#include <fmt/format.h>

#include "jasminewood/admission/account_rate_limiter.h"
#include "jasminewood/manifest/check.h"
#include "jasminewood/membership/member_table.h"
#include "jasminewood/routing/upstream_health.h"
#include "process.h"
#include "report.h"
#include "sample.h"

namespace jasminewood::slopes
{

namespace
{

constexpr std::uint64_t tableSeed = 7;

auto limiterFor(std::size_t accounts) -> std::shared_ptr<admission::AccountRateLimiter>
{
    auto limits = admission::AccountLimits();
    for (auto index = std::size_t(0); index < accounts; ++index) {
        limits.emplace(accountName(index), admission::AccountLimit {20, 8'000});
    }
    auto limiter = std::make_shared<admission::AccountRateLimiter>(TimePoint());
    limiter->configure(limits, 340, TimePoint());
    return limiter;
}

// Returns a limiter of 1,000 accounts with usage reports for this many pairs of router and account.
auto limiterWithPairs(std::size_t pairs) -> std::shared_ptr<admission::AccountRateLimiter>
{
    constexpr auto accounts = std::size_t(1'000);
    auto limiter = limiterFor(accounts);
    for (auto pair = std::size_t(0); pair < pairs; ++pair) {
        limiter->mergeUsage(NodeId {.name_ = fmt::format("router-lj-a-{:03}", pair / accounts), .incarnation_ = 1},
            {{accountName(pair % accounts), admission::AccountUsage {.requests_ = 10, .work_ = 3'650}}}, TimePoint());
    }
    return limiter;
}

struct Replicas
{
    membership::MemberTable members_;
    routing::UpstreamHealth health_;
};

auto replicas(std::size_t count) -> std::shared_ptr<Replicas>
{
    const auto now = TimePoint() + Milliseconds(1'000);
    auto result = std::make_shared<Replicas>(Replicas {.members_ = membership::MemberTable(tableSeed)});
    auto listed = std::vector<membership::VmEntry>();
    for (auto index = std::size_t(0); index < count; ++index) {
        listed.push_back(membership::VmEntry {.name_ = fmt::format("agent-lj-a-{:05}", index),
            .address_ = fmt::format("10.1.{}.{}:7100", index / 250, index % 250),
            .pool_ = "engines-01",
            .dataCentre_ = "lj-a"});
    }
    result->members_.applyVmList(listed, now);
    for (const auto &vm : listed) {
        const auto node = NodeId {.name_ = vm.name_, .incarnation_ = 1};
        result->members_.onConnected(membership::Peer {node, vm.address_, vm.pool_, vm.dataCentre_}, now);
        result->health_.recordTimeToFirstToken(node, Microseconds(200'000), now);
    }
    return result;
}

} // namespace

auto measureAccountMemory() -> void
{
    auto limiters = Points();
    auto manifests = Points();
    for (const auto accounts : {10, 100, 1'000, 4'000}) {
        limiters.push_back(Point {double(accounts), heapBytesOf([&]() {
                                      return limiterFor(std::size_t(accounts));
                                  })});
        manifests.push_back(Point {double(accounts), heapBytesOf([&]() {
                                       return manifest::check(manifestText(std::size_t(accounts)), "manifest");
                                   })});
    }
    printSlope("limiter memory per account", limiters, "bytes");
    printSlope("manifest memory per account", manifests, "bytes");
    auto pairs = Points();
    for (const auto count : {1'000, 4'000, 16'000, 64'000}) {
        pairs.push_back(Point {double(count), heapBytesOf([&]() {
                                   return limiterWithPairs(std::size_t(count));
                               })});
    }
    printSlope("limiter memory per pair of router and account", pairs, "bytes");
}

auto measureReplicaMemory() -> void
{
    auto points = Points();
    for (const auto count : {12, 100, 1'000, 4'000}) {
        points.push_back(Point {double(count), heapBytesOf([&]() {
                                    return replicas(std::size_t(count));
                                })});
    }
    printSlope("member table and health memory per replica", points, "bytes");
}

} // namespace jasminewood::slopes
