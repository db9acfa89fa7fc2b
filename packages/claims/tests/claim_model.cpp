#include "claim_model.h"

#include <algorithm>
#include <type_traits>

namespace jasminewood::claims
{

namespace
{

constexpr std::size_t maximumRequests = 12;
constexpr int settlingRounds = 64;
// A choice that means "no fault" to every step.
constexpr std::uint8_t healthy = 0;
constexpr Milliseconds patience = Milliseconds(1'000);

auto lost() -> Failure
{
    return Failure {.step_ = "claim", .reason_ = "no answer", .runState_ = RunState::MayHaveRun};
}

auto notRun() -> Failure
{
    return Failure {.step_ = "dispatch", .reason_ = "refused"};
}

// Removes one element and returns it. Elements with const members cannot be moved within a vector.
template <typename Element>
auto take(std::vector<Element> &elements, std::size_t index) -> Element
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

auto answerOf(const AttemptId &attempt) -> StoredResponse
{
    return StoredResponse {.status_ = 200, .body_ = toString(attempt)};
}

} // namespace

ClaimModel::ClaimModel(const Mechanisms &mechanisms, bool restarts)
    : mechanisms_(mechanisms)
    , restarts_(restarts)
{
}

auto ClaimModel::run(const std::vector<Command> &commands) -> void
{
    for (const auto &command : commands) {
        apply(command);
    }
}

auto ClaimModel::apply(const Command &command) -> void
{
    const auto [kind, target, choice] = command;
    const auto step = kind % 16;
    if (step == 0 && requests_.size() < maximumRequests) {
        open(target % 4 == 0 ? "second" : "first", choice);
    } else if (step <= 5 && !requests_.empty()) {
        perform(target % requests_.size(), choice);
    } else if (step <= 9 && !requests_.empty()) {
        feed(target % requests_.size());
    } else if (step <= 11 && !messages_.empty()) {
        deliver(target % messages_.size(), choice);
    } else if (step == 12) {
        progress(agents_[target % agents_.size()]);
    } else if (step == 13 && restarts_ && choice % 4 == 0) {
        restart(agents_[target % agents_.size()]);
    } else if (step == 14 && !delayedWrites_.empty()) {
        write(take(delayedWrites_, target % delayedWrites_.size()));
    } else if (step == 15 && !requests_.empty()) {
        pass(target % requests_.size(), choice);
    }
}

auto ClaimModel::settle() -> void
{
    for (auto round = 0; round < settlingRounds; ++round) {
        while (!messages_.empty()) {
            deliver(0, healthy);
        }
        for (const auto &delayed : delayedWrites_) {
            write(delayed);
        }
        delayedWrites_.clear();
        for (auto &one : agents_) {
            progress(one);
        }
        for (std::size_t index = 0; index < requests_.size(); ++index) {
            perform(index, healthy);
            feed(index);
        }
    }
}

auto ClaimModel::answersAfterwards(const std::string &key) -> bool
{
    open(key, healthy);
    settle();
    return requests_.back().answered_;
}

auto ClaimModel::violation() const -> std::string
{
    for (const auto &[key, attempts] : ran_) {
        if (attempts.size() > 1) {
            return key + " ran as " + toString(attempts[0]) + " and as " + toString(attempts[1]);
        }
    }
    for (const auto &request : requests_) {
        const auto runs = ran_.find(request.key_);
        const auto ran = runs != ran_.end();
        if (request.told_ == RunState::NotRun && ran && request.attempts_.count(runs->second.front()) > 0) {
            return toString(runs->second.front()) + " ran although its caller was told that it did not";
        }
        if ((request.told_ == RunState::Ran || request.answered_) && !ran) {
            return request.key_ + " did not run although its caller was told that it did";
        }
    }
    return wrongAnswer_;
}

auto ClaimModel::runs() const -> std::size_t
{
    return ran_.size();
}

auto ClaimModel::open(const std::string &key, std::uint8_t choice) -> void
{
    const auto name = "r" + std::to_string(++requestCount_);
    const auto first = candidate(choice, name, 1);
    keyOfAttempt_.emplace(first.attempt_, key);
    requests_.push_back(Request {.key_ = key,
        .machine_ = ClaimStateMachine(ClaimRequest {.key_ = key,
            .router_ = NodeId {.name_ = "router-" + std::to_string(choice % 3), .incarnation_ = 1},
            .firstTarget_ = first,
            .deadline_ = now_ + patience}),
        .attempts_ = {first.attempt_}});
    requests_.back().inbox_.emplace_back(Start {});
}

auto ClaimModel::candidate(std::uint8_t choice, const std::string &request, std::uint32_t number) const
    -> DispatchTarget
{
    const auto index = choice % agents_.size();
    return DispatchTarget {.attempt_ = AttemptId {.requestId_ = request, .number_ = number},
        .agent_ = NodeId {.name_ = std::to_string(index), .incarnation_ = agents_[index].incarnation_}};
}

auto ClaimModel::perform(std::size_t index, std::uint8_t choice) -> void
{
    auto &request = requests_[index];
    if (!request.action_) {
        return;
    }
    const auto action = *request.action_;
    request.action_.reset();
    auto outcome = std::optional<Event>();
    if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
        messages_.push_back(Message {.request_ = index, .dispatch_ = *dispatch});
    } else if (const auto *question = std::get_if<VoidAttempt>(&action)) {
        const auto reply = choice % 8 == 7 ? std::nullopt : ask(question->agent_, question->attempt_, true);
        outcome.emplace(choice % 8 >= 6 || !reply ? Event(AttemptStateUnknown {lost()}) : *reply);
    } else if (const auto *wait = std::get_if<AwaitAttemptEnd>(&action)) {
        const auto reply = ask(wait->agent_, wait->attempt_, false);
        if (reply && std::holds_alternative<AttemptRunning>(*reply)) {
            request.action_.emplace(action);
            return;
        }
        outcome.emplace(reply.value_or(Event(AttemptStateUnknown {lost()})));
    } else if (std::holds_alternative<ReturnStoredResponse>(action) || std::holds_alternative<ReturnFailure>(action)) {
        outcome.emplace(ResponseSent {});
    } else {
        const auto reply = store(action, choice);
        if (reply) {
            outcome.emplace(*reply);
        }
    }
    if (outcome) {
        request.inbox_.push_back(*outcome);
    }
}

auto ClaimModel::feed(std::size_t index) -> void
{
    auto &request = requests_[index];
    if (request.inbox_.empty() || request.action_) {
        return;
    }
    const auto action = request.machine_.step(request.inbox_.front(), now_);
    request.inbox_.pop_front();
    observe(request, action);
    if (!std::holds_alternative<AwaitEvent>(action) && !std::holds_alternative<Done>(action)) {
        request.action_.emplace(action);
    }
}

// Choices 0 to 3 mean that the call succeeds; the others are the ways in which it fails.
auto ClaimModel::store(const Action &action, std::uint8_t choice) -> std::optional<Event>
{
    switch (choice % 8) {
    case 4:
        return StoreUnavailable {lost()};
    case 5:
        return StoreOutcomeUnknown {lost()};
    case 6:
        write(action);
        return StoreOutcomeUnknown {lost()};
    case 7:
        delayedWrites_.push_back(action);
        return StoreOutcomeUnknown {lost()};
    default:
        return write(action);
    }
}

auto ClaimModel::write(const Action &action) -> Event
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

// Empty if the incarnation asked for is gone.
auto ClaimModel::ask(const NodeId &node, const AttemptId &attempt, bool mayVoid) -> std::optional<Event>
{
    auto &asked = agent(node);
    if (mechanisms_.askChecksIncarnation_ && asked.incarnation_ != node.incarnation_) {
        return std::nullopt;
    }
    const auto known = asked.attempts_.find(attempt);
    if (known != asked.attempts_.end() && known->second == Stage::Finished) {
        return AttemptRan {answerOf(attempt)};
    }
    if (known != asked.attempts_.end() && (known->second == Stage::Running || !mayVoid)) {
        return AttemptRunning {};
    }
    if (known != asked.attempts_.end()) {
        asked.attempts_.erase(known);
        notify(attempt, AttemptFailed {notRun()});
    }
    if (mechanisms_.agentsVoid_) {
        asked.voided_.insert(attempt);
    }
    return AttemptVoided {};
}

auto ClaimModel::deliver(std::size_t index, std::uint8_t choice) -> void
{
    const auto message = take(messages_, index);
    const auto &dispatch = message.dispatch_;
    auto &receiver = agent(dispatch.agent_);
    const auto otherIncarnation
        = mechanisms_.dispatchChecksIncarnation_ && receiver.incarnation_ != dispatch.agent_.incarnation_;
    const auto full = choice % 8 == 7;
    if (!otherIncarnation && receiver.voided_.count(dispatch.attempt_) == 0 && !full) {
        receiver.attempts_.emplace(dispatch.attempt_, Stage::Queued);
        return;
    }
    auto &request = requests_[message.request_];
    if (choice % 4 != 3) {
        request.inbox_.emplace_back(AttemptFailed {notRun()});
        return;
    }
    const auto next = candidate(choice / 8, dispatch.attempt_.requestId_, dispatch.attempt_.number_ + 1);
    request.attempts_.insert(next.attempt_);
    keyOfAttempt_.emplace(next.attempt_, request.key_);
    request.inbox_.emplace_back(AttemptFailed {.failure_ = notRun(), .nextTarget_ = next});
}

auto ClaimModel::progress(Agent &agent) -> void
{
    for (auto &[attempt, stage] : agent.attempts_) {
        if (stage == Stage::Running) {
            stage = Stage::Finished;
            notify(attempt, AttemptFinished {answerOf(attempt)});
        } else if (stage == Stage::Queued) {
            stage = Stage::Running;
            ran_[keyOfAttempt_.at(attempt)].push_back(attempt);
        }
    }
}

auto ClaimModel::restart(Agent &agent) -> void
{
    const auto forgotten = agent.attempts_;
    agent = Agent {.incarnation_ = agent.incarnation_ + 1};
    for (const auto &[attempt, stage] : forgotten) {
        if (stage != Stage::Finished) {
            notify(attempt, AttemptFailed {lost()});
        }
    }
}

auto ClaimModel::notify(const AttemptId &attempt, const Event &event) -> void
{
    for (auto &request : requests_) {
        if (request.attempts_.count(attempt) > 0) {
            request.inbox_.push_back(event);
        }
    }
}

// Lets a deadline or a link end for a request that waits, or lets time pass.
auto ClaimModel::pass(std::size_t index, std::uint8_t choice) -> void
{
    auto &request = requests_[index];
    if (choice % 4 >= 2) {
        now_ += Milliseconds(choice);
    } else if (!request.action_) {
        request.inbox_.emplace_front(choice % 4 == 0 ? Event(DeadlineExceeded {}) : Event(AttemptFailed {lost()}));
    }
}

auto ClaimModel::agent(const NodeId &node) -> Agent &
{
    return agents_[std::stoul(node.name_)];
}

auto ClaimModel::observe(Request &request, const Action &action) -> void
{
    const auto runs = ran_.find(request.key_);
    if (std::holds_alternative<ReturnFailure>(action) || std::holds_alternative<ReturnStoredResponse>(action)) {
        wrongAnswer_ = request.told_ || request.answered_ ? "a caller was told twice" : wrongAnswer_;
    }
    if (const auto *refusal = std::get_if<ReturnFailure>(&action)) {
        request.told_ = refusal->failure_.runState_;
    } else if (const auto *stored = std::get_if<ReturnStoredResponse>(&action)) {
        request.answered_ = true;
        if (runs == ran_.end() || stored->response_ != answerOf(runs->second.front())) {
            wrongAnswer_ = request.key_ + " was answered with the output of an attempt that did not run";
        }
    } else if (const auto *complete = std::get_if<CompleteClaim>(&action)) {
        request.answered_ = request.answered_ || request.attempts_.count(complete->record_.attempt_) > 0;
    }
}

} // namespace jasminewood::claims
