#include "jasminewood/membership/upstream_directory.h"

#include "jasminewood/testkit/test_suite.h"

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

const testkit::TestSuite story = {"a directory of upstreams",
    {
        section("whose store answers",
            {
                // Guards against work for an upstream that announced its end or whose entry ended.
                test("drops an upstream that is leaving or removed at once",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll({record("a"), record("b"), record("c")}, now);
                        directory.put(record("b", true), now);
                        directory.remove("c", now);
                        const auto routable = directory.routableUpstreams(now);
                        check(routable.size() == 1 && routable.front().record_.id_ == "a"
                            && !routable.front().routableUntil_);
                    }),
            }),
        section("whose store was away",
            {
                // Guards against a pool without upstreams because all entries lapsed in the outage.
                test("keeps lapsed entries until they had time to return",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll({record("a"), record("b")}, now);
                        directory.onStoreFailed(now + 1s);
                        directory.replaceAll({}, now + 9s);
                        directory.onStoreAvailable(now + 9s);
                        check(directory.routableUpstreams(now + 10s).size() == 2);
                        directory.put(record("a"), now + 10s);
                        check(*directory.routableUpstreams(now + 10s).back().routableUntil_
                            == now + 9s + lapsedEntryGracePeriod);
                        const auto later = directory.routableUpstreams(now + 9s + lapsedEntryGracePeriod);
                        check(later.size() == 1 && later.front().record_.id_ == "a");
                    }),
                // Guards against new work for an upstream whose entry ends because it leaves, soon after the store
                // returned.
                test("keeps an entry that ends afterwards only for a moment",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(record("a"), now);
                        directory.onStoreFailed(now);
                        directory.onStoreAvailable(now + 1s);
                        directory.remove("a", now + 1500ms);
                        check(*directory.routableUpstreams(now + 1600ms).front().routableUntil_
                            == now + 1500ms + removedEntryGracePeriod);
                        check(directory.routableUpstreams(now + 1500ms + removedEntryGracePeriod).empty());
                    }),
                // Guards against an upstream that keeps its work although it said before the outage that it leaves.
                test("does not bring back an upstream that is leaving",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(record("a", true), now);
                        directory.onStoreFailed(now);
                        directory.onStoreAvailable(now + 1s);
                        directory.remove("a", now + 1s);
                        check(directory.routableUpstreams(now + 1s).empty());
                    }),
            }),
    }};

} // namespace
