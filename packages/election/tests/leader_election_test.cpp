#include "jasminewood/election/leader_election.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::election;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

const auto start = TimePoint() + 1h;
const auto self = NodeId {.name_ = "r1", .incarnation_ = 4};
const auto storeFailed = StoreFailed {Failure {.step_ = "kv", .reason_ = "timeout", .runState_ = RunState::MayHaveRun}};
const auto ownKey = KeyExists {.record_ = {.router_ = self, .leaseId_ = 3}, .createRevision_ = 7, .modRevision_ = 7};
const auto otherKey = KeyExists {.record_ = {.router_ = {.name_ = "r2"}, .leaseId_ = 5}, .createRevision_ = 9};

const auto dutyOptions = ElectionOptions {.timeToLive_ = 3s,
    .safetyMargin_ = 500ms,
    .renewInterval_ = 1s,
    .jitter_ = 0ms,
    .pauseAfterLoss_ = 6s,
    .fencingTokens_ = RecordedTokens {}};

auto creatingCandidate(const ElectionOptions &options = {}) -> LeaderElection
{
    auto result = LeaderElection({.key_ = "leader", .router_ = self}, 1, options);
    result.step(Start {}, start);
    result.step(KeyAbsent {}, start);
    result.step(LeaseGranted {.leaseId_ = 3, .sentAt_ = start}, start);
    return result;
}

auto electedLeader(const ElectionOptions &options = {}) -> LeaderElection
{
    auto result = creatingCandidate(options);
    result.step(KeyCreated {7}, start);
    return result;
}

auto isReadKey(const Action &action) -> bool
{
    return std::holds_alternative<ReadKey>(action);
}

const testkit::TestSuite suite = {"the leader election",
    {
        section("of a router that was elected",
            {
                // Guards against a lease time that is counted from the response and not from the request.
                test("allows commands until the safety margin before the lease could expire",
                    [] {
                        auto leader = electedLeader();
                        const auto end = start + leaderLeaseTtl - leaderSafetyMargin;
                        check(leader.currentFencingToken(end - 1ms) == 7 && !leader.currentFencingToken(end));
                        leader.step(LeaseRenewed {.timeToLive_ = 10s, .sentAt_ = start + 3s}, start + 6s);
                        check(leader.currentFencingToken(end + 3s - 1ms) == 7 && !leader.currentFencingToken(end + 3s));
                    }),
                // Guards against an extension that the store never granted.
                test("keeps the end of the lease when the response to a renewal is lost",
                    [] {
                        auto leader = electedLeader();
                        check(std::holds_alternative<KeepAlive>(leader.step(storeFailed, start + 7s)));
                        check(leader.currentFencingToken(start + 7s) == 7 && !leader.currentFencingToken(start + 8s));
                    }),
                // Guards against further commands after a pause during which another router may have been the leader.
                test("reads the key again after the lease lapsed",
                    [] {
                        auto leader = electedLeader();
                        const auto renewed = LeaseRenewed {.timeToLive_ = 10s, .sentAt_ = start + 9s};
                        check(isReadKey(leader.step(renewed, start + 9s)) && !leader.currentFencingToken(start + 9s));
                        leader.step(ownKey, start + 9s);
                        check(leader.currentFencingToken(start + 9s) == 7);
                    }),
                // Guards against a leader that renews the lease of a deleted key forever.
                test("ends the leadership when the lease expired or an agent has seen a higher fencing token",
                    [] {
                        auto expired = electedLeader();
                        check(isReadKey(expired.step(LeaseExpired {}, start)) && !expired.currentFencingToken(start));
                        auto superseded = electedLeader();
                        check(
                            isReadKey(superseded.step(Superseded {}, start)) && !superseded.currentFencingToken(start));
                        check(std::holds_alternative<WatchKey>(superseded.step(otherKey, start)));
                    }),
                test("revokes the lease when the router resigns",
                    [] {
                        auto leader = electedLeader();
                        check(leader.step(Resign {}, start) == Action(RevokeLease {3})
                            && !leader.currentFencingToken(start));
                        check(leader.step(LeaseExpired {}, start) == Action(Stopped {}));
                    }),
            }),
        section("of a duty whose holders must not alternate",
            {
                // Guards against a router that acts again shortly after another one has acted.
                test("keeps a router that lost the duty from it for the pause, and then for its rank",
                    [] {
                        auto holder = electedLeader(dutyOptions);
                        check(isReadKey(holder.step(LeaseExpired {}, start + 1s)));
                        const auto next = holder.step(KeyAbsent {.candidacyDelay_ = 300ms}, start + 2s);
                        check(next == Action(GrantLease {.timeToLive_ = 3s, .delay_ = 5'300ms}));
                    }),
                test("revokes the lease of a holder whose token was refused",
                    [] {
                        auto holder = electedLeader(dutyOptions);
                        check(holder.step(Superseded {}, start) == Action(RevokeLease {3}));
                        check(!holder.currentFencingToken(start));
                    }),
                // Guards against a lost key that the former holder creates again with its old lease.
                test("grants a new lease after the key has ended",
                    [] {
                        auto holder = electedLeader(dutyOptions);
                        check(std::holds_alternative<GrantLease>(holder.step(KeyAbsent {}, start + 1s)));
                        check(!holder.currentFencingToken(start + 1s));
                    }),
                // Guards against a holder that acts with another token than the one in the store.
                test("takes the token from the record of the key",
                    [] {
                        auto candidate = creatingCandidate(dutyOptions);
                        candidate.step(storeFailed, start);
                        const auto record = LeaderRecord {.router_ = self, .leaseId_ = 3, .fencingToken_ = 4'711};
                        candidate.step(KeyExists {.record_ = record, .createRevision_ = 7}, start);
                        check(
                            candidate.currentFencingToken(start) == 4'711 && candidate.validUntil() == start + 2'500ms);
                    }),
            }),
        section("of a router whose CreateKey had no response",
            {
                // Guards against a router that was elected but does not act as leader, and one that acts without
                // confirmation.
                test("reads the key before it allows commands",
                    [] {
                        auto candidate = creatingCandidate();
                        check(isReadKey(candidate.step(storeFailed, start)) && !candidate.currentFencingToken(start));
                        auto second = candidate;
                        auto third = candidate;
                        candidate.step(ownKey, start);
                        check(candidate.currentFencingToken(start) == 7);
                        check(std::holds_alternative<WatchKey>(second.step(otherKey, start))
                            && !second.currentFencingToken(start));
                        check(std::holds_alternative<CreateKey>(third.step(KeyAbsent {}, start)));
                        check(std::holds_alternative<GrantLease>(third.step(KeyAbsent {}, start + 9s)));
                    }),
            }),
    }};

} // namespace
