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
constexpr int episodes = 10'000;
constexpr std::size_t stepsPerEpisode = 300;
constexpr int longestCommandList = 400;

const auto start = TimePoint();
const auto mine
    = DispatchTarget {.attempt_ = {.requestId_ = "mine", .number_ = 1}, .agent_ = {.name_ = "a", .incarnation_ = 7}};
const auto other = ClaimRecord {.attempt_ = {.requestId_ = "other", .number_ = 1},
    .router_ = {.name_ = "r2", .incarnation_ = 1},
    .agent_ = {.name_ = "b", .incarnation_ = 3}};
const auto unreachable = Failure {.step_ = "claim", .reason_ = "connection refused"};

auto begun() -> ClaimStateMachine
{
    auto machine = ClaimStateMachine(ClaimRequest {
        .key_ = "k", .router_ = {.name_ = "r1", .incarnation_ = 1}, .firstTarget_ = mine, .deadline_ = start + 10s});
    machine.step(Start {}, start);
    return machine;
}

auto dispatched() -> ClaimStateMachine
{
    auto machine = begun();
    check(std::holds_alternative<DispatchAttempt>(machine.step(ClaimCreated {5}, start)));
    return machine;
}

auto refusal(const Action &action) -> RunState
{
    check(std::holds_alternative<ReturnFailure>(action), "the caller is not refused");
    return std::get<ReturnFailure>(action).failure_.runState_;
}

auto own() -> ClaimRecord
{
    return ClaimRecord {
        .attempt_ = mine.attempt_, .router_ = {.name_ = "r1", .incarnation_ = 1}, .agent_ = mine.agent_};
}

auto completed(std::optional<StoredResponse> answer) -> ClaimRecord
{
    return ClaimRecord {.attempt_ = other.attempt_,
        .router_ = other.router_,
        .agent_ = other.agent_,
        .state_ = ClaimState::Completed,
        .response_ = std::move(answer)};
}

// Returns how many of the random episodes break a guarantee.
auto violations(const Mechanisms &mechanisms) -> int
{
    auto random = std::mt19937_64(episodeSeed);
    auto count = 0;
    for (auto episode = 0; episode < episodes; ++episode) {
        auto commands = std::vector<Command>();
        for (std::size_t step = 0; step < stepsPerEpisode; ++step) {
            const auto bits = random();
            commands.emplace_back(std::uint8_t(bits), std::uint8_t(bits >> 8U), std::uint8_t(bits >> 16U));
        }
        auto model = ClaimModel(mechanisms);
        model.run(commands);
        model.settle();
        count += model.violation().empty() ? 0 : 1;
    }
    return count;
}

auto commandLists() -> rc::Gen<std::vector<Command>>
{
    return rc::gen::resize(longestCommandList, rc::gen::arbitrary<std::vector<Command>>());
}

const testkit::TestSuite interleavings = {"a non-idempotent request",
    {
        section("among routers that freeze, agents that restart and a store that loses answers",
            {
                // Guards against a second run of a booking and against "not run" for an attempt that runs later.
                property("runs at most once and is never denied falsely",
                    [] {
                        auto model = ClaimModel(Mechanisms {});
                        model.run(*commandLists());
                        RC_ASSERT(model.violation() == "");
                        model.settle();
                        RC_ASSERT(model.violation() == "");
                    }),
                // Guards against keys that stay unusable although every agent still knows its attempts.
                property("is answered in the end if no agent restarts",
                    [] {
                        auto model = ClaimModel(Mechanisms {}, false);
                        model.run(*commandLists());
                        model.settle();
                        RC_ASSERT(model.answersAfterwards("first"));
                        RC_ASSERT(model.violation() == "");
                    }),
                // Guards against rare interleavings that short command lists do not reach.
                test("runs at most once in long episodes",
                    [] {
                        check(violations(Mechanisms {}) == 0);
                    }),
            }),
        section("whose guarantees lose one mechanism",
            {
                // Each guards against a model that could not find the fault that the mechanism prevents.
                test("breaks them if agents accept dispatches for another incarnation",
                    [] {
                        check(violations(Mechanisms {.dispatchChecksIncarnation_ = false}) > 0);
                    }),
                test("breaks them if any incarnation may answer for an attempt",
                    [] {
                        check(violations(Mechanisms {.askChecksIncarnation_ = false}) > 0);
                    }),
                test("breaks them if agents forget what they voided",
                    [] {
                        check(violations(Mechanisms {.agentsVoid_ = false}) > 0);
                    }),
            }),
    }};

// Every kind of event, in an order that no well-behaved router would produce.
auto strayEvent(std::uint8_t choice) -> Event
{
    const auto events = std::vector<Event> {Start {}, ClaimCreated {4}, ClaimUpdated {5}, ClaimExists {6, other},
        ClaimExists {7, own()}, ClaimAbsent {}, StoreUnavailable {unreachable}, StoreOutcomeUnknown {unreachable},
        AttemptVoided {}, AttemptRunning {}, AttemptRan {}, AttemptStateUnknown {unreachable}, AttemptFinished {},
        AttemptFailed {unreachable}, AttemptFailed {unreachable, mine}, ResponseSent {}, DeadlineExceeded {}};
    return events[choice % events.size()];
}

