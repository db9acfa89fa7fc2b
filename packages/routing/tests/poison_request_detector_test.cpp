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
constexpr std::uint64_t poisonRequest = 0;
constexpr auto upstreams = std::size_t(3);
constexpr auto routers = std::size_t(2);
constexpr auto slots = std::size_t(4);
constexpr auto runsPerHarmlessRequest = 5;

// Simulates requests 0 to 7 of two routers at three upstreams. Request 0 crashes its upstream at some time while it
// runs; all requests are retried until they complete or are refused. Each step is a random one of the possible next
// events.
class RandomInterleaving
{
public:
    explicit RandomInterleaving(std::uint32_t seed)
        : random_(seed)
    {
    }

    auto run() -> void
    {
        for (auto request = std::uint64_t(0); request < 8; ++request) {
            unfinished_.insert(request);
        }
        for (auto step = 0; step < 2000 && !unfinished_.empty(); ++step) {
            now_ += Milliseconds(1);
            const auto upstream = randomBelow(upstreams);
            switch (randomBelow(4)) {
            case 0:
                exchangeReports();
                break;
            case 1:
                endAttempt(upstream);
                break;
            default:
                startAttempt(upstream);
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

    auto allFinished() const -> bool
    {
        return unfinished_.empty();
    }

private:
    struct Attempt
    {
        std::uint64_t request_;
        bool suspect_;
    };

    auto randomBelow(std::size_t bound) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

    auto routerOf(std::uint64_t request) -> PoisonRequestDetector &
    {
        return routers_.at(request % routers);
    }

    auto startAttempt(std::size_t upstream) -> void
    {
        auto waiting = std::vector<std::uint64_t>();
        std::set_difference(
            unfinished_.begin(), unfinished_.end(), running_.begin(), running_.end(), std::back_inserter(waiting));
        auto &attempts = attempts_.at(upstream);
        if (waiting.empty() || attempts.size() >= slots) {
            return;
        }
        const auto request = waiting.at(randomBelow(waiting.size()));
        const auto verdict = routerOf(request).verdict(request, now_);
        const auto runsSuspect = std::any_of(attempts.begin(), attempts.end(), [](const auto &attempt) {
            return attempt.suspect_;
        });
        if (verdict == CrashVerdict::Refused) {
            refused_.insert(request);
            unfinished_.erase(request);
        } else if (verdict == CrashVerdict::Unsuspected || !runsSuspect) {
            attempts.push_back({request, verdict == CrashVerdict::Suspect});
            running_.insert(request);
        }
    }

    auto endAttempt(std::size_t upstream) -> void
    {
        auto &attempts = attempts_.at(upstream);
        if (attempts.empty()) {
            return;
        }
        const auto position = randomBelow(attempts.size());
        const auto request = attempts.at(position).request_;
        if (request == poisonRequest) {
            crash(upstream);
            return;
        }
        routerOf(request).recordCompletion(request, now_);
        running_.erase(request);
        // Harmless requests are sent repeatedly, so that one may run beside the poison request at both of its crashes.
        if (++completions_[request] == runsPerHarmlessRequest) {
            unfinished_.erase(request);
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

    auto exchangeReports() -> void
    {
        const auto from = randomBelow(routers);
        routers_.at(1 - from).merge(routers_.at(from).reports(now_), now_);
    }

    std::mt19937 random_;
    std::array<PoisonRequestDetector, routers> routers_;
    std::array<std::vector<Attempt>, upstreams> attempts_;
    std::set<std::uint64_t> unfinished_;
    std::set<std::uint64_t> running_;
    std::set<std::uint64_t> refused_;
    std::map<std::uint64_t, int> completions_;
    TimePoint now_ = start;
    int crashes_ = 0;
};

const testkit::TestSuite story = {"a poison request detector",
    {
        section("in any interleaving of requests, crashes and gossip",
            {
                // Guards against a request that crashes one upstream after another, and against refusing harmless
                // requests that ran beside it.
                property("refuses a poison request after at most two crashes and completes all others",
                    [] {
                        auto interleaving = RandomInterleaving(*rc::gen::arbitrary<std::uint32_t>());
                        interleaving.run();
                        RC_ASSERT(interleaving.allFinished());
                        RC_ASSERT(interleaving.crashes() <= 2);
                        RC_ASSERT(interleaving.refused() == std::set {poisonRequest});
                    }),
            }),
        section("with a request that ran when its upstream crashed",
            {
                // Guards against counting one crash twice because it is reported twice.
                test("counts each crash once and refuses the request after the second",
                    [] {
                        auto detector = PoisonRequestDetector();
                        check(detector.verdict(7, start) == CrashVerdict::Unsuspected);
                        detector.recordCrash("a@1/1", {7, 8}, start);
                        detector.recordCrash("a@1/1", {7, 8}, start);
                        check(detector.verdict(7, start) == CrashVerdict::Suspect);
                        detector.recordCrash("b@1/1", {7}, start);
                        check(detector.verdict(7, start) == CrashVerdict::Refused);
                        check(detector.verdict(8, start) == CrashVerdict::Suspect);
                    }),
                // Guards against reports that keep a crash alive by circulating between routers.
                test("expires a crash after ten minutes, also across routers",
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
                // Guards against suspecting a harmless request again because of a late report of a crash that it was
                // cleared of.
                test("clears it after a completed run, regardless of the order of reports",
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
        section("with more fingerprints than its limit",
            {
                // Guards against memory use that grows with the number of crashes.
                test("evicts the oldest ones",
                    [] {
                        auto detector = PoisonRequestDetector();
                        for (auto fingerprint = std::uint64_t(0); fingerprint <= maximumSuspects; ++fingerprint) {
                            detector.recordCrash(
                                "a@1/" + std::to_string(fingerprint), {fingerprint}, start + Milliseconds(fingerprint));
                        }
                        check(detector.reports(start + Milliseconds(maximumSuspects)).size() == maximumSuspects);
                        check(detector.verdict(0, start + Milliseconds(maximumSuspects)) == CrashVerdict::Unsuspected);
                    }),
            }),
    }};

} // namespace
