#include "jasminewood/routing/upstream_health.h"

#include <map>
#include <random>

#include "jasminewood/routing/upstream_chooser.h"
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

const auto start = TimePoint(Milliseconds(1'000'000));
constexpr auto usualLatency = Milliseconds(100);

auto node(int number) -> NodeId
{
    return NodeId {.name_ = "agent-" + std::to_string(number), .incarnation_ = 1};
}

// Returns the health of a pool whose upstreams have all responded in the usual time.
auto uniformPoolHealth(int nodes) -> UpstreamHealth
{
    auto health = UpstreamHealth();
    for (auto number = 0; number < nodes; ++number) {
        health.recordTimeToFirstToken(node(number), usualLatency, start);
        health.recordInterTokenLatency(node(number), Milliseconds(30), start);
    }
    return health;
}

// Simulates a router and a pool in which agent-0 responds slower by a factor during slowTime.
class SimulatedPool
{
public:
    SimulatedPool(std::uint64_t seed, double slowFactor, Milliseconds slowTime)
        : chooser_(seed)
        , random_(seed)
        , slowFactor_(slowFactor)
        , slowUntil_(start + slowTime)
    {
    }

    // Sends a request every 10 ms for this long and returns the fraction that agent-0 receives.
    auto slowUpstreamShare(Milliseconds time) -> double
    {
        auto requests = 0;
        auto toSlow = 0;
        for (const auto end = now_ + time; now_ < end; now_ += Milliseconds(10)) {
            processResponses();
            const auto chosen = *chooser_.choose(PowerOfChoices {}, SelectionRequest {}, candidates());
            dispatch(chosen);
            ++requests;
            toSlow += chosen == node(0) ? 1 : 0;
        }
        return static_cast<double>(toSlow) / requests;
    }

    static constexpr auto nodes_ = 6;

private:
    struct Dispatched
    {
        NodeId node_;
        TimePoint at_;
    };

    auto candidates() -> std::vector<UpstreamCandidate>
    {
        auto candidates = std::vector<UpstreamCandidate>();
        for (auto number = 0; number < nodes_; ++number) {
            candidates.push_back(UpstreamCandidate {.node_ = node(number),
                .inFlight_ = inFlight_[node(number)],
                .slowness_ = health_.slowness(node(number), now_)});
        }
        return candidates;
    }