const testkit::TestSuite claim = {"a claim",
    {
        section("that receives events in any order",
            {
                // Guards against late events that dispatch again, or that dispatch for a caller who was refused.
                property("dispatches its attempt once and never after a refusal",
                    [](const std::vector<std::uint8_t> &choices) {
                        auto machine = begun();
                        auto dispatches = 0;
                        auto refused = false;
                        for (const auto choice : choices) {
                            const auto action = machine.step(strayEvent(choice), start);
                            refused = refused || std::holds_alternative<ReturnFailure>(action);
                            const auto dispatch = std::holds_alternative<DispatchAttempt>(action);
                            dispatches += dispatch ? 1 : 0;
                            RC_ASSERT(!(dispatch && refused));
                            RC_ASSERT(dispatches <= 1);
                        }
                    }),
            }),
        section("whose store cannot be reached",
            {
                // Guards against a booking that runs without a claim, and against callers that do not know when to
                // retry.
                test("is refused as not run with a retry time",
                    [] {
                        auto machine = begun();
                        const auto action = machine.step(StoreUnavailable {unreachable}, start);
                        check(refusal(action) == RunState::NotRun);
                        check(std::get<ReturnFailure>(action).failure_.retryAfter_ == storeRetryAfter);
                        check(machine.step(ClaimCreated {5}, start) == Action(AwaitEvent {}));
                        check(machine.step(ResponseSent {}, start) == Action(Done {}));
                    }),
                // Guards against an endless loop of repeated calls.
                test("repeats a lost call a bounded number of times",
                    [] {
                        auto machine = begun();
                        for (std::uint32_t repeat = 0; repeat < maximumStoreRetries; ++repeat) {
                            const auto action = machine.step(StoreOutcomeUnknown {unreachable}, start);
                            check(std::get<CreateClaim>(action).record_.attempt_ == mine.attempt_);
                        }
                        check(refusal(machine.step(StoreOutcomeUnknown {unreachable}, start)) == RunState::NotRun);
                    }),
            }),
        section("whose answer is known when the store fails",
            {
                // Guards against a background write that is repeated for ever.
                test("repeats the completion within a bound",
                    [] {
                        auto machine = dispatched();
                        auto action
                            = std::optional(machine.step(AttemptFinished {StoredResponse {.status_ = 200}}, start));
                        auto tries = std::uint32_t(0);
                        while (std::holds_alternative<CompleteClaim>(*action)) {
                            ++tries;
                            action.emplace(machine.step(StoreOutcomeUnknown {unreachable}, start));
                        }
                        check(tries == maximumBackgroundWrites && action == Action(Done {}));
                    }),
            }),
        section("that finds the key completed",
            {
                // Guards against a second run and against a made-up answer.
                test("yields the stored answer, or that it ran",
                    [] {
                        const auto answer
                            = StoredResponse {.status_ = 200, .contentType_ = "text/plain", .body_ = "booked"};
                        auto first = begun();
                        check(first.step(ClaimExists {.revision_ = 3, .record_ = completed(answer)}, start)
                            == Action(ReturnStoredResponse {answer}));
                        auto second = begun();
                        check(refusal(
                                  second.step(ClaimExists {.revision_ = 3, .record_ = completed(std::nullopt)}, start))
                            == RunState::Ran);
                    }),
            }),
        section("whose answer is too large to store",
            {
                // Guards against a value that the key-value service refuses, which would leave the key claimed.
                test("is completed without it",
                    [] {
                        auto machine = dispatched();
                        const auto large = std::string(maximumStoredResponseBytes + 1, 'x');
                        const auto action = machine.step(AttemptFinished {StoredResponse {.body_ = large}}, start);
                        check(!std::get<CompleteClaim>(action).record_.response_);
                        check(std::get<CompleteClaim>(action).record_.state_ == ClaimState::Completed);
                    }),
            }),
        section("held by another router",
            {
                // Guards against an outcome that is guessed while the first attempt may be running.
                test("is resolved by its agent",
                    [] {
                        auto machine = begun();
                        const auto found = ClaimExists {.revision_ = 3, .record_ = other};
                        check(machine.step(found, start)
                            == Action(VoidAttempt {.agent_ = other.agent_, .attempt_ = other.attempt_}));
                        check(std::holds_alternative<AwaitAttemptEnd>(machine.step(AttemptRunning {}, start)));
                        auto unknown = machine;
                        check(refusal(unknown.step(AttemptStateUnknown {unreachable}, start)) == RunState::MayHaveRun);
                        const auto taken = machine.step(AttemptVoided {}, start);
                        check(std::get<TakeOverClaim>(taken).expectedRevision_ == 3);
                        check(std::holds_alternative<DispatchAttempt>(machine.step(ClaimUpdated {4}, start)));
                    }),
            }),
        section("that is won after a long pause",
            {
                // Guards against a dispatch for a caller that has gone.
                test("is released without a dispatch",
                    [] {
                        auto machine = begun();
                        check(refusal(machine.step(ClaimCreated {5}, start + 11s)) == RunState::NotRun);
                        check(std::holds_alternative<ReleaseClaim>(machine.step(ResponseSent {}, start + 11s)));
                    }),
            }),
        section("whose attempt is refused by its agent",
            {
                // Guards against a second attempt that the store does not know of.
                test("moves to the next candidate before it is dispatched again",
                    [] {
                        auto machine = dispatched();
                        const auto next
                            = DispatchTarget {.attempt_ = {.requestId_ = "mine", .number_ = 2}, .agent_ = other.agent_};
                        const auto action
                            = machine.step(AttemptFailed {.failure_ = unreachable, .nextTarget_ = next}, start);
                        check(std::get<TakeOverClaim>(action).record_.attempt_ == next.attempt_);
                        check(machine.step(ClaimUpdated {6}, start)
                            == Action(DispatchAttempt {.attempt_ = next.attempt_, .agent_ = next.agent_}));
                    }),
            }),
    }};

} // namespace
