#include "jasminewood/testbench/load_metrics.h"

#include "jasminewood/testbench/load_plan.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::uint64_t seed = 7;

auto record(const std::string &requestClass, int arrivalMs, int firstMs, int endMs, const Outcome &outcome)
    -> RequestRecord
{
    return RequestRecord {.group_ = requestClass,
        .requestClass_ = requestClass,
        .account_ = "a",
        .arrival_ = Milliseconds(arrivalMs),
        .sent_ = Milliseconds(arrivalMs),
        .firstToken_ = firstMs < 0 ? std::nullopt : std::optional<Microseconds>(Milliseconds(firstMs)),
        .end_ = Milliseconds(endMs),
        .tokens_ = firstMs < 0 ? 0U : 10U,
        .outcome_ = outcome};
}

auto notRun() -> Outcome
{
    return ErrorAnswer {.status_ = 503, .runState_ = "not_run"};
}

auto run(const std::vector<RequestRecord> &records, std::uint64_t generated) -> LoadRun
{
    return LoadRun {.scenario_ = "s",
        .policy_ = "p",
        .duration_ = Milliseconds(10'000),
        .targets_ = {{"quote", {.tier_ = 1, .firstToken_ = Milliseconds(100)}}, {"batch", {.tier_ = 3}}},
        .records_ = records,
        .generatedTokens_ = generated};
}

auto value(const LoadRun &measured, const std::string &group, const std::string &measure) -> double
{
    for (const auto &metric : computeMetrics(measured)) {
        if (metric.class_ == group && metric.measure_ == measure) {
            return metric.value_;
        }
    }
    return -1;
}

const testkit::TestSuite story = {"metrics of a load run",
    {
        section("with late, shed and truncated responses",
            {
                // Guards against an attainment that omits requests without a response.
                test("count every request in the attainment",
                    [] {
                        const auto measured = run(
                            {record("quote", 0, 50, 200, CompleteResponse {}),
                                record("quote", 0, 150, 300, CompleteResponse {}), record("quote", 0, -1, 10, notRun()),
                                record("quote", 0, 50, 90, TruncatedResponse {})},
                            40);
                        check(value(measured, "quote", "attainment") == 0.25);
                        check(value(measured, "quote", "shed") == 1 && value(measured, "quote", "failed") == 1);
                        check(value(measured, "quote", "goodput") == 1.0);
                        check(value(measured, "all", "discarded_share") == 0.5);
                    }),
            }),
        section("in which the top tier was shed",
            {
                // Guards against a count of 0 although lower tiers ran while the top tier was shed.
                test("count the shed requests during which a lower tier ran",
                    [] {
                        const auto shed = record("quote", 100, -1, 200, notRun());
                        check(value(run({shed, record("batch", 0, 150, 900, CompleteResponse {})}, 10), "all",
                                  "top_tier_shed_below")
                            == 1);
                        check(value(run({shed, record("batch", 0, 250, 900, CompleteResponse {})}, 10), "all",
                                  "top_tier_shed_below")
                            == 0);
                    }),
            }),
        section("with a period in which the lowest class completes nothing",
            {
                // Guards against fixed windows, which miss a period that spans two of them.
                test("find the window with the fewest completed requests",
                    [] {
                        auto records = std::vector<RequestRecord>();
                        for (const auto end : {500, 1'000, 7'000, 9'000}) {
                            records.push_back(record("batch", 0, end - 100, end, CompleteResponse {}));
                        }
                        check(value(run(records, 40), "batch", "completed_5s_minimum") == 0);
                    }),
            }),
        section("written as JSON lines",
            {
                // Guards against a table that silently ignores all lines.
                test("are parsed back to equal metrics",
                    [] {
                        const auto metric
                            = computeMetrics(run({record("quote", 0, 50, 200, CompleteResponse {})}, 10)).front();
                        const auto read = parseJsonLine(toJsonLine(metric));
                        check(read && *read == metric);
                    }),
            }),
        section("of a planned load",
            {
                // Guards against policies that are compared under different loads, and against a wrong rate.
                test("are computed from identical arrivals for one seed at the rate of the profile",
                    [] {
                        const auto workloads = std::vector<Workload> {{.group_ = "quote",
                            .requestClass_ = "quote",
                            .account_ = "a",
                            .requestsPerSecond_ = 100,
                            .profile_
                            = BurstRate {.factor_ = 3, .begin_ = Milliseconds(5'000), .end_ = Milliseconds(10'000)}}};
                        const auto plan = planLoad(workloads, Milliseconds(10'000), seed);
                        check(plan == planLoad(workloads, Milliseconds(10'000), seed));
                        check(plan.size() > 1'800 && plan.size() < 2'200);
                        check(rateFactorAt(SineRate {.low_ = 0.5, .high_ = 2.5, .period_ = Milliseconds(4'000)},
                                  Milliseconds(1'000))
                            == 2.5);
                    }),
            }),
    }};

} // namespace
