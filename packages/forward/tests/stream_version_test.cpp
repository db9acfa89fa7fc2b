#include "stream_version.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace jasminewood::forward::internal;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto upstream(const std::string &id, const std::string &version, std::int64_t incarnation = 1)
    -> membership::UpstreamRecord
{
    return {.id_ = id, .service_ = "pool", .address_ = "127.0.0.1:1", .incarnation_ = incarnation, .version_ = version};
}

// Returns what is decided about the first event of an upstream whose entry has not changed.
auto firstEventOf(StreamVersion &stream, const membership::UpstreamRecord &record) -> EventDecision
{
    return stream.recordFirstEvent(record, record);
}

const auto ofUnknownVersion = VersionCriterion(RequiredVersion {.version_ = ""});

const testkit::TestSuite suite = {"the software version of a stream",
    {
        // Guards against a stream that is tied to an upstream that sent nothing of it.
        test("is open until its first event",
            [] {
                const auto allowed = VersionCriterion(AllowedVersions {.versions_ = {"v1"}});
                const auto stream = StreamVersion();
                check(!stream.hasBegun() && stream.criterion() == VersionCriterion(AnyVersion {}));
                check(stream.criterion(allowed) == allowed);
            }),
        // Guards against a stream that is joined from what two versions wrote.
        test("is that of the upstream that brought the first event",
            [] {
                auto stream = StreamVersion();
                check(firstEventOf(stream, upstream("a", "v1")) == EventDecision(StreamBegins {}));
                check(stream.criterion() == VersionCriterion(RequiredVersion {.version_ = "v1"}));
                check(firstEventOf(stream, upstream("b", "v2")) == EventDecision(EventOfOtherVersion {}));
                check(firstEventOf(stream, upstream("c", "v1")) == EventDecision(StreamGoesOn {}));
                check(stream.version() == "v1" && stream.firstUpstream()->id_ == "a");
            }),
        // Guards against a resumed stream that counts as begun at the upstream that resumes it.
        test("is the one at which an earlier answer began it",
            [] {
                auto stream = StreamVersion();
                stream.fixAt("v1");
                check(stream.criterion() == VersionCriterion(RequiredVersion {.version_ = "v1"}));
                check(firstEventOf(stream, upstream("b", "v2")) == EventDecision(EventOfOtherVersion {}));
                check(firstEventOf(stream, upstream("a", "v1")) == EventDecision(StreamGoesOn {}));
                check(!stream.firstUpstream());
            }),
        section("is unknown, and the stream not resumed,",
            {
                // Guards against upstreams without a version that count as being of one version.
                test("if the upstream states none",
                    [] {
                        auto stream = StreamVersion();
                        check(firstEventOf(stream, upstream("a", "")) == EventDecision(StreamBegins {}));
                        check(!stream.version() && stream.criterion() == ofUnknownVersion);
                        check(firstEventOf(stream, upstream("b", "")) == EventDecision(EventOfOtherVersion {}));
                    }),
                // Guards against the version of a process that ended before it got the request.
                test("if the upstream had restarted with another version before its first event",
                    [] {
                        auto stream = StreamVersion();
                        stream.recordFirstEvent(upstream("a", "v1"), upstream("a", "v2", 2));
                        check(stream.criterion() == ofUnknownVersion);
                    }),
                test("if that is seen only when it is to be resumed",
                    [] {
                        auto stream = StreamVersion();
                        firstEventOf(stream, upstream("a", "v1"));
                        stream.recordPresentEntry(upstream("a", "v2", 2));
                        check(stream.criterion() == ofUnknownVersion);
                    }),
            }),
        section("stays",
            {
                // Guards against a stream that ends because its upstream left or restarted.
                test("if the upstream left or restarted with the same version",
                    [] {
                        auto stream = StreamVersion();
                        firstEventOf(stream, upstream("a", "v1"));
                        stream.recordPresentEntry(std::nullopt);
                        stream.recordPresentEntry(upstream("a", "v1", 2));
                        check(stream.version() == "v1");
                    }),
            }),
    }};

const testkit::TestSuite choiceSuite = {"the choice of an upstream by software version",
    {
        // Guards against a choice of a version that was excluded, and against none where one is possible.
        test("takes the versions that are asked for, ejected ones last",
            [] {
                const auto now = TimePoint(std::chrono::hours(1));
                auto pool = UpstreamPool(7, "local");
                pool.setUpstreams({{.record_ = upstream("a", "v1")}, {.record_ = upstream("b", "v2")},
                    {.record_ = upstream("c", "v1")}, {.record_ = upstream("d", "")}});
                const auto choose = [&pool, now](const VersionCriterion &versions,
                                        const std::vector<std::string> &excluded) -> std::string {
                    const auto criteria
                        = SelectionCriteria {.service_ = "pool", .excludedUpstreams_ = excluded, .versions_ = versions};
                    const auto chosen = pool.choose(criteria, now);
                    check(bool(chosen) == pool.hasEligibleUpstream(criteria, now));
                    return chosen ? chosen->upstream_.id_ : "none";
                };
                const auto required = RequiredVersion {.version_ = "v1"};
                const auto allowed = AllowedVersions {.versions_ = {"v1"}};
                check(choose(AnyVersion {}, {"a", "c", "d"}) == "b");
                check(choose(allowed, {"c"}) == "a" && choose(required, {"c"}) == "a");
                check(choose(allowed, {"a", "c"}) == "none" && choose(required, {"a", "c"}) == "none");
                check(choose(AllowedVersions {}, {"a", "c", "d"}) == "b");
                check(choose(ofUnknownVersion, {}) == "none");
                const auto failed
                    = pool.choose({.service_ = "pool", .excludedUpstreams_ = {"c"}, .versions_ = required}, now);
                pool.recordAttemptEnd(*failed, AttemptResult::Failed, now);
                check(choose(required, {}) == "c" && choose(allowed, {}) == "c");
                check(choose(required, {"c"}) == "a" && choose(allowed, {"c"}) == "a");
                const auto hasWorking = [&pool, &required](const std::string &excluded, TimePoint time) {
                    return pool.hasWorkingUpstream(
                        {.service_ = "pool", .excludedUpstreams_ = {excluded}, .versions_ = required}, time);
                };
                check(hasWorking("a", now) && !hasWorking("c", now) && hasWorking("c", now + minimumEjectionTime));
                check(pool.recordOf("b")->version_ == "v2" && !pool.recordOf("e"));
            }),
    }};

} // namespace
