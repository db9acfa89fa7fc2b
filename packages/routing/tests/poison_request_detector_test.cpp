#include "jasminewood/routing/poison_request_detector.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
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

const auto start = TimePoint(Milliseconds(1'000'000'000));
constexpr std::uint64_t culprit = 0;
constexpr auto upstreams = std::size_t(3);
constexpr auto routers = std::size_t(2);
constexpr auto slots = std::size_t(4);
constexpr auto runsOfInnocents = 5;

// Requests 0 to 7 of two routers at three upstreams; request 0 crashes its upstream at some time while it runs, and all
// are retried until they complete or are refused. Each step is one of the possible next events, at random.
class Interleaving
{
public:
    explicit Interleaving(std::uint32_t seed)
        : random_(seed)
    {
    }

    auto run() -> void
    {
        for (auto request = std::uint64_t(0); request < 8; ++request) {
            open_.insert(request);
        }
        for (auto step = 0; step < 2000 && !open_.empty(); ++step) {
            now_ += Milliseconds(1);
            const auto upstream = below(upstreams);
            switch (below(4)) {
            case 0:
                gossip();
                break;
            case 1:
                end(upstream);
                break;
            default:
                begin(upstream);
            }
        }
    }

    auto crashes() const -> int
    {
        return crashes_;
    }

    auto refused() const -> std::set<std::uint64_t>
    {
        return refused_;
    }

    auto allEnded() const -> bool
    {
        return open_.empty();
    }

private:
    struct Attempt
    {
        std::uint64_t request_;
        bool suspect_;
    };

    auto below(std::size_t bound) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

    auto routerOf(std::uint64_t request) -> PoisonRequestDetector &
    {
        return routers_.at(request % routers);
    }

    auto begin(std::size_t upstream) -> void
    {
        auto waiting = std::vector<std::uint64_t>();
        std::set_difference(open_.begin(), open_.end(), running_.begin(), running_.end(), std::back_inserter(waiting));
        auto &attempts = attempts_.at(upstream);
        if (waiting.empty() || attempts.size() >= slots) {
            return;
        }
        const auto request = waiting.at(below(waiting.size()));
        const auto verdict = routerOf(request).verdict(request, now_);
        const auto occupied = std::any_of(attempts.begin(), attempts.end(), [](const auto &attempt) {
            return attempt.suspect_;
        });
        if (verdict == CrashVerdict::Refused) {
            refused_.insert(request);
            open_.erase(request);
        } else if (verdict == CrashVerdict::Unsuspected || !occupied) {
            attempts.push_back({request, verdict == CrashVerdict::Suspect});
            running_.insert(request);
        }
    }

    auto end(std::size_t upstream) -> void
    {
        auto &attempts = attempts_.at(upstream);
        if (attempts.empty()) {
            return;
        }
        const auto position = below(attempts.size());
        const auto request = attempts.at(position).request_;
        if (request == culprit) {
            crash(upstream);
            return;
        }
        routerOf(request).recordCompletion(request, now_);
        running_.erase(request);
        // Innocents are sent again, so that one may run beside the culprit at both of its crashes.
        if (++completions_[request] == runsOfInnocents) {
            open_.erase(request);
        }
        attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(position));
    }

    auto crash(std::size_t upstream) -> void
    {
        const auto id = std::to_string(upstream) + "/" + std::to_string(++crashes_);
        for (const auto &attempt : attempts_.at(upstream)) {
            routerOf(attempt.request_).recordCrash(id, {attempt.request_}, now_);
            running_.erase(attempt.request_);
        }
        attempts_.at(upstream).clear();
    }

    auto gossip() -> void
    {
        const auto from = below(routers);
        routers_.at(1 - from).merge(routers_.at(from).reports(now_), now_);
    }

    std::mt19937 random_;
    std::array<PoisonRequestDetector, routers> routers_;
    std::array<std::vector<Attempt>, upstreams> attempts_;
    std::set<std::uint64_t> open_;
    std::set<std::uint64_t> running_;
    std::set<std::uint64_t> refused_;
    std::map<std::uint64_t, int> completions_;
    TimePoint now_ = start;
    int crashes_ = 0;
};

const testkit::TestSuite story = {"crash suspicion",
    {
        section("in any interleaving of requests, crashes and gossip",
            {
                // Guards against a request that crashes one upstream after another, and against innocents that go down
                // with it.
                property("refuses a culprit after at most two crashes and completes every innocent",
                    [] {
                        auto interleaving = Interleaving(*rc::gen::arbitrary<std::uint32_t>());
                        interleaving.run();
                        RC_ASSERT(interleaving.allEnded());
                        RC_ASSERT(interleaving.crashes() <= 2);
                        RC_ASSERT(interleaving.refused() == std::set {culprit});
                    }),
            }),
        section("of a request that ran when its upstream crashed",
            {
                // Guards against one crash that counts twice because it is reported twice.
                test("counts each crash once and refuses at the second",
                    [] {
                        auto suspicion = PoisonRequestDetector();
                        check(suspicion.verdict(7, start) == CrashVerdict::Unsuspected);
                        suspicion.recordCrash("a@1/1", {7, 8}, start);
                        suspicion.recordCrash("a@1/1", {7, 8}, start);
                        check(suspicion.verdict(7, start) == CrashVerdict::Suspect);
                        suspicion.recordCrash("b@1/1", {7}, start);
                        check(suspicion.verdict(7, start) == CrashVerdict::Refused);
                        check(suspicion.verdict(8, start) == CrashVerdict::Suspect);
                    }),
                // Guards against reports that keep a crash alive by travelling between routers.
                test("forgets a crash after ten minutes, also across routers",
                    [] {
                        auto first = PoisonRequestDetector();
                        auto second = PoisonRequestDetector();
                        first.recordCrash("a@1/1", {7}, start);
                        second.merge(first.reports(start + std::chrono::minutes(9)), start + std::chrono::minutes(9));
                        first.merge(second.reports(start + std::chrono::minutes(9)), start + std::chrono::minutes(9));
                        check(second.verdict(7, start + std::chrono::minutes(9)) == CrashVerdict::Suspect);
                        check(second.verdict(7, start + crashExpiry) == CrashVerdict::Unsuspected);
                        check(first.verdict(7, start + crashExpiry) == CrashVerdict::Unsuspected);
                        check(first.reports(start + crashExpiry).empty());
                    }),
                // Guards against an innocent that is suspected again by a late report of the crash it survived.
                test("is cleared by a completed run, whatever the order of reports",
                    [] {
                        auto first = PoisonRequestDetector();
                        auto second = PoisonRequestDetector();
                        first.recordCrash("a@1/1", {7}, start);
                        const auto before = first.reports(start);
                        first.recordCompletion(7, start);
                        const auto after = first.reports(start);
                        first.merge(before, start);
                        second.merge(after, start);
                        second.merge(before, start);
                        check(first.verdict(7, start) == CrashVerdict::Unsuspected);
                        check(second.verdict(7, start) == CrashVerdict::Unsuspected);
                        second.recordCrash("b@1/1", {7}, start);
                        check(second.verdict(7, start) == CrashVerdict::Suspect);
                    }),
            }),
        section("with more fingerprints than it remembers",
            {
                // Guards against memory that grows with the number of crashes.
                test("forgets the oldest ones",
                    [] {
                        auto suspicion = PoisonRequestDetector();
                        for (auto fingerprint = std::uint64_t(0); fingerprint <= maximumSuspects; ++fingerprint) {
                            suspicion.recordCrash(
                                "a@1/" + std::to_string(fingerprint), {fingerprint}, start + Milliseconds(fingerprint));
                        }
                        check(suspicion.reports(start + Milliseconds(maximumSuspects)).size() == maximumSuspects);
                        check(suspicion.verdict(0, start + Milliseconds(maximumSuspects)) == CrashVerdict::Unsuspected);
                    }),
            }),
    }};

} // namespace