    auto dispatch(const NodeId &chosen) -> void
    {
        const auto slow = chosen == node(0) && now_ < slowUntil_;
        const auto noise = std::uniform_real_distribution<double>(0.7, 1.3)(random_);
        const auto latency = Microseconds(std::llround(100'000 * noise * (slow ? slowFactor_ : 1)));
        pendingResponses_.emplace(now_ + latency, Dispatched {chosen, now_});
        ++inFlight_[chosen];
    }

    auto processResponses() -> void
    {
        while (!pendingResponses_.empty() && pendingResponses_.begin()->first <= now_) {
            const auto &[end, dispatched] = *pendingResponses_.begin();
            health_.recordTimeToFirstToken(dispatched.node_, elapsed(dispatched.at_, end), now_);
            --inFlight_[dispatched.node_];
            pendingResponses_.erase(pendingResponses_.begin());
        }
        for (const auto &[end, dispatched] : pendingResponses_) {
            health_.recordFirstTokenWait(dispatched.node_, elapsed(dispatched.at_, now_), now_);
        }
    }

    static auto elapsed(TimePoint from, TimePoint to) -> Microseconds
    {
        return std::chrono::duration_cast<Microseconds>(to - from);
    }

    UpstreamChooser chooser_;
    std::mt19937_64 random_;
    double slowFactor_;
    TimePoint slowUntil_;
    UpstreamHealth health_;
    TimePoint now_ = start;
    std::map<NodeId, std::uint32_t> inFlight_;
    std::multimap<TimePoint, Dispatched> pendingResponses_;
};

const testkit::TestSuite story = {"upstream health",
    {
        section("of a uniform pool",
            {
                // Guards against an upstream without measurements that counts as slower or faster than the others.
                test("is 1 for all upstreams, with or without measurements",
                    [] {
                        const auto health = uniformPoolHealth(3);
                        check(health.slowness(node(0), start) == 1 && health.slowness(node(9), start) == 1);
                    }),
                // Guards against treating all upstreams as broken when the whole pool is slow.
                property("stays near 1 when all upstreams slow down equally",
                    [] {
                        auto health = uniformPoolHealth(5);
                        const auto factor = *rc::gen::inRange(1, 20);
                        auto now = start;
                        for (auto round = 0; round < 20; ++round) {
                            now += Milliseconds(100);
                            for (auto number = 0; number < 5; ++number) {
                                health.recordTimeToFirstToken(node(number), usualLatency * factor, now);
                            }
                        }
                        for (auto number = 0; number < 5; ++number) {
                            RC_ASSERT(health.slowness(node(number), now) < 1.05);
                        }
                    }),
            }),
        section("of an upstream that slows down",
            {
                // Guards against an unbounded estimate, and against one that does not recover without samples.
                property("rises within its bounds and then halves its distance from 1 every 5 s",
                    [] {
                        auto health = uniformPoolHealth(5);
                        const auto factor = *rc::gen::inRange(3, 100);
                        auto now = start;
                        for (auto sample = 0; sample < 10; ++sample) {
                            now += Milliseconds(60);
                            health.recordInterTokenLatency(node(0), Milliseconds(30) * factor, now);
                        }
                        const auto slow = health.slowness(node(0), now);
                        RC_ASSERT(slow > 0.9 * std::min<double>(factor, maximumSlowness) && slow <= maximumSlowness);
                        RC_ASSERT(health.slowness(node(1), now) == 1);
                        const auto later = health.slowness(node(0), now + 8 * slownessHalfLife);
                        RC_ASSERT(later >= 1 && later < 1 + factor / 200.0);
                    }),
                // Guards against a stalled upstream that is detected only when it responds.
                test("counts a first token that is overdue",
                    [] {
                        auto health = uniformPoolHealth(5);
                        health.recordFirstTokenWait(node(0), usualLatency / 2, start);
                        check(health.slowness(node(0), start) == 1);
                        health.recordFirstTokenWait(node(0), usualLatency * 6, start);
                        check(health.slowness(node(0), start) == 6);
                        health.recordFirstTokenWait(node(0), usualLatency * 2, start);
                        check(health.slowness(node(0), start) == 6);
                        health.recordTimeToFirstToken(node(0), usualLatency, start);
                        check(health.slowness(node(0), start) == 1);
                    }),
                // Guards against an upstream that fails immediately and therefore looks fast.
                test("counts failures and lets their penalty decay",
                    [] {
                        auto health = uniformPoolHealth(5);
                        health.recordFailure(node(0), start);
                        check(health.slowness(node(0), start) == 1 + failurePenalty);
                        check(health.slowness(node(0), start + slownessHalfLife) == 1 + failurePenalty / 2);
                        health.forget(node(0));
                        check(health.slowness(node(0), start) == 1);
                    }),
                // Guards against a slow upstream that keeps receiving requests, and against one that never receives any
                // again.
                property("reduces its share of the requests and lets it recover",
                    [] {
                        auto pool = SimulatedPool(
                            *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange(4, 10), Milliseconds(20000));
                        const auto fairShare = 1.0 / SimulatedPool::nodes_;
                        pool.slowUpstreamShare(Milliseconds(4000));
                        RC_ASSERT(pool.slowUpstreamShare(Milliseconds(16000)) < 0.4 * fairShare);
                        pool.slowUpstreamShare(3 * slownessHalfLife);
                        const auto recovered = pool.slowUpstreamShare(Milliseconds(10000));
                        RC_ASSERT(recovered > 0.7 * fairShare && recovered < 1.3 * fairShare);
                    }),
            }),
    }};

} // namespace
