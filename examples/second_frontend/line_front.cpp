#include "line_front.h"

#include <optional>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/delivery/response_tracker.h"

namespace jasminewood::second_frontend
{

namespace
{

// Small, so that an answer takes several frames.
constexpr std::size_t frameBytes = 8;
constexpr auto claimDeadline = Milliseconds(5'000);
constexpr std::uint16_t statusCreated = 201;

auto refusal(const std::string &request, const Failure &failure) -> std::string
{
    return request + " " + toString(failure);
}

// Sends the output in frames, as a link would, and returns what the tracker delivers; empty unless it is whole.
auto deliver(const Ran &ran) -> std::optional<std::string>
{
    auto sent = delivery::OutputBuffer();
    if (sent.append(ran.output_)) {
        return std::nullopt;
    }
    auto tracker = delivery::ResponseTracker();
    tracker.beginAttempt(ran.attempt_);
    for (auto offset = std::size_t(0); offset < ran.output_.size(); offset += frameBytes) {
        static_cast<void>(tracker.onFrame(ran.attempt_, offset, sent.outputFrom(offset).substr(0, frameBytes)));
    }
    const auto end = sent.trailer();
    const auto finished = tracker.onFinished(ran.attempt_, end.length_, end.digest_);
    return std::holds_alternative<delivery::Complete>(finished) ? std::optional(tracker.deliveredOutput())
                                                                : std::nullopt;
}

auto answered(const Ran &ran) -> std::string
{
    const auto whole = deliver(ran);
    return ran.attempt_.requestId_ + " answered by " + ran.upstream_.name_ + ": " + whole.value_or("a broken answer");
}

} // namespace

LineFront::LineFront(std::shared_ptr<const manifest::Manifest> manifest, TimePoint now)
    : manifest_(std::move(manifest))
    , limiter_(now)
    , upstreams_(*manifest_, now)
{
    auto limits = admission::AccountLimits();
    for (const auto &[name, account] : manifest_->accounts_) {
        limits.emplace(name,
            admission::AccountLimit {.requestsPerSecond_ = account.requestsPerSecond_,
                .workPerSecond_ = static_cast<std::uint32_t>(account.workPerSecond_)});
    }
    limiter_.configure(limits, 1, now);
}

auto LineFront::serve(const std::string &line, TimePoint now) -> Lines
{
    return std::visit(
        [&](const auto &request) -> Lines {
            return serve(request, now);
        },
        parseLine(line));
}

auto LineFront::serve(const ChatLine &chat, TimePoint now) -> Lines
{
    const auto id = "r" + std::to_string(++requests_);
    const auto requestClass = classify(chat.account_, chat.requestClass_);
    if (!requestClass) {
        return {refusal(id, requestClass.failure())};
    }
    const auto *model = manifest_->modelNamed(chat.model_);
    if (model == nullptr || !manifest::isAllowed(**requestClass, chat.model_, "")) {
        return {refusal(id, Failure {.step_ = "classify", .reason_ = "unknown model " + chat.model_})};
    }
    if (const auto refused = limiter_.admit(chat.account_, (*requestClass)->costEstimate_, now)) {
        return {refusal(id, *refused)};
    }
    const auto upstream
        = upstreams_.choose(model->pool_, routing::SelectionRequest {.tier_ = (*requestClass)->tier_}, now);
    if (!upstream) {
        return {refusal(id, upstream.failure())};
    }
    const auto waiting = entry(AttemptId {.requestId_ = id, .number_ = 1}, chat.account_, **requestClass, now);
    const auto admission = upstreams_.enqueue(*upstream, waiting, "about \"" + chat.prompt_ + "\"", now);
    const auto queued = id + " queued at " + upstream->name_;
    return std::visit(Overloaded {[&](const scheduling::Queued & /*queued*/) -> Lines {
                                      return {queued};
                                  },
                          [&](const scheduling::QueuedAfterEviction &evicting) -> Lines {
                              return {queued, evicting.evicted_.requestId_ + " not_run: evicted by a higher tier"};
                          },
                          [&](const scheduling::Rejected &refused) -> Lines {
                              return {refusal(id, refused.failure_)};
                          }},
        admission);
}

auto LineFront::serve(const RunLine & /*run*/, TimePoint now) -> Lines
{
    auto lines = Lines();
    while (const auto ran = upstreams_.runNext(now)) {
        lines.push_back(answered(*ran));
    }
    return lines;
}

auto LineFront::serve(const UnknownLine &unknown, TimePoint /*now*/) -> Lines
{
    return {"expected: " + unknown.expected_};
}

auto LineFront::serve(const BookingLine &booking, TimePoint now) -> Lines
{
    const auto id = "r" + std::to_string(++requests_);
    const auto *route = manifest_->routeFor("POST", "/services/booking/bookings");
    if (route == nullptr) {
        return {refusal(id, Failure {.step_ = "classify", .reason_ = "the manifest has no booking route"})};
    }
    const auto requestClass = classify(booking.account_, route->class_);
    if (!requestClass) {
        return {refusal(id, requestClass.failure())};
    }
    if (const auto refused = limiter_.admit(booking.account_, (*requestClass)->costEstimate_, now)) {
        return {refusal(id, *refused)};
    }
    const auto upstream
        = upstreams_.choose(route->pool_, routing::SelectionRequest {.tier_ = (*requestClass)->tier_}, now);
    if (!upstream) {
        return {refusal(id, upstream.failure())};
    }
    const auto attempt = AttemptId {.requestId_ = id, .number_ = 1};
    auto machine = claims::ClaimStateMachine(claims::ClaimRequest {.key_ = booking.account_ + "/" + booking.key_,
        .router_ = NodeId {.name_ = "second_frontend", .incarnation_ = 1},
        .firstTarget_ = claims::DispatchTarget {.attempt_ = attempt, .agent_ = *upstream},
        .deadline_ = now + claimDeadline});
    return {claim(machine, entry(attempt, booking.account_, **requestClass, now), booking, now)};
}

auto LineFront::classify(const std::string &account, const std::string &requestClass) const
    -> Result<const manifest::RequestClass *>
{
    const auto *known = manifest_->accountNamed(account);
    const auto *found = manifest_->classNamed(requestClass);
    if (known == nullptr || found == nullptr || !manifest::isAllowed(*known, requestClass)) {
        return Failure {.step_ = "classify", .reason_ = "account " + account + " may not use class " + requestClass};
    }
    return found;
}

auto LineFront::entry(const AttemptId &attempt, const std::string &account, const manifest::RequestClass &requestClass,
    TimePoint now) const -> scheduling::QueueEntry
{
    return scheduling::QueueEntry {.attempt_ = attempt,
        .account_ = account,
        .accountWeight_ = static_cast<double>(manifest_->accountNamed(account)->weight_),
        .requestClass_ = requestClass.name_,
        .tier_ = requestClass.tier_,
        .costEstimate_ = requestClass.costEstimate_,
        .maximumWait_ = requestClass.maximumWait_,
        .enqueuedAt_ = now};
}

auto LineFront::claim(claims::ClaimStateMachine &machine, const scheduling::QueueEntry &entry,
    const BookingLine &booking, TimePoint now) -> std::string
{
    auto told = std::string();
    auto event = std::make_unique<const claims::Event>(claims::Start {});
    while (event) {
        const auto action = machine.step(*event, now);
        const auto outcome = perform(action, entry, booking, now, told);
        event = outcome ? std::make_unique<const claims::Event>(*outcome) : nullptr;
    }
    return entry.attempt_.requestId_ + " " + told;
}

auto LineFront::perform(const claims::Action &action, const scheduling::QueueEntry &entry, const BookingLine &booking,
    TimePoint now, std::string &told) -> std::optional<claims::Event>
{
    using Outcome = std::optional<claims::Event>;
    return std::visit(Overloaded {[&](const claims::DispatchAttempt &dispatching) -> Outcome {
                                      auto ended = dispatch(dispatching, entry, booking, now);
                                      if (const auto *finished = std::get_if<claims::AttemptFinished>(&ended)) {
                                          told = finished->response_.body_;
                                      }
                                      return ended;
                                  },
                          [&](const claims::ReturnStoredResponse &stored) -> Outcome {
                              told = "again: " + stored.response_.body_;
                              return claims::ResponseSent {};
                          },
                          [&](const claims::ReturnFailure &refused) -> Outcome {
                              told = toString(refused.failure_);
                              return claims::ResponseSent {};
                          },
                          // One line is served at a time, so no other attempt of the key is under way.
                          [](const claims::VoidAttempt & /*action*/) -> Outcome {
                              return claims::AttemptStateUnknown {.failure_
                                  = {.step_ = "ask", .reason_ = "not asked", .runState_ = RunState::MayHaveRun}};
                          },
                          [](const claims::AwaitAttemptEnd & /*action*/) -> Outcome {
                              return claims::DeadlineExceeded {};
                          },
                          [](const claims::AwaitEvent & /*action*/) -> Outcome {
                              return std::nullopt;
                          },
                          [](const claims::Done & /*action*/) -> Outcome {
                              return std::nullopt;
                          },
                          [&](const auto &storeAction) -> Outcome {
                              return claims_.perform(storeAction);
                          }},
        action);
}

auto LineFront::dispatch(const claims::DispatchAttempt &action, const scheduling::QueueEntry &entry,
    const BookingLine &booking, TimePoint now) -> claims::Event
{
    const auto admission = upstreams_.enqueue(action.agent_, entry, "booked \"" + booking.text_ + "\"", now);
    if (const auto *refused = std::get_if<scheduling::Rejected>(&admission)) {
        return claims::AttemptFailed {.failure_ = refused->failure_};
    }
    while (const auto ran = upstreams_.runNext(action.agent_, now)) {
        const auto whole = ran->attempt_ == action.attempt_ ? deliver(*ran) : std::nullopt;
        if (whole) {
            return claims::AttemptFinished {
                .response_ = {.status_ = statusCreated, .contentType_ = "text/plain", .body_ = *whole}};
        }
    }
    return claims::AttemptFailed {
        .failure_ = {.step_ = "dispatch", .reason_ = "no answer", .runState_ = RunState::MayHaveRun}};
}

} // namespace jasminewood::second_frontend
