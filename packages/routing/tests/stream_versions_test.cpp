#include "jasminewood/routing/stream_versions.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto chat = "chat";
constexpr auto memory = Milliseconds(30'000);
const auto start = TimePoint(100s);
// The age of what the store said at a router that hears all of it at once.
constexpr auto upToDate = Milliseconds(0);

auto streamAt(StreamId stream, const std::string &version) -> StreamRecord
{
    return {.stream_ = stream, .origin_ = {.service_ = chat, .version_ = version}};
}

auto beganAt(const std::string &version) -> OriginDecision
{
    return StreamOrigin {.service_ = chat, .version_ = version};
}

// Several versions have no base version.
auto agreed(const std::set<std::string> &versions, std::uint64_t era = 1) -> AgreedVersions
{
    return {.era_ = era,
        .versions_ = versions,
        .base_ = versions.size() == 1 ? *versions.begin() : std::string(unrecordedVersion)};
}

// Both versions are agreed on, after v1 was alone.
auto addedToFirst() -> AgreedVersions
{
    return {.era_ = 1, .versions_ = {"v1", "v2"}, .base_ = "v1"};
}

// What the store holds now was read.
constexpr auto allRecords = StoreView {.includesRecords_ = true};

// A router that has read the agreed versions in era 1, while they are registered.
auto routerThatAgreesOn(const std::set<std::string> &versions) -> StreamVersions
{
    auto router = StreamVersions({.memory_ = memory});
    router.setEra(1);
    router.setAgreed(chat, agreed(versions), start);
    router.setRegistered({{chat, versions}}, start);
    return router;
}

const testkit::TestSuite resumption = {"a stream that is resumed",
    {
        section("while routers agree on one version",
            {
                // Guards against writes to the store for each stream on days without a second version.
                test("began at that version, without a record",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        check(!router.hasUnwritten() && router.takeUnwritten(start).empty());
                        check(router.originOf(2, chat, {.age_ = upToDate}, start) == beganAt("v1"));
                    }),
                // Guards against a router that starts when only upstreams of a newer version are left.
                test("began there although only another version is registered now",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setRegistered({{chat, {"v2"}}}, start);
                        check(router.originOf(2, chat, {.age_ = upToDate}, start) == beganAt("v1"));
                        check(router.admittedVersions(chat, start) == std::set<std::string> {"v1"});
                    }),
                // Guards against a stream that began at a version before it was agreed on, for lack of another.
                test("is recorded if it began at another one",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.recordBegin(streamAt(3, "v2"), upToDate, start);
                        check(router.takeUnwritten(start) == std::vector {streamAt(3, "v2")});
                        check(router.originOf(3, chat, {.age_ = upToDate}, start) == beganAt("v2"));
                    }),
            }),
        section("at a router that has not heard of the store for some time",
            {
                // Guards against a router that is cut off and takes a stream of a version that it never heard of for
                // one of the version that it knows.
                test("goes on only if it is recorded",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        check(router.originOf(1, chat, {.age_ = 2'001ms}, start) == beganAt("v1"));
                        check(router.originOf(2, chat, {.age_ = 2'000ms}, start) == beganAt("v1"));
                        check(router.originOf(2, chat, {.age_ = 2'001ms}, start) == OriginDecision(UnknownOrigin {}));
                    }),
            }),
        section("while routers agree on several versions",
            {
                // Guards against text joined from two versions.
                test("goes on where it began if that is recorded, and nowhere otherwise",
                    [] {
                        auto router = routerThatAgreesOn({"v1", "v2"});
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        router.recordReported(streamAt(2, "v2"), start);
                        check(router.originOf(1, chat, {.age_ = upToDate}, start) == beganAt("v1"));
                        check(router.originOf(2, chat, {.age_ = upToDate}, start) == beganAt("v2"));
                        check(router.originOf(3, chat, {.age_ = upToDate}, start) == OriginDecision(UnknownOrigin {}));
                    }),
                // Guards against streams of which only the killed router knew.
                test("is written once, also if it began before the second version came",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        router.setAgreed(chat, agreed({"v1", "v2"}), start + 1s);
                        check(router.hasUnwritten());
                        check(router.takeUnwritten(start + 1s) == std::vector {streamAt(1, "v1")});
                        check(router.takeUnwritten(start + 1s).empty());
                    }),
                // Guards against records that are lost with a call to the store.
                test("is written again if the write failed, or was lost with an era of the store",
                    [] {
                        auto router = routerThatAgreesOn({"v1", "v2"});
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        router.recordReported(streamAt(2, "v2"), start);
                        router.putBack(router.takeUnwritten(start));
                        check(router.takeUnwritten(start) == std::vector {streamAt(1, "v1")});
                        router.setEra(2);
                        check(router.takeUnwritten(start) == std::vector {streamAt(1, "v1")});
                    }),
                // Guards against a table that grows without bound.
                test("is forgotten after the memory, or when too many came after it",
                    [] {
                        auto router = StreamVersions({.memory_ = memory, .maximumStreams_ = 2});
                        router.setEra(1);
                        router.setAgreed(chat, agreed({"v1", "v2"}), start);
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        router.recordBegin(streamAt(2, "v1"), upToDate, start + 1s);
                        router.recordBegin(streamAt(3, "v1"), upToDate, start + 2s);
                        check(router.originOf(1, chat, {.age_ = upToDate}, start + 2s)
                            == OriginDecision(UnknownOrigin {}));
                        check(router.originOf(3, chat, {.age_ = upToDate}, start + 2s + memory) == beganAt("v1"));
                        check(router.originOf(3, chat, {.age_ = upToDate}, start + 3s + memory)
                            == OriginDecision(UnknownOrigin {}));
                        check(router.takeUnwritten(start + 3s + memory).empty());
                    }),
            }),
        section("while routers agree on a version that was alone and on one that was added",
            {
                // Guards against streams that are cut off with a router that could not record them when the second
                // version came.
                test("goes on at the version that was alone, without a record",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        check(router.originOf(1, chat, allRecords, start) == beganAt("v1"));
                        router.recordReported(streamAt(2, "v2"), start);
                        check(router.originOf(2, chat, allRecords, start) == beganAt("v2"));
                    }),
                // Guards against a stream of the added version whose record is on its way.
                test("goes on there only once all records were read",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        check(router.originOf(1, chat, {}, start) == OriginDecision(RecordsNeeded {}));
                        const auto lastHeard = StoreView {.age_ = 2'001ms, .includesRecords_ = true};
                        check(router.originOf(1, chat, lastHeard, start) == OriginDecision(UnknownOrigin {}));
                    }),
                // Guards against a stream that is taken for one of the version that was alone.
                test("was recorded before its first event if it began at the added one",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        check(router.recordBegin(streamAt(1, "v1"), upToDate, start) == RecordNeed::Never);
                        router.setAgreed(chat, addedToFirst(), start);
                        check(router.recordBegin(streamAt(2, "v1"), upToDate, start) == RecordNeed::Later);
                        check(router.recordBegin(streamAt(3, "v2"), upToDate, start) == RecordNeed::BeforeFirstEvent);
                        check(router.recordBegin(streamAt(4, unrecordedVersion), upToDate, start)
                            == RecordNeed::BeforeFirstEvent);
                    }),
                // Guards against a suspended router that wakes and begins a stream as if its version were still alone.
                test("was recorded before its first event if its router had not heard of the store for the memory",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        check(router.recordBegin(streamAt(1, "v1"), memory, start) == RecordNeed::Never);
                        check(
                            router.recordBegin(streamAt(2, "v1"), memory + 1ms, start) == RecordNeed::BeforeFirstEvent);
                    }),
                // Guards against a first event that is passed on although the write failed or is not done yet.
                test("counts as recorded once the write is confirmed",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        router.recordBegin(streamAt(1, "v2"), upToDate, start);
                        check(!router.isWritten(1));
                        router.putBack(router.takeUnwritten(start));
                        check(!router.isWritten(1));
                        const auto records = router.takeUnwritten(start);
                        check(!router.isWritten(1));
                        router.confirmWritten(records);
                        check(router.isWritten(1) && !router.isWritten(2));
                    }),
                // Guards against a record that was written although its stream began anew at another version.
                test("goes on nowhere if it was recorded at both",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        router.recordBegin(streamAt(1, "v2"), upToDate, start);
                        router.confirmWritten(router.takeUnwritten(start));
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        check(router.originOf(1, chat, allRecords, start) == beganAt(unrecordedVersion));
                        check(router.takeUnwritten(start) == std::vector {streamAt(1, unrecordedVersion)});
                        router.recordReported(streamAt(1, "v2"), start);
                        check(router.originOf(1, chat, allRecords, start) == beganAt(unrecordedVersion));
                    }),
                // Guards against a stream that is taken for one of the version that was alone because its record was
                // forgotten.
                test("goes on nowhere while a record may have been forgotten",
                    [] {
                        auto router = StreamVersions({.memory_ = memory, .maximumStreams_ = 1});
                        router.setEra(1);
                        router.setAgreed(chat, addedToFirst(), start);
                        router.recordReported(streamAt(1, "v2"), start);
                        router.recordReported(streamAt(2, "v2"), start + 1s);
                        check(router.originOf(1, chat, allRecords, start + memory) == OriginDecision(UnknownOrigin {}));
                        check(router.originOf(1, chat, allRecords, start + memory + 1ms) == beganAt("v1"));
                    }),
            }),
        section("at a router that has read nothing from the store",
            {
                test("goes on nowhere",
                    [] {
                        const auto router = StreamVersions();
                        check(router.originOf(1, chat, {.age_ = upToDate}, start) == OriginDecision(UnknownOrigin {}));
                        check(router.admittedVersions(chat, start).empty() && !router.proposal(chat, start));
                    }),
            }),
    }};

