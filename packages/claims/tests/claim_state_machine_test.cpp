#include "jasminewood/claims/claim_state_machine.h"

#include <random>

#include "claim_model.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::claims;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::uint64_t episodeSeed = 20261204;
constexpr int episodeCount = 10'000;
constexpr std::size_t stepsPerEpisode = 300;
constexpr int maximumCommandListLength = 400;

const auto start = TimePoint();
const auto ownTarget
    = DispatchTarget {.attempt_ = {.requestId_ = "mine", .number_ = 1}, .agent_ = {.name_ = "a", .incarnation_ = 7}};
const auto otherRecord = ClaimRecord {.attempt_ = {.requestId_ = "other", .number_ = 1},
    .router_ = {.name_ = "r2", .incarnation_ = 1},
    .agent_ = {.name_ = "b", .incarnation_ = 3}};
const auto storeUnreachable = Failure {.step_ = "claim", .reason_ = "connection refused"};

auto startedMachine() -> ClaimStateMachine
{
    auto machine = ClaimStateMachine(ClaimRequest {.key_ = "k",
        .router_ = {.name_ = "r1", .incarnation_ = 1},
        .firstTarget_ = ownTarget,
        .deadline_ = start + 10s});
    machine.step(Start {}, start);
    return machine;
}

auto dispatchedMachine() -> ClaimStateMachine
{
    auto machine = startedMachine();
    check(std::holds_alternative<DispatchAttempt>(machine.step(ClaimCreated {5}, start)));
    return machine;
}

auto failureRunState(const Action &action) -> RunState
{
    check(std::holds_alternative<ReturnFailure>(action), "the action returns no failure");
    return std::get<ReturnFailure>(action).failure_.runState_;
}

auto ownRecord() -> ClaimRecord
{
    return ClaimRecord {
        .attempt_ = ownTarget.attempt_, .router_ = {.name_ = "r1", .incarnation_ = 1}, .agent_ = ownTarget.agent_};
}

auto completedRecord(std::optional<StoredResponse> response) -> ClaimRecord
{
    return ClaimRecord {.attempt_ = otherRecord.attempt_,
        .router_ = otherRecord.router_,
        .agent_ = otherRecord.agent_,
        .state_ = ClaimState::Completed,
        .response_ = std::move(response)};
}

// Returns the number of random episodes in which a guarantee is violated.
auto countViolations(const Safeguards &safeguards) -> int
{
    auto random = std::mt19937_64(episodeSeed);
    auto count = 0;
    for (auto episode = 0; episode < episodeCount; ++episode) {
        auto commands = std::vector<Command>();
        for (std::size_t step = 0; step < stepsPerEpisode; ++step) {
            const auto bits = random();
            commands.emplace_back(std::uint8_t(bits), std::uint8_t(bits >> 8U), std::uint8_t(bits >> 16U));
        }
        auto model = ClaimModel(safeguards);
        model.applyAll(commands);
        model.settle();
        count += model.violation().empty() ? 0 : 1;
    }
    return count;
}

auto commandLists() -> rc::Gen<std::vector<Command>>
{
    return rc::gen::resize(maximumCommandListLength, rc::gen::arbitrary<std::vector<Command>>());
}

