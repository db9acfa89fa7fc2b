#include "jasminewood/placement/fence.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::placement;
using manifest::Fencing;
using testkit::check;
using testkit::section;
using testkit::test;

const auto start = TimePoint() + std::chrono::hours(1);
const auto settled = start + commandSettleTime;

auto command(std::uint64_t fence, std::uint64_t sequence, const Command &what = LoadModel {"film"}) -> NumberedCommand
{
    return NumberedCommand {
        .number_ = {.fencingToken_ = fence, .sequence_ = sequence}, .agentIncarnation_ = 9, .command_ = what};
}

auto confirmed(Fencing fencing, std::uint64_t fence) -> CommandFence
{
    auto result = CommandFence(9, fencing, start);
    result.check(command(fence, 1), start);
    result.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 1, .fencingToken_ = fence});
    return result;
}

auto refused(const FenceDecision &verdict) -> bool
{
    return std::holds_alternative<Reject>(verdict);
}

const auto executed = FenceDecision(Execute {});

const testkit::TestSuite story = {"an agent's fence",
    {
        section("after a restart",
            {
                // Guards against an old leader's command that is taken for the first one.
                test("admits a number only after a read of the leader's key that it asked for",
                    [] {
                        auto fence = CommandFence(9, Fencing::Checked, start);
                        const auto ask = FenceDecision(ReadLeader {.agentIncarnation_ = 9, .queryId_ = 1});
                        check(fence.check(command(5, 1), start) == ask);
                        fence.onLeaderRead({.agentIncarnation_ = 8, .queryId_ = 1, .fencingToken_ = 5});
                        check(std::holds_alternative<ReadLeader>(fence.check(command(5, 2), start)));
                        fence.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 1, .fencingToken_ = 5});
                        check(std::holds_alternative<ReadLeader>(fence.check(command(5, 3), start)));
                        fence.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 3, .fencingToken_ = 7});
                        check(refused(fence.check(command(5, 4), start)));
                        check(fence.check(command(7, 1), start) == executed);
                    }),
                // Guards against a lapsed leader's command while nobody leads.
                test("without a leader admits only numbers above the revision that was read",
                    [] {
                        auto fence = CommandFence(9, Fencing::Checked, start);
                        fence.check(command(5, 1), start);
                        fence.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 1, .storeRevision_ = 20});
                        check(refused(fence.check(command(5, 2), start)));
                        check(refused(fence.check(command(20, 1), start)));
                        check(fence.check(command(21, 1), start) == executed);
                    }),
                // Guards against a command that crosses one of the former process, which the engine may still perform.
                test("waits until an engine that ignores the number has settled",
                    [] {
                        auto fence = confirmed(Fencing::Ignored, 5);
                        check(fence.engineMayBeBusy(start));
                        check(refused(fence.check(command(5, 2), start)));
                        check(fence.check(command(5, 3), settled) == executed);
                    }),
            }),
        section("that saw a newer leader",
            {
                // Guards against a paused leader's command, also when the newer leader's was refused or only observed.
                test("refuses the older one",
                    [] {
                        auto fence = confirmed(Fencing::Ignored, 5);
                        check(refused(fence.check(command(6, 1), start)));
                        const auto older = fence.check(command(5, 9), settled);
                        check(refused(older) && std::get<Reject>(older).highestFencingToken_ == 6);
                        check(fence.check(command(7, 1, QueryState {}), settled) == executed);
                        check(refused(fence.check(command(6, 2), settled)));
                    }),
            }),
        section("that gets a command twice",
            {
                // Guards against a repeated load, and a late one whose end the leader has resolved by QueryState.
                test("admits it once",
                    [] {
                        auto fence = confirmed(Fencing::Checked, 5);
                        check(fence.check(command(5, 1), start) == executed);
                        fence.onCommandEnded(CommandOutcome::Known, start);
                        check(refused(fence.check(command(5, 1), start)));
                        check(fence.check(command(5, 3, QueryState {}), start) == executed);
                        check(refused(fence.check(command(5, 2), start)));
                    }),
                // Guards against a command for the former process.
                test("admits none that is meant for another incarnation",
                    [] {
                        auto fence = confirmed(Fencing::Checked, 5);
                        const auto other = NumberedCommand {.number_ = {.fencingToken_ = 6}, .agentIncarnation_ = 8};
                        check(refused(fence.check(other, start)));
                    }),
            }),
        section("whose engine did not answer",
            {
                // Guards against two commands in an unknown order at an engine that ignores the number.
                test("holds further commands back until it has settled",
                    [] {
                        auto fence = confirmed(Fencing::Ignored, 5);
                        check(fence.check(command(5, 1), settled) == executed);
                        check(refused(fence.check(command(5, 2), settled)));
                        fence.onCommandEnded(CommandOutcome::Unknown, settled);
                        check(refused(fence.check(command(5, 3), settled)));
                        check(fence.check(command(5, 4), settled + commandSettleTime) == executed);
                    }),
            }),
    }};

} // namespace
