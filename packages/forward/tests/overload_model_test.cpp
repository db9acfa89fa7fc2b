#include "overload_model.h"

#include <fmt/format.h>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::uint32_t seeds = 3;

// Eight engines prefill 320 tokens a millisecond together. The traffic without a burst needs about 0.65 of that.
const auto chat = TrafficClass {.name_ = "chat",
    .rank_ = 0,
    .minimumTokens_ = 300,
    .maximumTokens_ = 1'700,
    .outputTokens_ = 60,
    .target_ = 600ms,
    .timeout_ = 10s,
    .requestsPerSecond_ = 60};
const auto report = TrafficClass {.name_ = "report",
    .rank_ = 1,
    .minimumTokens_ = 4'000,
    .maximumTokens_ = 14'000,
    .outputTokens_ = 40,
    .target_ = 1'500ms,
    .timeout_ = 20s,
    .requestsPerSecond_ = 16};

auto sum(const ServedByClass &served, const std::string &name) -> Served
{
    auto total = Served();
    for (const auto &[sizeName, entry] : served) {
        if (sizeName.starts_with(name)) {
            total.inTime_ += entry.inTime_;
            total.late_ += entry.late_;
            total.lost_ += entry.lost_;
            total.refused_ += entry.refused_;
        }
    }
    return total;
}

// What became of the requests of all seeds.
auto run(const OverloadScenario &scenario, SendingPolicy policy) -> ServedByClass
{
    auto all = ServedByClass();
    for (auto seed = std::uint32_t(1); seed <= seeds; ++seed) {
        for (const auto &[name, served] : runOverloadModel(scenario, policy, seed)) {
            auto &entry = all[name];
            entry.inTime_ += served.inTime_;
            entry.late_ += served.late_;
            entry.lost_ += served.lost_;
            entry.refused_ += served.refused_;
        }
    }
    return all;
}

auto describe(const ServedByClass &before, const ServedByClass &after) -> std::string
{
    auto text = std::string();
    for (const auto &[name, entry] : before) {
        const auto found = after.find(name);
        const auto then = found == after.end() ? Served() : found->second;
        text += fmt::format("{}: in time {} -> {}, late {} -> {}, lost {} -> {}, refused {} -> {}\n", name,
            entry.inTime_, then.inTime_, entry.late_, then.late_, entry.lost_, then.lost_, entry.refused_,
            then.refused_);
    }
    return text;
}

// Returns whether each class and size has at least as many answers, within the noise of one in a hundred.
auto servesNoneLess(const ServedByClass &before, const ServedByClass &after) -> bool
{
    for (const auto &[name, entry] : before) {
        const auto found = after.find(name);
        const auto answered = found == after.end() ? 0 : found->second.answered();
        if (answered < entry.answered() - entry.total() / 100) {
            return false;
        }
    }
    return true;
}

auto hasRefusals(const ServedByClass &served) -> bool
{
    return sum(served, "").refused_ > 0;
}

auto makeScenario(const std::vector<TrafficClass> &classes, const std::vector<Burst> &bursts,
    const std::vector<double> &speeds = std::vector<double>(8, 1.0), const Outage &outage = {}) -> OverloadScenario
{
    return {.speeds_ = speeds, .routers_ = 6, .classes_ = classes, .bursts_ = bursts, .outage_ = outage};
}

const auto longBurst = Burst {.class_ = "report", .from_ = 4s, .until_ = 13s, .factor_ = 2.7};

// Checks what holds in each scenario: nothing is refused, and no class or size is served less often.
auto compare(const OverloadScenario &scenario) -> std::pair<ServedByClass, ServedByClass>
{
    const auto before = run(scenario, SendingPolicy::AtOnce);
    const auto after = run(scenario, SendingPolicy::ByDeadline);
    const auto text = describe(before, after);
    check(!hasRefusals(after), text);
    check(servesNoneLess(before, after), text);
    return {before, after};
}