const testkit::TestSuite interleavings = {"a non-idempotent request",
    {
        section("with routers that pause, agents that restart and a store that loses responses",
            {
                // Guards against a second run, and against a report of "not run" for an attempt that ran or runs later.
                property("runs at most once and is never falsely reported as not run",
                    [] {
                        auto model = ClaimModel(Safeguards {});
                        model.applyAll(*commandLists());
                        RC_ASSERT(model.violation() == "");
                        model.settle();
                        RC_ASSERT(model.violation() == "");
                    }),
                // Guards against keys that can never be used again although every agent still has its attempts.
                property("eventually gets a response if no agent restarts",
                    [] {
                        auto model = ClaimModel(Safeguards {}, false);
                        model.applyAll(*commandLists());
                        model.settle();
                        RC_ASSERT(model.respondsToNewRequest("first"));
                        RC_ASSERT(model.violation() == "");
                    }),
                // Guards against faults in rare interleavings that short command lists do not reach.
                test("runs at most once in long episodes",
                    [] {
                        check(countViolations(Safeguards {}) == 0);
                    }),
            }),
        section("with one safeguard disabled",
            {
                // Each test guards against a model that does not detect the fault that the safeguard prevents.
                test("violates a guarantee if agents accept dispatches for another incarnation",
                    [] {
                        check(countViolations(Safeguards {.dispatchChecksIncarnation_ = false}) > 0);
                    }),
                test("violates a guarantee if any incarnation may answer a Void message",
                    [] {
                        check(countViolations(Safeguards {.voidChecksIncarnation_ = false}) > 0);
                    }),
                test("violates a guarantee if agents do not record the attempts that they voided",
                    [] {
                        check(countViolations(Safeguards {.agentsRecordVoids_ = false}) > 0);
                    }),
            }),
    }};

// Returns one event of any kind, regardless of the outstanding action.
auto unexpectedEvent(std::uint8_t choice) -> Event
{
    const auto events = std::vector<Event> {Start {}, ClaimCreated {4}, ClaimUpdated {5}, ClaimExists {6, otherRecord},
        ClaimExists {7, ownRecord()}, ClaimAbsent {}, StoreUnavailable {storeUnreachable},
        StoreOutcomeUnknown {storeUnreachable}, AttemptVoided {}, AttemptRunning {}, AttemptRan {},
        AttemptStateUnknown {storeUnreachable}, AttemptFinished {}, AttemptFailed {storeUnreachable},
        AttemptFailed {storeUnreachable, ownTarget}, ResponseSent {}, DeadlineExceeded {}};
    return events[choice % events.size()];
}

