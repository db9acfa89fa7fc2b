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
constexpr auto usual = Milliseconds(100);

auto node(int number) -> NodeId
{
    return NodeId {.name_ = "agent-" + std::to_string(number), .incarnation_ = 1};
}

// A pool whose upstreams have answered in the usual time until now.
auto warmedUp(int nodes) -> UpstreamHealth
{
    auto health = UpstreamHealth();
    for (auto number = 0; number < nodes; ++number) {
        health.recordTimeToFirstToken(node(number), usual, start);
        health.recordInterTokenLatency(node(number), Milliseconds(30), start);
    }
    return health;
}

// A router in front of a pool of which agent-0 answers later by a factor until the end of the slow time.
class Pool
{
public:
    Pool(std::uint64_t seed, double slowFactor, Milliseconds slowTime)
        : chooser_(seed)
        , random_(seed)
        , slowFactor_(slowFactor)
        , slowUntil_(start + slowTime)
    {
    }

    // Sends a request every 10 ms and returns the fraction that agent-0 gets.
    auto share(Milliseconds time) -> double
    {
        auto requests = 0;
        auto first = 0;
        for (const auto end = now_ + time; now_ < end; now_ += Milliseconds(10)) {
            answer();
            const auto chosen = *chooser_.choose(PowerOfChoices {}, SelectionRequest {}, candidates());
            dispatch(chosen);
            ++requests;
            first += chosen == node(0) ? 1 : 0;
        }
        return static_cast<double>(first) / requests;
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
                .outstanding_ = outstanding_[node(number)],
                .slowness_ = health_.slowness(node(number), now_)});
        }
        return candidates;
    }

    auto dispatch(const NodeId &chosen) -> void
    {
        const auto slow = chosen == node(0) && now_ < slowUntil_;
        const auto noise = std::uniform_real_distribution<double>(0.7, 1.3)(random_);
        const auto time = Microseconds(std::llround(100'000 * noise * (slow ? slowFactor_ : 1)));
        ends_.emplace(now_ + time, Dispatched {chosen, now_});
        ++outstanding_[chosen];
    }

    auto answer() -> void
    {
        while (!ends_.empty() && ends_.begin()->first <= now_) {
            const auto &[end, dispatched] = *ends_.begin();
            health_.recordTimeToFirstToken(dispatched.node_, elapsed(dispatched.at_, end), now_);
            --outstanding_[dispatched.node_];
            ends_.erase(ends_.begin());
        }
        for (const auto &[end, dispatched] : ends_) {
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
    std::map<NodeId, std::uint32_t> outstanding_;
    std::multimap<TimePoint, Dispatched> ends_;
};

const testkit::TestSuite story = {"upstream health",
    {
        section("of a pool that is even",
            {
                // Guards against noise in the measurements of an upstream nobody knows.
                test("is 1 for all, known or not",
                    [] {
                        const auto health = warmedUp(3);
                        check(health.slowness(node(0), start) == 1 && health.slowness(node(9), start) == 1);
                    }),
                // Guards against a pool that is slow as a whole and is then used as if it were broken.
                property("stays near 1 when all upstreams slow down alike",
                    [] {
                        auto health = warmedUp(5);
                        const auto factor = *rc::gen::inRange(1, 20);
                        auto now = start;
                        for (auto round = 0; round < 20; ++round) {
                            now += Milliseconds(100);
                            for (auto number = 0; number < 5; ++number) {
                                health.recordTimeToFirstToken(node(number), usual * factor, now);
                            }
                        }
                        for (auto number = 0; number < 5; ++number) {
                            RC_ASSERT(health.slowness(node(number), now) < 1.05);
                        }
                    }),
            }),
        section("of an upstream that slows down",
            {
                // Guards against an estimate without bounds, or one that does not come back without samples.
                property("rises within its bounds and halves its distance every 5 s",
                    [] {
                        auto health = warmedUp(5);
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
                // Guards against a stalled upstream that is seen only when it answers.
                test("counts a first token that is still due",
                    [] {
                        auto health = warmedUp(5);
                        health.recordFirstTokenWait(node(0), usual / 2, start);
                        check(health.slowness(node(0), start) == 1);
                        health.recordFirstTokenWait(node(0), usual * 6, start);
                        check(health.slowness(node(0), start) == 6);
                        health.recordFirstTokenWait(node(0), usual * 2, start);
                        check(health.slowness(node(0), start) == 6);
                        health.recordTimeToFirstToken(node(0), usual, start);
                        check(health.slowness(node(0), start) == 1);
                    }),
                // Guards against an upstream that fails at once and looks fast.
                test("counts failures and forgives them",
                    [] {
                        auto health = warmedUp(5);
                        health.recordFailure(node(0), start);
                        check(health.slowness(node(0), start) == 1 + failurePenalty);
                        check(health.slowness(node(0), start + slownessHalfLife) == 1 + failurePenalty / 2);
                        health.forget(node(0));
                        check(health.slowness(node(0), start) == 1);
                    }),
                // Guards against work that goes on to a slow upstream, and against one that never gets work again.
                property("lowers its share of the work and lets it recover",
                    [] {
                        auto pool
                            = Pool(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange(4, 10), Milliseconds(20000));
                        const auto fair = 1.0 / Pool::nodes_;
                        pool.share(Milliseconds(4000));
                        RC_ASSERT(pool.share(Milliseconds(16000)) < 0.4 * fair);
                        pool.share(3 * slownessHalfLife);
                        const auto recovered = pool.share(Milliseconds(10000));
                        RC_ASSERT(recovered > 0.7 * fair && recovered < 1.3 * fair);
                    }),
            }),
    }};

} // namespace
