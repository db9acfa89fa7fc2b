#include "jasminewood/forward/upstream_pool.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto now = TimePoint(100s);

// A request of 10,000 tokens, which an engine prefills in 400 ms at the initial rate.
auto criteriaOf(std::uint32_t rank, std::optional<Milliseconds> untilDue, bool resumesStream = false)
    -> SelectionCriteria
{
    return {.service_ = "pool",
        .route_ = "chat",
        .prompt_ = PromptInfo {.model_ = "m", .promptTokens_ = 10'000, .segments_ = {{.id_ = 1, .tokens_ = 10'000}}},
        .engineCacheTokens_ = 100,
        .timeUntilDue_ = untilDue,
        .timeUntilTimeout_ = 20s,
        .rank_ = rank,
        .resumesStream_ = resumesStream};
}

// Sets up a pool with one engine.
auto addEngine(UpstreamPool &pool) -> void
{
    pool.setUpstreams({{.record_ = {.id_ = "a", .service_ = "pool", .slots_ = 48}}});
    const auto first = pool.choose(criteriaOf(0, std::nullopt), now);
    pool.recordAttemptEnd(*first, AttemptResult::Responded, now);
}

auto reportLoad(UpstreamPool &pool, const routing::EngineLoad &load) -> void
{
    pool.applyPeerReport("other", {.isFullReport_ = true, .loads_ = {{"a", load}}}, now);
}

auto classOf(UpstreamPool &pool, const SelectionCriteria &criteria) -> std::string
{
    const auto assignment = pool.choose(criteria, now);
    pool.recordAttemptEnd(*assignment, AttemptResult::Responded, now);
    return deadlines::toString(assignment->deadlineClass_);
}

auto termsOf(Milliseconds arrival, const std::optional<deadlines::Ticket> &ticket = std::nullopt) -> WaitTerms
{
    return {.targetLatency_ = 800ms, .timeout_ = 20s, .arrivedAt_ = now + arrival, .ticket_ = ticket};
}

auto ticketOf(const Result<AssignmentOrWait> &chosen) -> deadlines::Ticket
{
    return std::get<WaitForRoom>(*chosen).ticket_;
}

auto isWoken(const Result<AssignmentOrWait> &chosen) -> bool
{
    return std::get<WaitForRoom>(*chosen).signal_->wait(-1, TimePoint());
}

auto isSent(const Result<AssignmentOrWait> &chosen) -> bool
{
    return std::holds_alternative<Assignment>(*chosen);
}

const testkit::TestSuite waitingSuite = {"late prompts for an engine with a long backlog",
    {
        // Guards against late requests that all go as soon as there is room for one, against those of a lower rank that
        // go first, and against a new one that takes the room of one that has waited.
        test("go one after the other, by rank and then by arrival",
            [] {
                auto pool = UpstreamPool(1, "local");
                addEngine(pool);
                const auto running = pool.choose(criteriaOf(0, 9s), now);
                const auto second = pool.choose(criteriaOf(0, 9s), now);
                const auto low = pool.chooseOrWait(criteriaOf(1, 100ms), termsOf(0ms), now);
                const auto later = pool.chooseOrWait(criteriaOf(0, 100ms), termsOf(2ms), now);
                const auto first = pool.chooseOrWait(criteriaOf(0, 100ms), termsOf(1ms), now);
                check(pool.waitingRequests() == 3 && pool.localEngineLoads().at("a").inFlightRequests_ == 2);
                pool.recordAttemptEnd(*second, AttemptResult::Cancelled, now + 30ms);
                check(isWoken(first) && !isWoken(later) && !isWoken(low));
                const auto newest = pool.chooseOrWait(criteriaOf(0, 100ms), termsOf(30ms), now + 30ms);
                check(!isSent(newest));
                check(isSent(pool.chooseOrWait(criteriaOf(0, 100ms), termsOf(1ms, ticketOf(first)), now + 31ms)));
                pool.recordAttemptEnd(*running, AttemptResult::Cancelled, now + 60ms);
                check(isWoken(later) && !isWoken(low) && !isWoken(newest));
                pool.endWait(ticketOf(later), now + 90ms);
                check(isWoken(newest) && !isWoken(low));
            }),
        // Guards against requests in time that wait behind late ones.
        test("do not delay those that are in time",
            [] {
                auto pool = UpstreamPool(1, "local");
                addEngine(pool);
                check(bool(pool.choose(criteriaOf(1, 9s), now)));
                check(bool(pool.choose(criteriaOf(1, 9s), now)));
                check(!isSent(pool.chooseOrWait(criteriaOf(0, 100ms), termsOf(0ms), now)));
                check(isSent(pool.chooseOrWait(criteriaOf(0, 800ms), termsOf(1ms), now)));
            }),
    }};

