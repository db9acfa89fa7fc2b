#include "jasminewood/routing/peer_loads.h"

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::Story story = {"loads reported by other routers",
    {
        section("as reports arrive",
            {
                // Guards against an engine that looks loaded forever because a router failed or its report was lost.
                test("count until they are processed, replaced or expired",
                    [] {
                        auto loads = PeerLoads();
                        const auto now = TimePoint(100s);
                        const auto pendingTokens = [&loads](const char *engine, TimePoint time) {
                            return loads.at(engine, time).unreadTokens_;
                        };
                        loads.take("r1", true, {{"a", {.unreadTokens_ = 500}}, {"b", {.unreadTokens_ = 40}}}, now);
                        loads.take("r2", false, {{"a", {.unreadTokens_ = 7, .running_ = 3}}}, now + 1s);
                        check(pendingTokens("a", now + 1s) == 507 && loads.peers(now + 1s) == 2);
                        check(loads.at("a", now + 1s).running_ == 3);
                        loads.take("r1", false, {{"a", {}}}, now + 1s);
                        check(pendingTokens("a", now + 1s) == 7 && pendingTokens("b", now + 1s) == 40);
                        loads.take("r1", true, {}, now + 2s);
                        check(pendingTokens("b", now + 2s) == 0);
                        check(pendingTokens("a", now + 2s + peerReportExpiry) == 0);
                        check(loads.peers(now + 2s + peerReportExpiry) == 2);
                        check(loads.peers(now + 3s + peerMemory) == 0);
                    }),
                // Guards against incremental reports after which the receiver has other values than the sender.
                property("equal those of the sender after any sequence of changes",
                    [](const std::vector<std::map<std::uint8_t, std::uint8_t>> &states) {
                        auto loads = PeerLoads();
                        auto before = EngineLoads();
                        for (const auto &state : states) {
                            auto after = EngineLoads();
                            for (const auto &[engine, count] : state) {
                                after.emplace(
                                    std::to_string(engine), EngineLoad {.unreadTokens_ = count, .running_ = engine});
                            }
                            loads.take("r", false, changedLoads(before, after), TimePoint(1s));
                            before.swap(after);
                        }
                        for (auto engine = 0; engine < 256; ++engine) {
                            const auto found = before.find(std::to_string(engine));
                            const auto expected = found == before.end() ? EngineLoad {} : found->second;
                            RC_ASSERT(loads.at(std::to_string(engine), TimePoint(1s)) == expected);
                        }
                    }),
            }),
    }};

} // namespace
