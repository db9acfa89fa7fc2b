#include "line_frontend.h"

#include <optional>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/delivery/response_tracker.h"

namespace jasminewood::second_frontend
{

namespace
{

// Small, so that a response takes several frames.
constexpr std::size_t frameBytes = 8;
constexpr auto claimTimeout = Milliseconds(5'000);
constexpr std::uint16_t statusCreated = 201;

auto rejectionLine(const std::string &request, const Failure &failure) -> std::string
{
    return request + " " + toString(failure);
}

// Splits the output into frames, as a link does, and returns what the response tracker delivers. Returns nothing if the
// response is incomplete.
auto deliverOutput(const CompletedAttempt &completed) -> std::optional<std::string>
{
    auto sent = delivery::OutputBuffer();
    if (sent.append(completed.output_)) {
        return std::nullopt;
    }
    auto tracker = delivery::ResponseTracker();
    tracker.beginAttempt(completed.attempt_);
    for (auto offset = std::size_t(0); offset < completed.output_.size(); offset += frameBytes) {
        static_cast<void>(tracker.onFrame(completed.attempt_, offset, sent.outputFrom(offset).substr(0, frameBytes)));
    }
    const auto end = sent.trailer();
    const auto finished = tracker.onFinished(completed.attempt_, end.length_, end.digest_);
    return std::holds_alternative<delivery::Complete>(finished) ? std::optional(tracker.deliveredOutput())
                                                                : std::nullopt;
}

auto responseLine(const CompletedAttempt &completed) -> std::string
{
    const auto delivered = deliverOutput(completed);
    return completed.attempt_.requestId_ + " answered by " + completed.upstream_.name_ + ": "
        + delivered.value_or("a broken answer");
}

} // namespace

LineFrontend::LineFrontend(std::shared_ptr<const manifest::Manifest> manifest, TimePoint now)
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

auto LineFrontend::serve(const std::string &line, TimePoint now) -> Lines
{
    return std::visit(
        [&](const auto &request) -> Lines {
            return serve(request, now);
        },
        parseLine(line));
}

auto LineFrontend::serve(const ChatLine &chat, TimePoint now) -> Lines
{
    const auto id = "r" + std::to_string(++requestCount_);
    const auto requestClass = classify(chat.account_, chat.requestClass_);
    if (!requestClass) {
        return {rejectionLine(id, requestClass.failure())};
    }
    const auto *model = manifest_->modelNamed(chat.model_);
    if (model == nullptr || !manifest::isAllowed(**requestClass, chat.model_, "")) {
        return {rejectionLine(id, Failure {.step_ = "classify", .reason_ = "unknown model " + chat.model_})};
    }
    if (const auto rejection = limiter_.admit(chat.account_, (*requestClass)->costEstimate_, now)) {
        return {rejectionLine(id, *rejection)};
    }
    const auto upstream
        = upstreams_.choose(model->pool_, routing::SelectionRequest {.tier_ = (*requestClass)->tier_}, now);
    if (!upstream) {
        return {rejectionLine(id, upstream.failure())};
    }
    const auto entry = makeQueueEntry(AttemptId {.requestId_ = id, .number_ = 1}, chat.account_, **requestClass, now);
    const auto admission = upstreams_.enqueue(*upstream, entry, "about \"" + chat.prompt_ + "\"", now);
    const auto queued = id + " queued at " + upstream->name_;
    return std::visit(Overloaded {[&](const scheduling::Queued & /*queued*/) -> Lines {
                                      return {queued};
                                  },
                          [&](const scheduling::QueuedAfterEviction &eviction) -> Lines {
                              return {queued, eviction.evicted_.requestId_ + " not_run: evicted by a higher tier"};
                          },
                          [&](const scheduling::Rejected &rejection) -> Lines {
                              return {rejectionLine(id, rejection.failure_)};
                          }},
        admission);
}

auto LineFrontend::serve(const RunLine & /*run*/, TimePoint now) -> Lines
{
    auto lines = Lines();
    while (const auto completed = upstreams_.runNext(now)) {
        lines.push_back(responseLine(*completed));
    }
    return lines;
}

auto LineFrontend::serve(const MalformedLine &malformed, TimePoint /*now*/) -> Lines
{
    return {"expected: " + malformed.expected_};
}

auto LineFrontend::serve(const BookingLine &booking, TimePoint now) -> Lines
{
    const auto id = "r" + std::to_string(++requestCount_);
    const auto *route = manifest_->routeFor("POST", "/services/booking/bookings");
    if (route == nullptr) {
        return {rejectionLine(id, Failure {.step_ = "classify", .reason_ = "the manifest has no booking route"})};
    }
    const auto requestClass = classify(booking.account_, route->class_);
    if (!requestClass) {
        return {rejectionLine(id, requestClass.failure())};
    }
    if (const auto rejection = limiter_.admit(booking.account_, (*requestClass)->costEstimate_, now)) {
        return {rejectionLine(id, *rejection)};
    }
    const auto upstream
        = upstreams_.choose(route->pool_, routing::SelectionRequest {.tier_ = (*requestClass)->tier_}, now);
    if (!upstream) {
        return {rejectionLine(id, upstream.failure())};
    }
    const auto attempt = AttemptId {.requestId_ = id, .number_ = 1};
    auto machine = claims::ClaimStateMachine(claims::ClaimRequest {.key_ = booking.account_ + "/" + booking.key_,
        .router_ = NodeId {.name_ = "second_frontend", .incarnation_ = 1},
        .firstTarget_ = claims::DispatchTarget {.attempt_ = attempt, .agent_ = *upstream},
        .deadline_ = now + claimTimeout});
    return {runClaim(machine, makeQueueEntry(attempt, booking.account_, **requestClass, now), booking, now)};
}

auto LineFrontend::classify(const std::string &account, const std::string &requestClass) const
    -> Result<const manifest::RequestClass *>
{
    const auto *foundAccount = manifest_->accountNamed(account);
    const auto *foundClass = manifest_->classNamed(requestClass);
    if (foundAccount == nullptr || foundClass == nullptr || !manifest::isAllowed(*foundAccount, requestClass)) {
        return Failure {.step_ = "classify", .reason_ = "account " + account + " may not use class " + requestClass};
    }
    return foundClass;
}

auto LineFrontend::makeQueueEntry(const AttemptId &attempt, const std::string &account,
    const manifest::RequestClass &requestClass, TimePoint now) const -> scheduling::QueueEntry
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

auto LineFrontend::runClaim(claims::ClaimStateMachine &machine, const scheduling::QueueEntry &entry,
    const BookingLine &booking, TimePoint now) -> std::string
{
    auto responseText = std::string();
    auto event = std::make_unique<const claims::Event>(claims::Start {});
    while (event) {
        const auto action = machine.step(*event, now);
        const auto outcome = perform(action, entry, booking, now, responseText);
        event = outcome ? std::make_unique<const claims::Event>(*outcome) : nullptr;
    }
    return entry.attempt_.requestId_ + " " + responseText;
}

auto LineFrontend::perform(const claims::Action &action, const scheduling::QueueEntry &entry,
    const BookingLine &booking, TimePoint now, std::string &responseText) -> std::optional<claims::Event>
{
    using Outcome = std::optional<claims::Event>;
    return std::visit(Overloaded {[&](const claims::DispatchAttempt &dispatchAttempt) -> Outcome {
                                      auto ended = dispatch(dispatchAttempt, entry, booking, now);
                                      if (const auto *finished = std::get_if<claims::AttemptFinished>(&ended)) {
                                          responseText = finished->response_.body_;
                                      }
                                      return ended;
                                  },
                          [&](const claims::ReturnStoredResponse &stored) -> Outcome {
                              responseText = "again: " + stored.response_.body_;
                              return claims::ResponseSent {};
                          },
                          [&](const claims::ReturnFailure &returned) -> Outcome {
                              responseText = toString(returned.failure_);
                              return claims::ResponseSent {};
                          },
                          // One line is served at a time, so no other attempt for the key is in flight.
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

auto LineFrontend::dispatch(const claims::DispatchAttempt &action, const scheduling::QueueEntry &entry,
    const BookingLine &booking, TimePoint now) -> claims::Event
{
    const auto admission = upstreams_.enqueue(action.agent_, entry, "booked \"" + booking.text_ + "\"", now);
    if (const auto *rejection = std::get_if<scheduling::Rejected>(&admission)) {
        return claims::AttemptFailed {.failure_ = rejection->failure_};
    }
    while (const auto completed = upstreams_.runNext(action.agent_, now)) {
        const auto delivered = completed->attempt_ == action.attempt_ ? deliverOutput(*completed) : std::nullopt;
        if (delivered) {
            return claims::AttemptFinished {
                .response_ = {.status_ = statusCreated, .contentType_ = "text/plain", .body_ = *delivered}};
        }
    }
    return claims::AttemptFailed {
        .failure_ = {.step_ = "dispatch", .reason_ = "no answer", .runState_ = RunState::MayHaveRun}};
}

} // namespace jasminewood::second_frontend
