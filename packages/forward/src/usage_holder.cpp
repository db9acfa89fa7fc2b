#include "jasminewood/forward/usage_holder.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::forward
{

namespace
{

// How often the holder looks whether a window is due.
constexpr Milliseconds holderInterval = Milliseconds(200);
constexpr Milliseconds idleInterval = Milliseconds(1'000);
// The holder leaves the store this time after a write whose outcome is not known.
constexpr Milliseconds storeRetryInterval = Milliseconds(500);
// A call needs this time before the lease may end, otherwise it waits for the renewal.
constexpr Milliseconds minimumCallTime = Milliseconds(300);
constexpr std::size_t loggedAccounts = 20;
constexpr std::size_t loggedSources = 40;

auto accountsText(const duties::AccountCounts &counts) -> std::string
{
    auto text = std::string();
    auto listed = std::size_t(0);
    for (const auto &[account, count] : counts) {
        if (++listed > loggedAccounts) {
            return text + " ...";
        }
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", account, count);
    }
    return text;
}

auto sourcesText(const std::vector<duties::SourceState> &sources) -> std::string
{
    auto text = std::string();
    auto listed = std::size_t(0);
    for (const auto &source : sources) {
        if (++listed > loggedSources) {
            return text + " ...";
        }
        text += fmt::format("{}{}={}{}@{}ms", text.empty() ? "" : " ", source.router_.name_, source.total_,
            source.complete_ ? "" : "?", source.age_.count());
    }
    return text;
}

} // namespace

UsageHolder::UsageHolder(
    DutyStore store, std::shared_ptr<node::Environment> environment, const UsageHolderOptions &options, UsageView view)
    : store_(std::move(store))
    , environment_(std::move(environment))
    , options_(options)
    , view_(std::move(view))
    , lease_(store_, environment_,
          DutyLeaseOptions {.duty_ = usageDuty,
              .keyPrefix_ = options.keyPrefix_,
              .leaseTime_ = options.leaseTime_,
              .seed_ = options.seed_},
          view_.routers_, view_.time_)
{
}

auto UsageHolder::keys() -> DutyKeys &
{
    return lease_.keys();
}

auto UsageHolder::isHolder() const -> bool
{
    return lease_.permit().has_value();
}

auto UsageHolder::holderName() const -> std::optional<std::string>
{
    const auto holder = lease_.holder();
    return holder ? std::optional(holder->leader_.router_.name_) : std::nullopt;
}

auto UsageHolder::windowsKey() const -> std::string
{
    return options_.keyPrefix_ + "windows";
}

auto UsageHolder::ledger() const -> duties::UsageLedger
{
    const auto lock = std::scoped_lock(mutex_);
    return ledger_;
}

auto UsageHolder::countWindow(const std::string &result) const -> void
{
    environment_->metrics()
        .counter("jasminewood_usage_windows_total", "Windows of usage reporting that this router fixed or reported",
            {{"result", result}})
        .add();
}

auto UsageHolder::advance() -> Milliseconds
{
    lease_.advance();
    updateLedger();
    const auto permit = lease_.permit();
    if (permit) {
        fixWindow(*permit);
    }
    const auto untilNext = std::chrono::ceil<Milliseconds>(lease_.nextAt() - store_.now_());
    return std::clamp(untilNext, Milliseconds(0), permit ? holderInterval : idleInterval);
}

auto UsageHolder::resign() -> void
{
    // A call without a response may still be executed. Its holder's lease then ends by itself, before the next holder
    // calls.
    const auto isCallOpen = [this] {
        const auto lock = std::scoped_lock(mutex_);
        return unansweredAt_ && store_.now_() - *unansweredAt_ < options_.leaseTime_;
    }();
    lease_.resign(!isCallOpen);
}

auto UsageHolder::firstAllowedWindow() const -> duties::WindowNumber
{
    const auto era = lease_.keys().era();
    const auto knownFor = era ? store_.now_() - era->learnedAt_ : Clock::duration::zero();
    const auto learnedAt = view_.time_() - std::chrono::ceil<Milliseconds>(knownFor);
    return duties::windowAt(learnedAt, options_.schedule_.windowLength_);
}

auto UsageHolder::confirmKeys() -> bool
{
    if (!readKeysFrom_) {
        return true;
    }
    if (store_.now_() < *readKeysFrom_) {
        return false;
    }
    if (const auto failure = lease_.readKeys()) {
        readKeysFrom_ = store_.now_() + storeRetryInterval;
        return false;
    }
    readKeysFrom_.reset();
    updateLedger();
    return true;
}

auto UsageHolder::fixWindow(const DutyPermit &permit) -> void
{
    if (std::exchange(heldToken_, permit.fencingToken_) != permit.fencingToken_) {
        heldSince_ = view_.time_();
    }
    if (!confirmKeys()) {
        return;
    }
    const auto &schedule = options_.schedule_;
    const auto firstAllowed = firstAllowedWindow();
    const auto time = view_.time_();
    const auto number = duties::nextWindow(schedule, ledger(), firstAllowed, time);
    const auto summary = view_.summary_(number);
    const auto decision = duties::decideFix(schedule,
        {.firstAllowed_ = firstAllowed, .heldSince_ = heldSince_, .routers_ = view_.routers_()}, number, summary, time);
    if (std::holds_alternative<duties::FixWindow>(decision)) {
        writeWindow(permit, number, summary);
    }
}

auto UsageHolder::updateLedger() -> void
{
    const auto stored = lease_.keys().find(windowsKey());
    if (!stored || stored->value_ == readValue_) {
        return;
    }
    readValue_ = stored->value_;
    const auto parsed = duties::parseLedger(stored->value_);
    if (!parsed) {
        environment_->log().warning(
            "the windows of usage reporting in the store are malformed", observe::fieldsOf(parsed.failure()));
        return;
    }
    auto isContradiction = false;
    {
        const auto lock = std::scoped_lock(mutex_);
        isContradiction = duties::contradict(ledger_, *parsed);
        ledger_ = ledger_.merged(*parsed);
    }
    if (isContradiction) {
        environment_->log().error("a window of usage reporting was fixed twice with different counts");
    }
}

auto UsageHolder::writeWindow(
    const DutyPermit &permit, duties::WindowNumber number, const duties::WindowSummary &summary) -> void
{
    const auto ownRevision = lease_.ownRevision(permit);
    if (!ownRevision) {
        // The copy of the store's keys does not show the key of this holder yet.
        readKeysFrom_ = store_.now_() + storeRetryInterval;
        return;
    }
    const auto value = duties::formatLedger(ledger().withFixed(number, summary.counts_));
    const auto written
        = store_.writeAll_({.conditions_ = {{.key_ = windowsKey(), .revision_ = lease_.keys().revisionOf(windowsKey())},
                                {.key_ = lease_.holderKey(), .revision_ = *ownRevision}},
            .puts_ = {{.key_ = windowsKey(), .value_ = value}}});
    if (!written || !written->written_) {
        // A write without a response may still be performed; only the store can tell.
        readKeysFrom_ = store_.now_() + storeRetryInterval;
        countWindow("not_fixed");
        environment_->log().warning("a window of usage reporting could not be fixed",
            observe::concatenate({{"window", std::int64_t(number)}},
                written ? observe::Fields {{"reason", "the keys of the duty have changed"}}
                        : observe::fieldsOf(written.failure())));
        return;
    }
    lease_.keys().applyWrite(windowsKey(), value, written->revision_);
    updateLedger();
    countWindow("fixed");
    logWindow(number, summary);
}

auto UsageHolder::logWindow(duties::WindowNumber number, const duties::WindowSummary &summary) const -> void
{
    environment_->log().info("fixed a window of usage reporting",
        {{"window", std::int64_t(number)}, {"requests", std::int64_t(duties::totalOf(summary.counts_))},
            {"accounts", std::int64_t(summary.counts_.size())}, {"counts", accountsText(summary.counts_)},
            {"sources", sourcesText(summary.sources_)}});
}

auto UsageHolder::nextCall() -> std::optional<duties::UsageCall>
{
    if (callPause().count() > 0) {
        return std::nullopt;
    }
    const auto decision = duties::decideSend(options_.schedule_, ledger(), view_.time_());
    const auto *report = std::get_if<duties::SendReport>(&decision);
    // Checked last, right before the call.
    const auto permit = lease_.permit();
    if (report == nullptr || !permit) {
        return std::nullopt;
    }
    const auto remaining = std::chrono::floor<Milliseconds>(permit->until_ - store_.now_());
    return remaining < minimumCallTime
        ? std::nullopt
        : std::optional(duties::UsageCall {.holder_ = environment_->identity().node_.name_,
            .fencingToken_ = permit->fencingToken_,
            .number_ = report->number_,
            .counts_ = report->counts_,
            .timeout_ = std::min(options_.callTimeout_, remaining)});
}

auto UsageHolder::callPause() const -> Milliseconds
{
    const auto lock = std::scoped_lock(mutex_);
    return std::chrono::ceil<Milliseconds>(std::max(callFrom_ - store_.now_(), Clock::duration::zero()));
}

auto UsageHolder::recordReply(const duties::UsageCall &call, const Result<duties::UsageReply> &reply) -> void
{
    const auto isAccepted = reply && std::holds_alternative<duties::UsageAccepted>(*reply);
    {
        const auto lock = std::scoped_lock(mutex_);
        callFrom_ = store_.now_() + (isAccepted ? Milliseconds(0) : options_.schedule_.retryInterval_);
    }
    const auto fields
        = observe::Fields {{"window", std::int64_t(call.number_)}, {"fencing_token", std::int64_t(call.fencingToken_)}};
    if (!reply) {
        {
            const auto lock = std::scoped_lock(mutex_);
            unansweredAt_ = store_.now_();
        }
        countWindow("no_response");
        environment_->log().warning(
            "a report of usage got no response", observe::concatenate(fields, observe::fieldsOf(reply.failure())));
        return;
    }
    std::visit(Overloaded {[this, &call, &fields](const duties::UsageAccepted & /*reply*/) {
                               {
                                   const auto lock = std::scoped_lock(mutex_);
                                   ledger_ = ledger_.withAccepted(call.number_);
                               }
                               countWindow("accepted");
                               environment_->log().info("the platform accepted a report of usage", fields);
                           },
                   [this, &call, &fields](const duties::TokenRefused & /*reply*/) {
                       lease_.recordRefusal(call.fencingToken_);
                       countWindow("refused");
                       environment_->log().warning(
                           "the platform refused a report of usage: it has seen a higher fencing token", fields);
                   },
                   [this, &fields](const duties::TooManyCalls & /*reply*/) {
                       countWindow("too_many_calls");
                       environment_->log().warning("the platform refused a report of usage: too many calls", fields);
                   },
                   [this, &fields](const duties::UnexpectedStatus &unexpected) {
                       countWindow("unexpected_status");
                       environment_->log().warning("the platform refused a report of usage",
                           observe::concatenate(fields, {{"status", unexpected.status_}}));
                   }},
        *reply);
}

} // namespace jasminewood::forward
