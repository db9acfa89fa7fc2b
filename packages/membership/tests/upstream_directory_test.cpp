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

auto record(const std::string &id, bool leaving = false, std::int64_t registeredAt = 0) -> UpstreamRecord
{
    return {.id_ = id,
        .service_ = "pool",
        .address_ = "10.0.0.1:80",
        .leaving_ = leaving,
        .incarnation_ = 7,
        .registeredAt_ = registeredAt};
}

// An entry as an upstream of this incarnation wrote it.
auto written(const std::string &id, std::uint64_t sequence, bool leaving = false, std::int64_t incarnation = 7)
    -> UpstreamRecord
{
    return {.id_ = id,
        .service_ = "pool",
        .address_ = "10.0.0.1:80",
        .leaving_ = leaving,
        .incarnation_ = incarnation,
        .registeredAt_ = 5,
        .sequence_ = sequence};
}

auto routableIds(const UpstreamDirectory &directory, TimePoint now) -> std::string
{
    auto ids = std::string();
    for (const auto &upstream : directory.routableUpstreams(now)) {
        ids += upstream.record_.id_;
    }
    return ids;
}

// Returns a directory whose store came back at `now` from a copy in which the upstream "b" is ready and "d" is missing.
// In the lost seconds "b" announced that it is leaving, the entry of "c" was removed and "d" registered.
auto restoredDirectory(TimePoint now) -> UpstreamDirectory
{
    auto directory = UpstreamDirectory();
    directory.replaceAll({written("a", 1), written("b", 2), written("c", 3)}, now - 20s);
    directory.put(written("b", 9, true), now - 5s);
    directory.remove("c", now - 4s);
    directory.put(written("d", 1), now - 3s);
    directory.onStoreFailed(now - 2s);
    directory.restoreAll({written("a", 1), written("b", 2), written("c", 3)}, now);
    directory.onStoreAvailable(now);
    return directory;
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
        section("whose store performs a lost write of an upstream late",
            {
                // Guards against new work for an upstream that leaves, because an older entry of it is written again.
                test("does not take back that the upstream leaves, however long the entry stays",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(written("a", 10), now);
                        directory.put(written("a", 13, true), now + 3s);
                        check(!directory.put(written("a", 11), now + 5s));
                        check(routableIds(directory, now + 5s).empty());
                        directory.onStoreAvailable(now + 5s + outdatedEntryPeriod);
                        check(routableIds(directory, now + 5s + outdatedEntryPeriod).empty());
                    }),
                // The same for an upstream that never announces its leaving.
                test("does not bring back an upstream whose entry was removed",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(written("a", 12), now);
                        directory.remove("a", now + 3s);
                        check(!directory.put(written("a", 11), now + 5s));
                        directory.onStoreAvailable(now + 6s);
                        check(routableIds(directory, now + 6s).empty());
                    }),
                // Guards against an entry of a former run that replaces the address of the present one.
                test("does not return to a former run of the upstream",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(written("a", 1, false, 8), now);
                        check(!directory.put(written("a", 30, false, 7), now + 1s));
                        check(directory.routableUpstreams(now + 1s).front().record_.incarnation_ == 8);
                    }),
                // Guards against an upstream that is lost for good because the clock of its VM was set back, or because
                // another process wrote an entry for it.
                test("lets the entry count if it is still there after some time",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(written("a", 1, false, 8), now);
                        directory.remove("a", now + 1s);
                        directory.put(written("a", 1, false, 7), now + 2s);
                        directory.put(written("a", 2, false, 7), now + 3s);
                        directory.onStoreAvailable(now + 2s + outdatedEntryPeriod);
                        check(routableIds(directory, now + 2s + outdatedEntryPeriod) == "a");
                    }),
            }),
        section("whose upstream goes on after it",
            {
                // Guards against an upstream that stays out of the pool although it runs.
                test("takes its next entry, in the same run or in a new one",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.put(written("a", 12), now);
                        directory.put(written("b", 12, true), now);
                        directory.remove("a", now);
                        directory.put(written("a", 11), now + 1s);
                        check(directory.put(written("a", 13), now + 2s));
                        check(directory.put(written("b", 1, false, 8), now + 2s));
                        check(routableIds(directory, now + 2s) == "ab");
                    }),
                // Guards against an upstream that is dropped because a part of the history was read twice.
                test("keeps it if changes are reported again",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll({written("a", 12)}, now);
                        directory.put(written("a", 11), now);
                        directory.remove("a", now);
                        check(directory.put(written("a", 12), now));
                        check(routableIds(directory, now) == "a");
                    }),
            }),
        section("one of whose entries can no longer be read",
            {
                // Guards against requests to an upstream whose entry names none, for as long as an expired one counts.
                test("drops the upstream also during an outage and after it, until it writes again",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll({record("a"), record("b"), record("c")}, now);
                        directory.onStoreFailed(now);
                        directory.invalidate("a", now);
                        check(routableIds(directory, now) == "bc");
                        directory.remove("a", now);
                        directory.onStoreAvailable(now + 1s);
                        directory.invalidate("b", now + 1s);
                        directory.invalidate("unknown", now + 1s);
                        check(routableIds(directory, now + 1s) == "c");
                        directory.put(record("a"), now + 2s);
                        check(routableIds(directory, now + 2s) == "ac");
                    }),
            }),
        section("after an outage in which most upstreams kept their entries",
            {
                // Guards against new work for an upstream that left while only this router had no way to the store: its
                // entry was removed on purpose.
                test("drops an upstream whose entry a complete read lacks",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll({record("a"), record("b"), record("c")}, now);
                        directory.onStoreFailed(now + 1s);
                        directory.replaceAll({record("a"), record("b")}, now + 7s);
                        directory.onStoreAvailable(now + 7s);
                        check(directory.routableUpstreams(now + 7s).size() == 2);
                    }),
                // The same if the removal arrives as a change.
                test("drops an upstream whose entry was removed meanwhile",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll({record("a"), record("b"), record("c")}, now);
                        directory.onStoreFailed(now + 1s);
                        directory.remove("c", now + 7s);
                        directory.onStoreAvailable(now + 7s);
                        check(directory.routableUpstreams(now + 7s).size() == 2);
                    }),
            }),
        section("after an outage in which most entries expired",
            {
                // Guards against a pool that loses the upstreams that have not registered again yet, only because
                // others already have.
                test("keeps the rest until they had time to register again",
                    [] {
                        auto directory = UpstreamDirectory();
                        const auto now = TimePoint(100s);
                        directory.replaceAll(
                            {record("a", false, 1), record("b", false, 2), record("c", false, 3)}, now);
                        directory.onStoreFailed(now + 1s);
                        directory.replaceAll({record("a", false, 11), record("b", false, 12)}, now + 7s);
                        directory.onStoreAvailable(now + 7s);
                        check(directory.routableUpstreams(now + 7s).size() == 3);
                    }),
            }),
        section("whose store came back from an older copy",
            {
                // Guards against new work for an upstream that announced its leaving, or whose entry was removed, in
                // the seconds that the store lost.
                test("does not restore an upstream that left since then, unless its entry outlives it",
                    [] {
                        const auto now = TimePoint(100s);
                        auto directory = restoredDirectory(now);
                        check(directory.outdatedUpstreams() == std::vector<std::string> {"b", "c"});
                        directory.remove("b", now + 3s);
                        directory.onStoreAvailable(now + 9s);
                        check(routableIds(directory, now + 9s) == "a");
                        directory.onStoreAvailable(now + outdatedEntryPeriod);
                        check(routableIds(directory, now + outdatedEntryPeriod) == "ac");
                    }),
                // Guards against an upstream that stays out of the pool although it wrote its entry again.
                test("takes what an upstream writes again, in the same run or in a new one",
                    [] {
                        const auto now = TimePoint(100s);
                        auto directory = restoredDirectory(now);
                        directory.put(written("b", 1, false, 8), now + 1s);
                        directory.put(written("c", 4), now + 1s);
                        directory.put(written("d", 2), now + 1s);
                        check(routableIds(directory, now + 5s) == "abcd");
                    }),
                // Guards against new work for an upstream that leaves, because it counts its writes anew.
                test("takes the leaving of an upstream at once, whatever the count of its writes",
                    [] {
                        const auto now = TimePoint(100s);
                        auto directory = restoredDirectory(now);
                        directory.put(written("a", 1, true), now + 1s);
                        check(routableIds(directory, now + 1s) == "d");
                        directory.put(written("d", 1, true, 6), now + 1s);
                        check(routableIds(directory, now + 1s) == "d", "an earlier run says nothing of this one");
                    }),
                // Guards against a pool without the upstreams that registered in the seconds that the store lost.
                test("keeps an upstream whose entry is missing until it had time to register again",
                    [] {
                        const auto now = TimePoint(100s);
                        const auto directory = restoredDirectory(now);
                        check(routableIds(directory, now + 1s) == "ad");
                        check(routableIds(directory, now + lapsedEntryGracePeriod) == "a");
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
        section("whose upstreams have several software versions",
            {
                // Guards against a version that is forgotten while its upstreams still run the streams that they began.
                test("lists those of all entries, also of leaving upstreams, until they are removed",
                    [] {
                        const auto ofVersion = [](const std::string &id, const std::string &version, bool leaving) {
                            return UpstreamRecord {
                                .id_ = id, .service_ = "pool", .leaving_ = leaving, .version_ = version};
                        };
                        auto directory = UpstreamDirectory();
                        directory.put(ofVersion("a", "v1", true), TimePoint(1s));
                        directory.put(ofVersion("b", "v2", false), TimePoint(1s));
                        using Versions = std::set<std::string>;
                        check(directory.versionsByService(TimePoint(1s)).at("pool") == Versions {"v1", "v2"});
                        directory.remove("a", TimePoint(2s));
                        check(directory.versionsByService(TimePoint(2s)).at("pool") == Versions {"v2"});
                    }),
            }),
    }};

} // namespace
