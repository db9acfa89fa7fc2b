#include "jasminewood/routing/upstream_chooser.h"

#include <algorithm>
#include <map>
#include <set>

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

namespace
{

// The maximum number of 100 routers' choices that may fall on one upstream of a uniform pool, as a multiple of the
// mean. Two random choices spread 100 requests over 12 upstreams like a binomial distribution with mean 8.3, which
// exceeds 25 once in a million.
constexpr double maximumConcentration = 3;
constexpr std::uint64_t chooserSeed = 20261204;

auto node(std::size_t number) -> NodeId
{
    return NodeId {.name_ = "agent-" + std::to_string(number), .incarnation_ = 1};
}

auto pool(std::size_t size) -> std::vector<UpstreamCandidate>
{
    auto candidates = std::vector<UpstreamCandidate>();
    for (auto number = std::size_t(0); number < size; ++number) {
        candidates.push_back(UpstreamCandidate {.node_ = node(number), .dataCentre_ = "lj-a", .freeSlots_ = 4});
    }
    return candidates;
}

auto loadedPool(std::size_t size) -> std::vector<UpstreamCandidate>
{
    auto candidates = std::vector<UpstreamCandidate>();
    for (auto number = std::size_t(0); number < size; ++number) {
        candidates.push_back(UpstreamCandidate {.node_ = node(number),
            .dataCentre_ = *rc::gen::element<std::string>("lj-a", "lj-b"),
            .outstanding_ = *rc::gen::inRange<std::uint32_t>(0, 6),
            .queuedAhead_ = *rc::gen::inRange<std::uint32_t>(0, 4),
            .freeSlots_ = *rc::gen::inRange<std::uint32_t>(0, 3),
            .slowness_ = 1 + 0.5 * *rc::gen::inRange(0, 6),
            .runsSuspect_ = *rc::gen::inRange(0, 3) == 0});
    }
    return candidates;
}

// Returns the largest number of 100 choosers with different seeds that choose the same upstream, as a multiple of the
// mean.
template <typename RequestOf>
auto concentration(std::uint64_t firstSeed, const std::vector<UpstreamCandidate> &candidates, RequestOf requestOf)
    -> double
{
    auto counts = std::map<NodeId, int>();
    for (auto router = std::uint64_t(0); router < 100; ++router) {
        ++counts[*UpstreamChooser(firstSeed + router, "lj-a").choose(PowerOfChoices {}, requestOf(router), candidates)];
    }
    auto most = 0;
    for (const auto &[name, count] : counts) {
        most = std::max(most, count);
    }
    return most * static_cast<double>(candidates.size()) / 100;
}

const testkit::TestSuite story = {"an upstream chooser",
    {
        section("under any policy",
            {
                // Guards against a retry at an upstream that failed and against two suspects at one upstream.
                property("returns only eligible upstreams, and fails as not run if there is none",
                    [] {
                        const auto candidates = loadedPool(*rc::gen::inRange<std::size_t>(0, 5));
                        const auto policy = *rc::gen::elementOf(
                            std::vector<LoadBalancingPolicy> {RoundRobin {}, LeastOutstanding {}, PowerOfChoices {}});
                        const auto request = SelectionRequest {.prefixHash_ = *rc::gen::inRange<std::uint64_t>(0, 3),
                            .crashSuspect_ = *rc::gen::arbitrary<bool>(),
                            .excludedUpstreams_ = {node(0), node(2)}};
                        const auto eligible = [&](const UpstreamCandidate &candidate) -> bool {
                            return candidate.node_ != node(0) && candidate.node_ != node(2)
                                && !(request.crashSuspect_ && candidate.runsSuspect_);
                        };
                        const auto chosen
                            = UpstreamChooser(*rc::gen::arbitrary<std::uint64_t>()).choose(policy, request, candidates);
                        const auto found
                            = std::find_if(candidates.begin(), candidates.end(), [&](const auto &candidate) {
                                  return chosen && candidate.node_ == *chosen;
                              });
                        if (chosen) {
                            RC_ASSERT(found != candidates.end() && eligible(*found));
                        } else {
                            RC_ASSERT(std::none_of(candidates.begin(), candidates.end(), eligible));
                            RC_ASSERT(chosen.failure().runState_ == RunState::NotRun);
                        }
                    }),
                // Guards against baseline policies that do not do what their names say.
                test("cycles by round robin and finds the fewest outstanding attempts",
                    [] {
                        auto chooser = UpstreamChooser(chooserSeed);
                        auto seen = std::set<NodeId>();
                        for (auto turn = 0; turn < 5; ++turn) {
                            seen.insert(*chooser.choose(RoundRobin {}, SelectionRequest {}, pool(5)));
                        }
                        check(seen.size() == 5);
                        const auto uneven
                            = std::vector<UpstreamCandidate> {UpstreamCandidate {.node_ = node(0), .outstanding_ = 2},
                                UpstreamCandidate {.node_ = node(1), .outstanding_ = 1, .queuedAhead_ = 9},
                                UpstreamCandidate {.node_ = node(2), .outstanding_ = 3}};
                        check(*chooser.choose(LeastOutstanding {}, SelectionRequest {}, uneven) == node(1));
                    }),
            }),
        section("that compares two random upstreams",
            {
                // Guards against many routers that send a burst to the one upstream that looks best.
                property("does not herd on one upstream of a uniform pool",
                    [] {
                        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                        RC_ASSERT(concentration(seed, pool(12), [](auto) {
                            return SelectionRequest {};
                        }) <= maximumConcentration);
                        RC_ASSERT(concentration(seed, pool(12), [&](auto router) {
                            return SelectionRequest {.prefixHash_ = (seed + router) * 0x9e3779b97f4a7c15U + 1};
                        }) <= maximumConcentration);
                    }),
                // Guards against herding on the only upstream that stale reports show as idle.
                property("does not herd on the only idle upstream",
                    [] {
                        auto candidates
                            = std::vector<UpstreamCandidate> {UpstreamCandidate {.node_ = node(0), .freeSlots_ = 1}};
                        for (auto number = std::size_t(1); number < 12; ++number) {
                            candidates.push_back(
                                UpstreamCandidate {.node_ = node(number), .outstanding_ = 4, .queuedAhead_ = 2});
                        }
                        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                        // The idle upstream wins each of the 2 draws out of 12 that include it: twice the mean, plus
                        // noise.
                        RC_ASSERT(concentration(seed, candidates, [](auto) {
                            return SelectionRequest {};
                        }) <= 2 * maximumConcentration);
                    }),
                // Guards against choosing the worse of the two.
                test("chooses the better of two by load times slowness, with ties broken by free slot and data centre",
                    [] {
                        auto chooser = UpstreamChooser(chooserSeed, "lj-a");
                        const auto first = [&](const UpstreamCandidate &left, const UpstreamCandidate &right) -> bool {
                            return *chooser.choose(PowerOfChoices {}, SelectionRequest {}, {left, right}) == node(0)
                                && *chooser.choose(PowerOfChoices {}, SelectionRequest {}, {right, left}) == node(0);
                        };
                        const auto other = UpstreamCandidate {
                            .node_ = node(1), .dataCentre_ = "lj-a", .outstanding_ = 2, .freeSlots_ = 1};
                        check(first(UpstreamCandidate {.node_ = node(0), .outstanding_ = 1}, other));
                        check(first(UpstreamCandidate {.node_ = node(0), .outstanding_ = 0, .slowness_ = 2.9}, other));
                        check(first(other, UpstreamCandidate {.node_ = node(0), .outstanding_ = 0, .slowness_ = 2.9}));
                        check(!first(UpstreamCandidate {.node_ = node(0), .outstanding_ = 0, .slowness_ = 3.1}, other));
                        const auto remote
                            = UpstreamCandidate {.node_ = node(1), .dataCentre_ = "lj-b", .freeSlots_ = 1};
                        check(first(
                            UpstreamCandidate {.node_ = node(0), .dataCentre_ = "lj-a", .freeSlots_ = 1}, remote));
                        check(first(UpstreamCandidate {.node_ = node(0), .dataCentre_ = "lj-b", .freeSlots_ = 1},
                            UpstreamCandidate {.node_ = node(1), .dataCentre_ = "lj-a"}));
                    }),
            }),
        section("that compares more than two upstreams",
            {
                // Guards against draws that repeat an upstream, and against a weight that has no effect.
                property("finds the best of all by the weighted score",
                    [] {
                        const auto candidates = loadedPool(*rc::gen::inRange<std::size_t>(1, 8));
                        const auto policy
                            = PowerOfChoices {.choices_ = 8, .queueWeight_ = *rc::gen::element(0.0, 0.3, 1.0)};
                        const auto chosen = *UpstreamChooser(*rc::gen::arbitrary<std::uint64_t>())
                                                 .choose(policy, SelectionRequest {}, candidates);
                        const auto found
                            = std::find_if(candidates.begin(), candidates.end(), [&](const auto &candidate) {
                                  return candidate.node_ == chosen;
                              });
                        for (const auto &candidate : candidates) {
                            RC_ASSERT(
                                loadScore(*found, policy.queueWeight_) <= loadScore(candidate, policy.queueWeight_));
                        }
                    }),
            }),
        section("with a prompt prefix",
            {
                // Guards against a prefix that is computed again at every upstream.
                property("uses one upstream while the load is uniform",
                    [] {
                        const auto request
                            = SelectionRequest {.prefixHash_ = *rc::gen::inRange<std::uint64_t>(1, 1000000)};
                        auto chosen = std::set<NodeId>();
                        for (auto seed = std::uint64_t(0); seed < 10; ++seed) {
                            chosen.insert(*UpstreamChooser(seed).choose(PowerOfChoices {}, request, pool(12)));
                        }
                        RC_ASSERT(chosen.size() == 1U);
                    }),
                // Guards against remapping all cached prefixes when one upstream leaves.
                property("remaps only the prefixes of an upstream that leaves",
                    [] {
                        const auto hash = *rc::gen::arbitrary<std::uint64_t>();
                        const auto all = pool(12);
                        const auto fewer = pool(11);
                        const auto before = all.at(preferredUpstream(hash, all)).node_;
                        const auto after = fewer.at(preferredUpstream(hash, fewer)).node_;
                        RC_ASSERT(before == node(11) || before == after);
                    }),
                // Guards against a popular prefix that overloads its upstream.
                property("avoids a preferred upstream above its load bound",
                    [] {
                        const auto request
                            = SelectionRequest {.prefixHash_ = *rc::gen::inRange<std::uint64_t>(1, 1000000)};
                        const auto uniformPool = pool(8);
                        const auto preferred = preferredUpstream(request.prefixHash_, uniformPool);
                        const auto excess = *rc::gen::inRange<std::uint32_t>(1, 10);
                        auto candidates = std::vector<UpstreamCandidate>();
                        for (auto number = std::size_t(0); number < uniformPool.size(); ++number) {
                            // With 7 upstreams at a score of 5, 1.5 times the average is exceeded from 8.1 on.
                            const auto outstanding = number == preferred ? 7 + excess : 4;
                            candidates.push_back(UpstreamCandidate {
                                .node_ = node(number), .outstanding_ = outstanding, .freeSlots_ = 1});
                        }
                        auto others = 0;
                        for (auto seed = std::uint64_t(0); seed < 100; ++seed) {
                            others += *UpstreamChooser(seed).choose(PowerOfChoices {}, request, candidates)
                                != node(preferred);
                        }
                        RC_ASSERT(others == 100);
                    }),
                // Guards against a high-tier request that waits in a long queue for a prefix that saves little time.
                property("avoids a preferred upstream whose queue is longer than average when all are full",
                    [] {
                        const auto request
                            = SelectionRequest {.prefixHash_ = *rc::gen::inRange<std::uint64_t>(1, 1000000)};
                        const auto uniformPool = pool(8);
                        const auto preferred = preferredUpstream(request.prefixHash_, uniformPool);
                        auto candidates = std::vector<UpstreamCandidate>();
                        for (auto number = std::size_t(0); number < uniformPool.size(); ++number) {
                            candidates.push_back(UpstreamCandidate {
                                .node_ = node(number), .queuedAhead_ = number == preferred ? 10U : 8U});
                        }
                        auto others = 0;
                        for (auto seed = std::uint64_t(0); seed < 100; ++seed) {
                            others += *UpstreamChooser(seed).choose(PowerOfChoices {}, request, candidates)
                                != node(preferred);
                        }
                        RC_ASSERT(others == 100);
                    }),
            }),
    }};

} // namespace