const testkit::TestSuite agreement = {"the versions that routers agree on",
    {
        section("begin",
            {
                test("with those that are registered when the system starts for the first time",
                    [] {
                        auto router = StreamVersions({.isFirstStart_ = true});
                        router.setRegistered({{chat, {"v1"}}}, start);
                        check(!router.proposal(chat, start));
                        router.setEra(1);
                        check(router.proposal(chat, start) == agreed({"v1"}));
                    }),
                // Guards against a router that takes the only version it sees for the only one there was.
                test("with streams of unknown versions at any other start",
                    [] {
                        auto router = StreamVersions();
                        router.setEra(1);
                        router.setRegistered({{chat, {"v1"}}}, start);
                        check(router.proposal(chat, start) == agreed({"v1", unrecordedVersion}));
                    }),
            }),
        section("grow",
            {
                test("by a version that is registered",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        check(!router.proposal(chat, start));
                        router.setRegistered({{chat, {"v1", "v2"}}}, start);
                        check(router.proposal(chat, start) == addedToFirst());
                    }),
                // Guards against a stream of the new version that is resumed at a router that has not heard of it yet.
                test("but streams begin at the added version only when all routers know it that read the store",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, agreed({"v1", "v2"}), start);
                        check(router.admittedVersions(chat, start + 1'999ms) == std::set<std::string> {"v1"});
                        check(router.admittedVersions(chat, start + 2s) == std::set<std::string> {"v1", "v2"});
                    }),
            }),
        section("shrink",
            {
                // Guards against a stream of the old version that is taken for one of the new version.
                test("only when no stream of the version that left can be resumed any more",
                    [] {
                        auto router = routerThatAgreesOn({"v1", "v2"});
                        router.setRegistered({{chat, {"v2"}}}, start + 5s);
                        check(!router.proposal(chat, start + 5s + memory));
                        check(router.proposal(chat, start + 6s + memory) == agreed({"v2"}));
                        router.setRegistered({}, start + 7s + memory);
                        check(!router.proposal(chat, start + 8s + memory + memory));
                    }),
                // Guards against a router that was cut off while a version came back for a while.
                test("after the memory since a pause in which this router did not hear what was registered",
                    [] {
                        auto router = routerThatAgreesOn({"v1", "v2"});
                        router.setRegistered({{chat, {"v2"}}}, start + 1s);
                        router.setRegistered({{chat, {"v2"}}}, start + 6s);
                        router.setRegistered({{chat, {"v2"}}}, start + 7s);
                        check(!router.proposal(chat, start + 6s + memory));
                        check(router.proposal(chat, start + 7s + memory) == agreed({"v2"}));
                    }),
                // Guards against a router that starts after the old version has left.
                test("after the memory also if this router never saw the version registered",
                    [] {
                        auto router = StreamVersions({.memory_ = memory});
                        router.setEra(1);
                        router.setRegistered({{chat, {"v2"}}}, start);
                        router.setAgreed(chat, agreed({"v1", "v2", unrecordedVersion}), start + 1s);
                        check(!router.proposal(chat, start + 1s + memory));
                        check(router.proposal(chat, start + 2s + memory) == agreed({"v2"}));
                    }),
            }),
        section("have as base version",
            {
                // Guards against streams of unknown versions that are taken for ones of a version that was not alone.
                test("the one that was alone when another was added, and none otherwise",
                    [] {
                        auto router = routerThatAgreesOn({"v1", "v2"});
                        check(!router.baseVersion(chat));
                        router.setRegistered({{chat, {"v1", "v2", "v3"}}}, start);
                        check(router.proposal(chat, start) == agreed({"v1", "v2", "v3"}));
                        check(routerThatAgreesOn({"v1"}).baseVersion(chat) == "v1");
                    }),
                test("the same one when a third is added",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        router.setRegistered({{chat, {"v1", "v2", "v3"}}}, start);
                        const auto grown = AgreedVersions {.era_ = 1, .versions_ = {"v1", "v2", "v3"}, .base_ = "v1"};
                        check(router.proposal(chat, start) == grown);
                    }),
                // Guards against streams that cannot begin during an outage of the store since their version is not the
                // base version, and against a base version that changes as entries are missing for a moment.
                test("none soon after that version has left, and the one that is left after the memory",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        router.setRegistered({{chat, {"v2"}}}, start + 1s);
                        check(!router.proposal(chat, start + 3s));
                        check(router.proposal(chat, start + 3'001ms) == agreed({"v1", "v2"}));
                        router.setAgreed(chat, agreed({"v1", "v2"}), start + 4s);
                        check(router.proposal(chat, start + 2s + memory) == agreed({"v2"}));
                    }),
                test("none in a new era of the store",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.setAgreed(chat, addedToFirst(), start);
                        router.setEra(2);
                        check(!router.baseVersion(chat));
                        check(router.proposal(chat, start) == agreed({"v1", "v2", unrecordedVersion}, 2));
                    }),
            }),
        section("after the store came back from an older copy",
            {
                // Guards against a version whose addition was lost with the era.
                test("are incomplete until they are written again",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        router.recordBegin(streamAt(1, "v1"), upToDate, start);
                        router.setEra(2);
                        check(router.originOf(2, chat, {.age_ = upToDate}, start) == OriginDecision(UnknownOrigin {}));
                        check(router.originOf(1, chat, {.age_ = upToDate}, start) == beganAt("v1"));
                        check(router.proposal(chat, start) == agreed({"v1", unrecordedVersion}, 2));
                        router.setAgreed(chat, agreed({"v1", unrecordedVersion}, 2), start);
                        check(router.originOf(2, chat, {.age_ = upToDate}, start) == OriginDecision(UnknownOrigin {}));
                        check(router.admittedVersions(chat, start) == std::set<std::string> {"v1"});
                        check(router.proposal(chat, start + 1s + memory) == agreed({"v1"}, 2));
                    }),
                // Guards against a second era in which records and versions were lost again, while streams of unknown
                // versions are counted from the first one.
                test("include streams of unknown versions for the memory since the newest era",
                    [] {
                        auto router = routerThatAgreesOn({"v1"});
                        const auto restoredAgain = start + memory;
                        router.setEra(2);
                        router.setAgreed(chat, agreed({"v1", unrecordedVersion}, 2), start);
                        for (auto now = start; now < restoredAgain; now += 1s) {
                            router.setRegistered({{chat, {"v1"}}}, now);
                        }
                        router.setEra(3);
                        router.setAgreed(chat, agreed({"v1", unrecordedVersion}, 2), restoredAgain, HeardChanges::Some);
                        check(router.proposal(chat, restoredAgain) == agreed({"v1", unrecordedVersion}, 3));
                        router.setAgreed(chat, agreed({"v1", unrecordedVersion}, 3), restoredAgain);
                        for (auto now = restoredAgain; now <= restoredAgain + memory; now += 1s) {
                            router.setRegistered({{chat, {"v1"}}}, now);
                            check(!router.proposal(chat, now));
                        }
                        const auto forgottenAt = restoredAgain + memory + 1s;
                        check(router.proposal(chat, forgottenAt) == agreed({"v1"}, 3));
                    }),
            }),
    }};

} // namespace