const testkit::TestSuite suite = {"a prompt sent to an engine",
    {
        section("at which other routers have prompts pending",
            {
                // Guards against requests that count as late because of late prompts, and then run behind those.
                test("is in time if those are late, and late if they are in time",
                    [] {
                        auto pool = UpstreamPool(1, "local");
                        addEngine(pool);
                        const auto criteria = criteriaOf(0, 800ms);
                        check(classOf(pool, criteria) == "in time");
                        reportLoad(pool, {.pendingPrefillTokens_ = 20'000, .latePrefillTokens_ = 20'000});
                        check(classOf(pool, criteria) == "in time");
                        reportLoad(pool, {.pendingPrefillTokens_ = 20'000, .latePrefillTokens_ = 1'000});
                        check(classOf(pool, criteria) == "late");
                        reportLoad(pool, {.pendingPrefillTokens_ = 900'000});
                        check(classOf(pool, criteria) == "hopeless");
                    }),
                // Guards against streams that are continued behind new requests, and against a changed order of
                // requests without a target.
                test("is in time if it resumes a stream or has no target",
                    [] {
                        auto pool = UpstreamPool(1, "local");
                        addEngine(pool);
                        reportLoad(pool, {.pendingPrefillTokens_ = 900'000});
                        check(classOf(pool, criteriaOf(0, 800ms, true)) == "in time");
                        check(classOf(pool, criteriaOf(0, std::nullopt)) == "in time");
                    }),
            }),
        section("at which this router has prompts pending",
            {
                // Guards against urgent requests that count as late because of less urgent ones.
                test("is in time if those are less urgent, and late if they are as urgent",
                    [] {
                        for (const auto rank : {0U, 1U}) {
                            auto pool = UpstreamPool(1, "local");
                            addEngine(pool);
                            check(bool(pool.choose(criteriaOf(rank, 9s), now)));
                            check(classOf(pool, criteriaOf(0, 800ms)) == (rank == 0 ? "late" : "in time"));
                        }
                    }),
                // Guards against other routers that take the late prompts of this one for prompts in time.
                test("is reported as late if it is late, until its response starts",
                    [] {
                        auto pool = UpstreamPool(1, "local");
                        addEngine(pool);
                        const auto inTime = pool.choose(criteriaOf(0, 500ms), now);
                        const auto late = pool.choose(criteriaOf(0, 500ms), now);
                        check(pool.localEngineLoads()
                            == routing::EngineLoads {{"a",
                                {.pendingPrefillTokens_ = 20'000,
                                    .inFlightRequests_ = 2,
                                    .latePrefillTokens_ = 10'000}}});
                        pool.recordResponseStart(*late, now + 100ms);
                        check(pool.localEngineLoads().at("a").latePrefillTokens_ == 0);
                        check(pool.localEngineLoads().at("a").pendingPrefillTokens_ == 10'000);
                        pool.recordResponseStart(*inTime, now + 100ms);
                        check(pool.localEngineLoads().at("a").pendingPrefillTokens_ == 0);
                    }),
            }),
    }};

} // namespace