const testkit::TestSuite singleClaim = {"a claim",
    {
        section("that receives events in any order",
            {
                // Guards against late events that cause a second dispatch, or a dispatch after the caller received a
                // failure.
                property("dispatches its attempt at most once and never after a failure",
                    [](const std::vector<std::uint8_t> &choices) {
                        auto machine = startedMachine();
                        auto dispatches = 0;
                        auto failed = false;
                        for (const auto choice : choices) {
                            const auto action = machine.step(unexpectedEvent(choice), start);
                            failed = failed || std::holds_alternative<ReturnFailure>(action);
                            const auto dispatch = std::holds_alternative<DispatchAttempt>(action);
                            dispatches += dispatch ? 1 : 0;
                            RC_ASSERT(!(dispatch && failed));
                            RC_ASSERT(dispatches <= 1);
                        }
                    }),
            }),
        section("whose store is unreachable",
            {
                // Guards against a request that runs without a claim, and against a failure without a time to retry
                // after.
                test("fails as not run with a time to retry after",
                    [] {
                        auto machine = startedMachine();
                        const auto action = machine.step(StoreUnavailable {storeUnreachable}, start);
                        check(failureRunState(action) == RunState::NotRun);
                        check(std::get<ReturnFailure>(action).failure_.retryAfter_ == storeRetryAfter);
                        check(machine.step(ClaimCreated {5}, start) == Action(AwaitEvent {}));
                        check(machine.step(ResponseSent {}, start) == Action(Done {}));
                    }),
                // Guards against an endless loop of retries.
                test("retries a call with unknown outcome a bounded number of times",
                    [] {
                        auto machine = startedMachine();
                        for (std::uint32_t repeat = 0; repeat < maximumStoreRetries; ++repeat) {
                            const auto action = machine.step(StoreOutcomeUnknown {storeUnreachable}, start);
                            check(std::get<CreateClaim>(action).record_.attempt_ == ownTarget.attempt_);
                        }
                        check(failureRunState(machine.step(StoreOutcomeUnknown {storeUnreachable}, start))
                            == RunState::NotRun);
                    }),
            }),
        section("whose attempt has finished when the store fails",
            {
                // Guards against a background write that is retried for ever.
                test("retries the completion a bounded number of times",
                    [] {
                        auto machine = dispatchedMachine();
                        auto action
                            = std::optional(machine.step(AttemptFinished {StoredResponse {.status_ = 200}}, start));
                        auto tries = std::uint32_t(0);
                        while (std::holds_alternative<CompleteClaim>(*action)) {
                            ++tries;
                            action.emplace(machine.step(StoreOutcomeUnknown {storeUnreachable}, start));
                        }
                        check(tries == maximumBackgroundWrites && action == Action(Done {}));
                    }),
            }),
        section("that finds the key completed",
            {
                // Guards against a second run, and against a response that no attempt produced.
                test("returns the stored response, or a failure with run state Ran if none is stored",
                    [] {
                        const auto response
                            = StoredResponse {.status_ = 200, .contentType_ = "text/plain", .body_ = "booked"};
                        auto first = startedMachine();
                        check(first.step(ClaimExists {.revision_ = 3, .record_ = completedRecord(response)}, start)
                            == Action(ReturnStoredResponse {response}));
                        auto second = startedMachine();
                        check(failureRunState(second.step(
                                  ClaimExists {.revision_ = 3, .record_ = completedRecord(std::nullopt)}, start))
                            == RunState::Ran);
                    }),
            }),
        section("whose response is too large to store",
            {
                // Guards against a value that the key-value service rejects, which would leave the key claimed.
                test("is completed without the response",
                    [] {
                        auto machine = dispatchedMachine();
                        const auto large = std::string(maximumStoredResponseBytes + 1, 'x');
                        const auto action = machine.step(AttemptFinished {StoredResponse {.body_ = large}}, start);
                        check(!std::get<CompleteClaim>(action).record_.response_);
                        check(std::get<CompleteClaim>(action).record_.state_ == ClaimState::Completed);
                    }),
            }),
        section("held by another router",
            {
                // Guards against an outcome that is assumed while the first attempt may be running.
                test("is resolved by the agent of its attempt",
                    [] {
                        auto machine = startedMachine();
                        const auto found = ClaimExists {.revision_ = 3, .record_ = otherRecord};
                        check(machine.step(found, start)
                            == Action(VoidAttempt {.agent_ = otherRecord.agent_, .attempt_ = otherRecord.attempt_}));
                        check(std::holds_alternative<AwaitAttemptEnd>(machine.step(AttemptRunning {}, start)));
                        auto machineCopy = machine;
                        check(failureRunState(machineCopy.step(AttemptStateUnknown {storeUnreachable}, start))
                            == RunState::MayHaveRun);
                        const auto takeOver = machine.step(AttemptVoided {}, start);
                        check(std::get<TakeOverClaim>(takeOver).expectedRevision_ == 3);
                        check(std::holds_alternative<DispatchAttempt>(machine.step(ClaimUpdated {4}, start)));
                    }),
            }),
        section("that is acquired after the deadline",
            {
                // Guards against a dispatch for a caller that has disconnected.
                test("is released without a dispatch",
                    [] {
                        auto machine = startedMachine();
                        check(failureRunState(machine.step(ClaimCreated {5}, start + 11s)) == RunState::NotRun);
                        check(std::holds_alternative<ReleaseClaim>(machine.step(ResponseSent {}, start + 11s)));
                    }),
            }),
        section("whose attempt is rejected by its agent",
            {
                // Guards against a second attempt that is not recorded in the store.
                test("moves to the next target before dispatching it",
                    [] {
                        auto machine = dispatchedMachine();
                        const auto next = DispatchTarget {
                            .attempt_ = {.requestId_ = "mine", .number_ = 2}, .agent_ = otherRecord.agent_};
                        const auto action
                            = machine.step(AttemptFailed {.failure_ = storeUnreachable, .nextTarget_ = next}, start);
                        check(std::get<TakeOverClaim>(action).record_.attempt_ == next.attempt_);
                        check(machine.step(ClaimUpdated {6}, start)
                            == Action(DispatchAttempt {.attempt_ = next.attempt_, .agent_ = next.agent_}));
                    }),
            }),
    }};

} // namespace
