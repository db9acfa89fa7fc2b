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

auto command(std::uint64_t fencingToken, std::uint64_t sequence, const Command &body = LoadModel {"film"})
    -> NumberedCommand
{
    return NumberedCommand {
        .number_ = {.fencingToken_ = fencingToken, .sequence_ = sequence}, .agentIncarnation_ = 9, .command_ = body};
}

auto confirmedFence(Fencing fencing, std::uint64_t fencingToken) -> CommandFence
{
    auto result = CommandFence(9, fencing, start);
    result.check(command(fencingToken, 1), start);
    result.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 1, .fencingToken_ = fencingToken});
    return result;
}

auto isRejected(const FenceDecision &decision) -> bool
{
    return std::holds_alternative<Reject>(decision);
}

const auto execute = FenceDecision(Execute {});

const testkit::TestSuite suite = {"an agent's command fence",
    {
        section("after a restart",
            {
                // Guards against a command of an earlier leader that is accepted as the first one.
                test("admits a command only after a read of the leader's key that it requested",
                    [] {
                        auto fence = CommandFence(9, Fencing::Checked, start);
                        const auto readLeader = FenceDecision(ReadLeader {.agentIncarnation_ = 9, .queryId_ = 1});
                        check(fence.check(command(5, 1), start) == readLeader);
                        fence.onLeaderRead({.agentIncarnation_ = 8, .queryId_ = 1, .fencingToken_ = 5});
                        check(std::holds_alternative<ReadLeader>(fence.check(command(5, 2), start)));
                        fence.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 1, .fencingToken_ = 5});
                        check(std::holds_alternative<ReadLeader>(fence.check(command(5, 3), start)));
                        fence.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 3, .fencingToken_ = 7});
                        check(isRejected(fence.check(command(5, 4), start)));
                        check(fence.check(command(7, 1), start) == execute);
                    }),
                // Guards against a command of a leader whose lease expired while there is no leader.
                test("admits only fencing tokens above the revision that was read if there is no leader",
                    [] {
                        auto fence = CommandFence(9, Fencing::Checked, start);
                        fence.check(command(5, 1), start);
                        fence.onLeaderRead({.agentIncarnation_ = 9, .queryId_ = 1, .storeRevision_ = 20});
                        check(isRejected(fence.check(command(5, 2), start)));
                        check(isRejected(fence.check(command(20, 1), start)));
                        check(fence.check(command(21, 1), start) == execute);
                    }),
                // Guards against a command that overlaps one of the previous process, which the engine may still
                // execute.
                test("waits for the settle time of an engine that ignores fencing tokens",
                    [] {
                        auto fence = confirmedFence(Fencing::Ignored, 5);
                        check(fence.engineMayBeBusy(start));
                        check(isRejected(fence.check(command(5, 2), start)));
                        check(fence.check(command(5, 3), settled) == execute);
                    }),
            }),
        section("that has seen a newer leader",
            {
                // Guards against a command of a paused leader, also if the newer leader's command was rejected or a
                // QueryState.
                test("rejects commands of the older leader",
                    [] {
                        auto fence = confirmedFence(Fencing::Ignored, 5);
                        check(isRejected(fence.check(command(6, 1), start)));
                        const auto older = fence.check(command(5, 9), settled);
                        check(isRejected(older) && std::get<Reject>(older).highestFencingToken_ == 6);
                        check(fence.check(command(7, 1, QueryState {}), settled) == execute);
                        check(isRejected(fence.check(command(6, 2), settled)));
                    }),
            }),
        section("that receives old or duplicate commands",
            {
                // Guards against a duplicate load, and a late one whose outcome the leader has resolved by QueryState.
                test("admits each command once",
                    [] {
                        auto fence = confirmedFence(Fencing::Checked, 5);
                        check(fence.check(command(5, 1), start) == execute);
                        fence.onCommandEnded(CommandOutcome::Known, start);
                        check(isRejected(fence.check(command(5, 1), start)));
                        check(fence.check(command(5, 3, QueryState {}), start) == execute);
                        check(isRejected(fence.check(command(5, 2), start)));
                    }),
                // Guards against a command for the previous process.
                test("rejects a command for another incarnation",
                    [] {
                        auto fence = confirmedFence(Fencing::Checked, 5);
                        const auto other = NumberedCommand {.number_ = {.fencingToken_ = 6}, .agentIncarnation_ = 8};
                        check(isRejected(fence.check(other, start)));
                    }),
            }),
        section("whose engine did not respond",
            {
                // Guards against two commands in an unknown order at an engine that ignores fencing tokens.
                test("rejects further commands until the settle time has passed",
                    [] {
                        auto fence = confirmedFence(Fencing::Ignored, 5);
                        check(fence.check(command(5, 1), settled) == execute);
                        check(isRejected(fence.check(command(5, 2), settled)));
                        fence.onCommandEnded(CommandOutcome::Unknown, settled);
                        check(isRejected(fence.check(command(5, 3), settled)));
                        check(fence.check(command(5, 4), settled + commandSettleTime) == execute);
                    }),
            }),
    }};

} // namespace
