#include "jasminewood/routing/peer_loads.h"

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite story = {"loads reported by other routers",
    {
        section("as reports arrive",
            {
                // Guards against an engine that looks loaded forever because a router failed or its report was lost.
                test("count until they are processed, replaced or expired",
                    [] {
                        auto loads = PeerLoads();
                        const auto now = TimePoint(100s);
                        const auto pendingTokens = [&loads](const char *engine, TimePoint time) {
                            return loads.loadOf(engine, time).pendingPrefillTokens_;
                        };
                        loads.applyReport("r1", true,
                            {{"a", {.pendingPrefillTokens_ = 500}}, {"b", {.pendingPrefillTokens_ = 40}}}, now);
                        loads.applyReport(
                            "r2", false, {{"a", {.pendingPrefillTokens_ = 7, .inFlightRequests_ = 3}}}, now + 1s);
                        check(pendingTokens("a", now + 1s) == 507 && loads.peerCount(now + 1s) == 2);
                        check(loads.loadOf("a", now + 1s).inFlightRequests_ == 3);
                        loads.applyReport("r1", false, {{"a", {}}}, now + 1s);
                        check(pendingTokens("a", now + 1s) == 7 && pendingTokens("b", now + 1s) == 40);
                        loads.applyReport("r1", true, {}, now + 2s);
                        check(pendingTokens("b", now + 2s) == 0);
                        check(pendingTokens("a", now + 2s + peerLoadExpiry) == 0);
                        check(loads.peerCount(now + 2s + peerLoadExpiry) == 2);
                        check(loads.peerCount(now + 3s + peerExpiry) == 0);
                    }),
                // Guards against a report whose parts do not fit together, which would make other routers' prompts in
                // time seem late.
                test("add up late prefill, of each router at most what is pending there",
                    [] {
                        auto loads = PeerLoads();
                        const auto now = TimePoint(100s);
                        loads.applyReport(
                            "r1", true, {{"a", {.pendingPrefillTokens_ = 500, .latePrefillTokens_ = 200}}}, now);
                        loads.applyReport(
                            "r2", true, {{"a", {.pendingPrefillTokens_ = 40, .latePrefillTokens_ = 9'000}}}, now);
                        check(loads.loadOf("a", now).pendingPrefillTokens_ == 540);
                        check(loads.loadOf("a", now).latePrefillTokens_ == 240);
                    }),
                // Guards against incremental reports after which the receiver has other values than the sender.
                property("equal those of the sender after any sequence of changes",
                    [](const std::vector<std::map<std::uint8_t, std::uint8_t>> &states) {
                        auto loads = PeerLoads();
                        auto before = EngineLoads();
                        for (const auto &state : states) {
                            auto after = EngineLoads();
                            for (const auto &[engine, count] : state) {
                                after.emplace(std::to_string(engine),
                                    EngineLoad {.pendingPrefillTokens_ = count, .inFlightRequests_ = engine});
                            }
                            loads.applyReport("r", false, diffLoads(before, after), TimePoint(1s));
                            before.swap(after);
                        }
                        for (auto engine = 0; engine < 256; ++engine) {
                            const auto found = before.find(std::to_string(engine));
                            const auto expected = found == before.end() ? EngineLoad {} : found->second;
                            RC_ASSERT(loads.loadOf(std::to_string(engine), TimePoint(1s)) == expected);
                        }
                    }),
            }),
    }};

} // namespace
