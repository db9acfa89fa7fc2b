#include "jasminewood/placement/leader_election.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::placement;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

const auto start = TimePoint() + 1h;
const auto self = NodeId {.name_ = "r1", .incarnation_ = 4};
const auto lost = StoreFailed {Failure {.step_ = "kv", .reason_ = "timeout", .runState_ = RunState::MayHaveRun}};
const auto own = KeyExists {.record_ = {.router_ = self, .lease_ = 3}, .createRevision_ = 7, .modRevision_ = 7};
const auto other = KeyExists {.record_ = {.router_ = {.name_ = "r2"}, .lease_ = 5}, .createRevision_ = 9};

auto creating() -> LeaderElection
{
    auto result = LeaderElection({.key_ = "leader", .router_ = self}, 1);
    result.step(Start {}, start);
    result.step(KeyAbsent {}, start);
    result.step(LeaseGranted {.lease_ = 3, .sentAt_ = start}, start);
    return result;
}

auto leading() -> LeaderElection
{
    auto result = creating();
    result.step(KeyCreated {7}, start);
    return result;
}

auto reads(const Action &action) -> bool
{
    return std::holds_alternative<ReadKey>(action);
}

const testkit::TestSuite story = {"the router that gives commands",
    {
        section("once elected",
            {
                // Guards against a holder that counts its lease from the answer and not from the request.
                test("acts until the margin before its lease could expire",
                    [] {
                        auto leader = leading();
                        const auto end = start + leaderLeaseTtl - leaderSafetyMargin;
                        check(leader.currentFencingToken(end - 1ms) == 7 && !leader.currentFencingToken(end));
                        leader.step(LeaseRenewed {.timeToLive_ = 10s, .sentAt_ = start + 3s}, start + 6s);
                        check(leader.currentFencingToken(end + 3s - 1ms) == 7 && !leader.currentFencingToken(end + 3s));
                    }),
                // Guards against an extension that was never granted.
                test("keeps its old end when a renewal's answer is lost",
                    [] {
                        auto leader = leading();
                        check(std::holds_alternative<KeepAlive>(leader.step(lost, start + 7s)));
                        check(leader.currentFencingToken(start + 7s) == 7 && !leader.currentFencingToken(start + 8s));
                    }),
                // Guards against acting on after a pause during which another router may have led.
                test("confirms its key after a lapse",
                    [] {
                        auto leader = leading();
                        const auto kept = LeaseRenewed {.timeToLive_ = 10s, .sentAt_ = start + 9s};
                        check(reads(leader.step(kept, start + 9s)) && !leader.currentFencingToken(start + 9s));
                        leader.step(own, start + 9s);
                        check(leader.currentFencingToken(start + 9s) == 7);
                    }),
                // Guards against a leader that renews the lease of a deleted key for ever.
                test("steps back when its lease expired or an agent saw a higher number",
                    [] {
                        auto expired = leading();
                        check(reads(expired.step(LeaseExpired {}, start)) && !expired.currentFencingToken(start));
                        auto superseded = leading();
                        check(reads(superseded.step(Superseded {}, start)) && !superseded.currentFencingToken(start));
                        check(std::holds_alternative<WatchKey>(superseded.step(other, start)));
                    }),
                test("revokes its lease when it resigns",
                    [] {
                        auto leader = leading();
                        check(leader.step(Resign {}, start) == Action(RevokeLease {3})
                            && !leader.currentFencingToken(start));
                        check(leader.step(LeaseExpired {}, start) == Action(Stopped {}));
                    }),
            }),
        section("whose create has no answer",
            {
                // Guards against a router that leads without knowing it, and one that leads on a guess.
                test("reads the key back",
                    [] {
                        auto candidate = creating();
                        check(reads(candidate.step(lost, start)) && !candidate.currentFencingToken(start));
                        auto second = candidate;
                        auto third = candidate;
                        candidate.step(own, start);
                        check(candidate.currentFencingToken(start) == 7);
                        check(std::holds_alternative<WatchKey>(second.step(other, start))
                            && !second.currentFencingToken(start));
                        check(std::holds_alternative<CreateKey>(third.step(KeyAbsent {}, start)));
                        check(std::holds_alternative<GrantLease>(third.step(KeyAbsent {}, start + 9s)));
                    }),
            }),
    }};

} // namespace