const testkit::TestSuite suite = {"requests of several routers at overloaded engines",
    {
        section("with 2.7 times the long prompts for 9 s",
            {
                // Guards against an overload in which nearly every request is late, because prompts that can no longer
                // meet their target are prefilled before prompts that still can.
                test("are 1.6 times as often in time, at no fewer answers",
                    [] {
                        const auto [before, after] = compare(makeScenario({chat, report}, {longBurst}));
                        const auto text = describe(before, after);
                        check(sum(after, "report").inTime_ >= 1.6 * sum(before, "report").inTime_, text);
                        check(sum(after, "").answered() >= sum(before, "").answered(), text);
                        check(sum(after, "chat").inTime_ >= sum(before, "chat").inTime_, text);
                    }),
                // Guards against many routers that see the same room at an engine and all send a late prompt there,
                // since their reports take longer the more they are.
                test("are 1.6 times as often in time behind 24 routers",
                    [] {
                        const auto scenario = OverloadScenario {.speeds_ = std::vector<double>(8, 1.0),
                            .routers_ = 24,
                            .classes_ = {chat, report},
                            .bursts_ = {longBurst}};
                        const auto [before, after] = compare(scenario);
                        const auto text = describe(before, after);
                        check(sum(after, "report").inTime_ >= 1.6 * sum(before, "report").inTime_, text);
                        check(sum(after, "").answered() >= sum(before, "").answered(), text);
                    }),
            }),
        section("with bursts on two classes one after the other",
            {
                // Guards against a burst whose late requests delay those of the next one.
                test("are in time more often",
                    [] {
                        const auto bursts
                            = std::vector<Burst> {{.class_ = "report", .from_ = 3s, .until_ = 9s, .factor_ = 2.7},
                                {.class_ = "chat", .from_ = 9s, .until_ = 15s, .factor_ = 4}};
                        const auto [before, after] = compare(makeScenario({chat, report}, bursts));
                        check(sum(after, "").inTime_ > sum(before, "").inTime_, describe(before, after));
                    }),
            }),
        section("of which a third share a hot segment",
            {
                // Guards against late requests that wait for the one engine that has a segment cached, or that compute
                // it again at each engine.
                test("are in time more often",
                    [] {
                        const auto hot = TrafficClass {.name_ = report.name_,
                            .rank_ = report.rank_,
                            .minimumTokens_ = report.minimumTokens_,
                            .maximumTokens_ = report.maximumTokens_,
                            .outputTokens_ = report.outputTokens_,
                            .target_ = report.target_,
                            .timeout_ = report.timeout_,
                            .requestsPerSecond_ = report.requestsPerSecond_,
                            .hotShare_ = 1.0 / 3};
                        const auto [before, after] = compare(makeScenario({chat, hot}, {longBurst}));
                        check(sum(after, "").inTime_ > sum(before, "").inTime_, describe(before, after));
                    }),
            }),
        section("of which a quarter is gone for 2 s",
            {
                // Guards against requests that wait for an engine that has failed.
                test("are in time more often during a burst",
                    [] {
                        const auto outage = Outage {.engines_ = 2, .from_ = 7s, .until_ = 9s};
                        const auto [before, after]
                            = compare(makeScenario({chat, report}, {longBurst}, std::vector<double>(8, 1.0), outage));
                        check(sum(after, "").inTime_ > sum(before, "").inTime_, describe(before, after));
                    }),
            }),
        section("of different speeds",
            {
                // Guards against estimates that are wrong where engines are slower or faster than usual.
                test("are in time more often during a burst",
                    [] {
                        const auto speeds = std::vector<double> {0.55, 1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2};
                        const auto [before, after] = compare(makeScenario({chat, report}, {longBurst}, speeds));
                        check(sum(after, "").inTime_ > sum(before, "").inTime_, describe(before, after));
                    }),
            }),
        section("without a burst",
            {
                // Guards against requests that wait although all can be in time.
                test("are in time as often as before",
                    [] {
                        const auto [before, after] = compare(makeScenario({chat, report}, {}));
                        check(sum(after, "").inTime_ >= sum(before, "").inTime_ - sum(before, "").total() / 100,
                            describe(before, after));
                    }),
            }),
    }};

} // namespace
