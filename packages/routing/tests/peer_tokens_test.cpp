#include "jasminewood/routing/peer_tokens.h"

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

using Tokens = std::map<std::string, std::uint64_t>;

const testkit::Story story = {"tokens of other routers",
    {
        section("that report",
            {
                // Guards against an engine that looks busy for ever because a router died or its report was lost.
                test("count until they are read, replaced or too old",
                    [] {
                        auto tokens = PeerTokens();
                        const auto now = TimePoint(100s);
                        tokens.take("r1", true, {{"a", 500}, {"b", 40}}, now);
                        tokens.take("r2", false, {{"a", 7}}, now + 1s);
                        check(tokens.unread("a", now + 1s) == 507 && tokens.peers(now + 1s) == 2);
                        tokens.take("r1", false, {{"a", 0}}, now + 1s);
                        check(tokens.unread("a", now + 1s) == 7 && tokens.unread("b", now + 1s) == 40);
                        tokens.take("r1", true, {}, now + 2s);
                        check(tokens.unread("b", now + 2s) == 0);
                        check(tokens.unread("a", now + 2s + peerReportExpiry) == 0);
                    }),
                // Guards against reports of changes that leave the receiver with other figures than the sender.
                property("agree with the sender after any sequence of changes",
                    [](const std::vector<std::map<std::uint8_t, std::uint8_t>> &states) {
                        auto tokens = PeerTokens();
                        auto before = Tokens();
                        for (const auto &state : states) {
                            auto after = Tokens();
                            for (const auto &[engine, count] : state) {
                                after.emplace(std::to_string(engine), count);
                            }
                            tokens.take("r", false, changedTokens(before, after), TimePoint(1s));
                            before = after;
                        }
                        for (auto engine = 0; engine < 256; ++engine) {
                            const auto found = before.find(std::to_string(engine));
                            const auto expected = found == before.end() ? 0 : found->second;
                            RC_ASSERT(tokens.unread(std::to_string(engine), TimePoint(1s)) == expected);
                        }
                    }),
            }),
    }};

} // namespace
