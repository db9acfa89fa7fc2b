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
        section("whose store is available",
            {
                // Guards against new work for an upstream that announced that it is leaving or whose entry was removed.
                test("immediately drops an upstream that is leaving or removed",
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
        section("after a store outage",
            {
                // Guards against a pool without upstreams because all entries expired during the outage.
                test("keeps expired entries until their upstreams had time to register again",
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
                // Guards against new work for an upstream that leaves and removes its entry soon after the outage.
                test("keeps an entry that is removed afterwards only for a short grace period",
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
                // Guards against new work for an upstream that announced before the outage that it is leaving.
                test("does not restore an upstream that is leaving",
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
