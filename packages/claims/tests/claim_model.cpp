#include "claim_model.h"

#include <algorithm>
#include <type_traits>

namespace jasminewood::claims
{

namespace
{

constexpr std::size_t maximumRequests = 12;
constexpr int settlingRounds = 64;
// A choice for which no step injects a fault.
constexpr std::uint8_t noFault = 0;
constexpr Milliseconds requestTimeout = Milliseconds(1'000);

auto unknownOutcomeFailure() -> Failure
{
    return Failure {.step_ = "claim", .reason_ = "no reply", .runState_ = RunState::MayHaveRun};
}

auto notRunFailure() -> Failure
{
    return Failure {.step_ = "dispatch", .reason_ = "rejected"};
}

// Removes one element and returns it. Elements with const members cannot be moved within a vector.
template <typename Element>
auto removeAt(std::vector<Element> &elements, std::size_t index) -> Element
{
    auto rest = std::vector<Element>();
    for (std::size_t other = 0; other < elements.size(); ++other) {
        if (other != index) {
            rest.push_back(elements[other]);
        }
    }
    elements.swap(rest);
    return rest[index];
}

auto responseOf(const AttemptId &attempt) -> StoredResponse
{
    return StoredResponse {.status_ = 200, .body_ = toString(attempt)};
}

} // namespace

ClaimModel::ClaimModel(const Safeguards &safeguards, bool agentsRestart)
    : safeguards_(safeguards)
    , agentsRestart_(agentsRestart)
{
}

auto ClaimModel::applyAll(const std::vector<Command> &commands) -> void
{
    for (const auto &command : commands) {
        apply(command);
    }
}

auto ClaimModel::apply(const Command &command) -> void
{
    // kind selects the step. The ranges of its numbers are weights: more numbers make a step more frequent.
    const auto [kind, target, choice] = command;
    const auto step = kind % 16;
    if (step == 0 && requests_.size() < maximumRequests) {
        openRequest(target % 4 == 0 ? "second" : "first", choice);
    } else if (step <= 5 && !requests_.empty()) {
        performAction(target % requests_.size(), choice);
    } else if (step <= 9 && !requests_.empty()) {
        deliverNextEvent(target % requests_.size());
    } else if (step <= 11 && !pendingDispatches_.empty()) {
        deliverDispatch(target % pendingDispatches_.size(), choice);
    } else if (step == 12) {
        advanceAttempts(agents_[target % agents_.size()]);
    } else if (step == 13 && agentsRestart_ && choice % 4 == 0) {
        restartAgent(agents_[target % agents_.size()]);
    } else if (step == 14 && !delayedWrites_.empty()) {
        applyToStore(removeAt(delayedWrites_, target % delayedWrites_.size()));
    } else if (step == 15 && !requests_.empty()) {
        injectTimeoutOrAdvanceTime(target % requests_.size(), choice);
    }
}

auto ClaimModel::settle() -> void
{
    for (auto round = 0; round < settlingRounds; ++round) {
        while (!pendingDispatches_.empty()) {
            deliverDispatch(0, noFault);
        }
        for (const auto &delayed : delayedWrites_) {
            applyToStore(delayed);
        }
        delayedWrites_.clear();
        for (auto &agent : agents_) {
            advanceAttempts(agent);
        }
        for (std::size_t index = 0; index < requests_.size(); ++index) {
            performAction(index, noFault);
            deliverNextEvent(index);
        }
    }
}

auto ClaimModel::newRequestGetsResponse(const std::string &key) -> bool
{
    openRequest(key, noFault);
    settle();
    return requests_.back().receivedResponse_;
}

auto ClaimModel::violation() const -> std::string
{
    for (const auto &[key, attempts] : runsByKey_) {
        if (attempts.size() > 1) {
            return key + " ran as " + toString(attempts[0]) + " and as " + toString(attempts[1]);
        }
    }
    for (const auto &request : requests_) {
        const auto runs = runsByKey_.find(request.key_);
        const auto ran = runs != runsByKey_.end();
        if (request.reportedRunState_ == RunState::NotRun && ran && request.attempts_.count(runs->second.front()) > 0) {
            return toString(runs->second.front()) + " ran although it was reported as not run";
        }
        if ((request.reportedRunState_ == RunState::Ran || request.receivedResponse_) && !ran) {
            return request.key_ + " did not run although it was reported as run";
        }
    }
    return incorrectResponse_;
}

auto ClaimModel::ranKeyCount() const -> std::size_t
{
    return runsByKey_.size();
}

auto ClaimModel::openRequest(const std::string &key, std::uint8_t choice) -> void
{
    const auto name = "r" + std::to_string(++requestCount_);
    const auto first = makeTarget(choice, name, 1);
    keyOfAttempt_.emplace(first.attempt_, key);
    requests_.push_back(Request {.key_ = key,
        .machine_ = ClaimStateMachine(ClaimRequest {.key_ = key,
            .router_ = NodeId {.name_ = "router-" + std::to_string(choice % 3), .incarnation_ = 1},
            .firstTarget_ = first,
            .deadline_ = now_ + requestTimeout}),
        .attempts_ = {first.attempt_}});
    requests_.back().pendingEvents_.emplace_back(Start {});
}

auto ClaimModel::makeTarget(std::uint8_t choice, const std::string &request, std::uint32_t number) const
    -> DispatchTarget
{
    const auto index = choice % agents_.size();
    return DispatchTarget {.attempt_ = AttemptId {.requestId_ = request, .number_ = number},
        .agent_ = NodeId {.name_ = std::to_string(index), .incarnation_ = agents_[index].incarnation_}};
}

auto ClaimModel::performAction(std::size_t index, std::uint8_t choice) -> void
{
    auto &request = requests_[index];
    if (!request.pendingAction_) {
        return;
    }
    const auto action = *request.pendingAction_;
    request.pendingAction_.reset();
    auto outcome = std::optional<Event>();
    if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
        pendingDispatches_.push_back(PendingDispatch {.requestIndex_ = index, .dispatch_ = *dispatch});
    } else if (const auto *voidAttempt = std::get_if<VoidAttempt>(&action)) {
        const auto reply
            = choice % 8 == 7 ? std::nullopt : queryAgent(voidAttempt->agent_, voidAttempt->attempt_, true);
        outcome.emplace(choice % 8 >= 6 || !reply ? Event(AttemptStateUnknown {unknownOutcomeFailure()}) : *reply);
    } else if (const auto *awaitEnd = std::get_if<AwaitAttemptEnd>(&action)) {
        const auto reply = queryAgent(awaitEnd->agent_, awaitEnd->attempt_, false);
        if (reply && std::holds_alternative<AttemptRunning>(*reply)) {
            request.pendingAction_.emplace(action);
            return;
        }
        outcome.emplace(reply.value_or(Event(AttemptStateUnknown {unknownOutcomeFailure()})));
    } else if (std::holds_alternative<ReturnStoredResponse>(action) || std::holds_alternative<ReturnFailure>(action)) {
        outcome.emplace(ResponseSent {});
    } else {
        const auto reply = callStore(action, choice);
        if (reply) {
            outcome.emplace(*reply);
        }
    }
    if (outcome) {
        request.pendingEvents_.push_back(*outcome);
    }
}

auto ClaimModel::deliverNextEvent(std::size_t index) -> void
{
    auto &request = requests_[index];
    if (request.pendingEvents_.empty() || request.pendingAction_) {
        return;
    }
    const auto action = request.machine_.step(request.pendingEvents_.front(), now_);
    request.pendingEvents_.pop_front();
    checkResponse(request, action);
    if (!std::holds_alternative<AwaitEvent>(action) && !std::holds_alternative<Done>(action)) {
        request.pendingAction_.emplace(action);
    }
}

// choice % 8 selects what happens. 0 to 3: the call succeeds; 4: it does not reach the store; 5: the outcome is unknown
// and nothing is written; 6: the call is performed but its reply is lost; 7: as 6, but performed later.
auto ClaimModel::callStore(const Action &action, std::uint8_t choice) -> std::optional<Event>
{
    switch (choice % 8) {
    case 4:
        return StoreUnavailable {unknownOutcomeFailure()};
    case 5:
        return StoreOutcomeUnknown {unknownOutcomeFailure()};
    case 6:
        applyToStore(action);
        return StoreOutcomeUnknown {unknownOutcomeFailure()};
    case 7:
        delayedWrites_.push_back(action);
        return StoreOutcomeUnknown {unknownOutcomeFailure()};
    default:
        return applyToStore(action);
    }
}

auto ClaimModel::applyToStore(const Action &action) -> Event
{
    return std::visit(
        [this](const auto &call) -> Event {
            using Call = std::decay_t<decltype(call)>;
            if constexpr (requires { call.key_; }) {
                const auto found = store_.find(call.key_);
                const auto exists = found != store_.end();
                if constexpr (std::is_same_v<Call, CreateClaim>) {
                    if (!exists) {
                        store_.emplace(call.key_, Stored {.revision_ = ++revision_, .record_ = call.record_});
                        return ClaimCreated {revision_};
                    }
                } else if constexpr (!std::is_same_v<Call, ReadClaim>) {
                    if (exists && found->second.revision_ == call.expectedRevision_) {
                        store_.erase(found);
                        store_.emplace(call.key_, Stored {.revision_ = ++revision_, .record_ = call.record_});
                        return ClaimUpdated {revision_};
                    }
                }
                if (exists) {
                    return ClaimExists {.revision_ = found->second.revision_, .record_ = found->second.record_};
                }
            }
            return ClaimAbsent {};
        },
        action);
}

// Returns the agent's reply, or empty if the agent has another incarnation. If mayVoid is true, the query is a Void
// message, which voids the attempt unless it has started; otherwise it only asks for the state.
auto ClaimModel::queryAgent(const NodeId &node, const AttemptId &attempt, bool mayVoid) -> std::optional<Event>
{
    auto &agent = agentFor(node);
    if (safeguards_.voidChecksIncarnation_ && agent.incarnation_ != node.incarnation_) {
        return std::nullopt;
    }
    const auto found = agent.attempts_.find(attempt);
    if (found != agent.attempts_.end() && found->second == AttemptStage::Finished) {
        return AttemptRan {responseOf(attempt)};
    }
    if (found != agent.attempts_.end() && (found->second == AttemptStage::Running || !mayVoid)) {
        return AttemptRunning {};
    }
    if (found != agent.attempts_.end()) {
        agent.attempts_.erase(found);
        notifyRequests(attempt, AttemptFailed {notRunFailure()});
    }
    if (safeguards_.agentsRecordVoids_) {
        agent.voided_.insert(attempt);
    }
    return AttemptVoided {};
}

auto ClaimModel::deliverDispatch(std::size_t index, std::uint8_t choice) -> void
{
    const auto pendingDispatch = removeAt(pendingDispatches_, index);
    const auto &dispatch = pendingDispatch.dispatch_;
    auto &receiver = agentFor(dispatch.agent_);
    const auto otherIncarnation
        = safeguards_.dispatchChecksIncarnation_ && receiver.incarnation_ != dispatch.agent_.incarnation_;
    const auto full = choice % 8 == 7;
    if (!otherIncarnation && receiver.voided_.count(dispatch.attempt_) == 0 && !full) {
        receiver.attempts_.emplace(dispatch.attempt_, AttemptStage::Queued);
        return;
    }
    auto &request = requests_[pendingDispatch.requestIndex_];
    if (choice % 4 != 3) {
        request.pendingEvents_.emplace_back(AttemptFailed {notRunFailure()});
        return;
    }
    const auto next = makeTarget(choice / 8, dispatch.attempt_.requestId_, dispatch.attempt_.number_ + 1);
    request.attempts_.insert(next.attempt_);
    keyOfAttempt_.emplace(next.attempt_, request.key_);
    request.pendingEvents_.emplace_back(AttemptFailed {.failure_ = notRunFailure(), .nextTarget_ = next});
}

auto ClaimModel::advanceAttempts(Agent &agent) -> void
{
    for (auto &[attempt, stage] : agent.attempts_) {
        if (stage == AttemptStage::Running) {
            stage = AttemptStage::Finished;
            notifyRequests(attempt, AttemptFinished {responseOf(attempt)});
        } else if (stage == AttemptStage::Queued) {
            stage = AttemptStage::Running;
            runsByKey_[keyOfAttempt_.at(attempt)].push_back(attempt);
        }
    }
}

auto ClaimModel::restartAgent(Agent &agent) -> void
{
    const auto lostAttempts = agent.attempts_;
    agent = Agent {.incarnation_ = agent.incarnation_ + 1};
    for (const auto &[attempt, stage] : lostAttempts) {
        if (stage != AttemptStage::Finished) {
            notifyRequests(attempt, AttemptFailed {unknownOutcomeFailure()});
        }
    }
}

auto ClaimModel::notifyRequests(const AttemptId &attempt, const Event &event) -> void
{
    for (auto &request : requests_) {
        if (request.attempts_.count(attempt) > 0) {
            request.pendingEvents_.push_back(event);
        }
    }
}

// Depending on choice, reports a passed deadline or a lost connection to the request if it has no pending action, or
// advances the time.
auto ClaimModel::injectTimeoutOrAdvanceTime(std::size_t index, std::uint8_t choice) -> void
{
    auto &request = requests_[index];
    if (choice % 4 >= 2) {
        now_ += Milliseconds(choice);
    } else if (!request.pendingAction_) {
        request.pendingEvents_.emplace_front(
            choice % 4 == 0 ? Event(DeadlineExceeded {}) : Event(AttemptFailed {unknownOutcomeFailure()}));
    }
}

auto ClaimModel::agentFor(const NodeId &node) -> Agent &
{
    return agents_[std::stoul(node.name_)];
}

auto ClaimModel::checkResponse(Request &request, const Action &action) -> void
{
    const auto runs = runsByKey_.find(request.key_);
    if (std::holds_alternative<ReturnFailure>(action) || std::holds_alternative<ReturnStoredResponse>(action)) {
        incorrectResponse_ = request.reportedRunState_ || request.receivedResponse_ ? "a caller received two responses"
                                                                                    : incorrectResponse_;
    }
    if (const auto *refusal = std::get_if<ReturnFailure>(&action)) {
        request.reportedRunState_ = refusal->failure_.runState_;
    } else if (const auto *stored = std::get_if<ReturnStoredResponse>(&action)) {
        request.receivedResponse_ = true;
        if (runs == runsByKey_.end() || stored->response_ != responseOf(runs->second.front())) {
            incorrectResponse_ = request.key_ + " received the response of an attempt that did not run";
        }
    } else if (const auto *complete = std::get_if<CompleteClaim>(&action)) {
        request.receivedResponse_
            = request.receivedResponse_ || request.attempts_.count(complete->record_.attempt_) > 0;
    }
}

} // namespace jasminewood::claims
