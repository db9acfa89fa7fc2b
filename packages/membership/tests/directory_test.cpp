#include "jasminewood/membership/directory.h"

#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::membership;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto record(const std::string &id, bool leaving = false) -> UpstreamRecord
{
    return {.id_ = id, .service_ = "pool", .address_ = "10.0.0.1:80", .leaving_ = leaving, .incarnation_ = 7};
}

const testkit::Story story = {"a directory of upstreams",
    {
        section("whose store is available",
            {
                // Guards against new work for an upstream that announced that it is leaving or whose entry was removed.
                test("immediately drops an upstream that is leaving or removed",
                    [] {
                        auto directory = Directory();
                        const auto now = TimePoint(100s);
                        directory.replace({record("a"), record("b"), record("c")}, now);
                        directory.put(record("b", true), now);
                        directory.removed("c", now);
                        const auto routable = directory.routable(now);
                        check(routable.size() == 1 && routable.front().record_.id_ == "a" && !routable.front().until_);
                    }),
            }),
        section("after a store outage",
            {
                // Guards against a pool without upstreams because all entries expired during the outage.
                test("keeps expired entries until their upstreams had time to register again",
                    [] {
                        auto directory = Directory();
                        const auto now = TimePoint(100s);
                        directory.replace({record("a"), record("b")}, now);
                        directory.storeFailed(now + 1s);
                        directory.replace({}, now + 9s);
                        directory.storeAnswered(now + 9s);
                        check(directory.routable(now + 10s).size() == 2);
                        directory.put(record("a"), now + 10s);
                        check(*directory.routable(now + 10s).back().until_ == now + 9s + lapsedEntryReturn);
                        const auto later = directory.routable(now + 9s + lapsedEntryReturn);
                        check(later.size() == 1 && later.front().record_.id_ == "a");
                    }),
                // Guards against new work for an upstream that leaves and removes its entry soon after the outage.
                test("keeps an entry that is removed afterwards only for a short grace period",
                    [] {
                        auto directory = Directory();
                        const auto now = TimePoint(100s);
                        directory.put(record("a"), now);
                        directory.storeFailed(now);
                        directory.storeAnswered(now + 1s);
                        directory.removed("a", now + 1500ms);
                        check(*directory.routable(now + 1600ms).front().until_ == now + 1500ms + endedEntryHold);
                        check(directory.routable(now + 1500ms + endedEntryHold).empty());
                    }),
                // Guards against new work for an upstream that announced before the outage that it is leaving.
                test("does not restore an upstream that is leaving",
                    [] {
                        auto directory = Directory();
                        const auto now = TimePoint(100s);
                        directory.put(record("a", true), now);
                        directory.storeFailed(now);
                        directory.storeAnswered(now + 1s);
                        directory.removed("a", now + 1s);
                        check(directory.routable(now + 1s).empty());
                    }),
            }),
    }};

} // namespace
