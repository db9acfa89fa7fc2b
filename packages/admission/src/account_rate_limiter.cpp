#include "jasminewood/admission/account_rate_limiter.h"

#include <algorithm>
#include <chrono>

#include "account_token_buckets.h"

namespace jasminewood::admission
{

namespace
{

// After its start a router hears totals that the others gathered long before. Within this time a first total that is
// too large to be recent is taken as the base and not debited.
constexpr Milliseconds warmUp = Milliseconds(1'000);

// What is known of one account at one other router.
struct RemoteUsage
{
    std::uint64_t requests_ = 0;
    std::uint64_t work_ = 0;
    TimePoint changedAt_;
};

auto increase(std::uint64_t &known, std::uint64_t total) -> double
{
    const auto before = known;
    known = std::max(known, total);
    return static_cast<double>(known - before);
}

// Returns what to debit for the first total heard of a router. It may be old, and no more than the recent part, which
// is at most the unknown usage, must be debited. Debiting that much for every router would refuse each busy account for
// seconds after a restart of this router, so that a total that is certainly old is not debited while it warms up.
auto firstDebit(double total, double unknownUsage, bool warmingUp) -> double
{
    return total <= unknownUsage ? total : warmingUp ? 0 : unknownUsage;
}

} // namespace

struct AccountRateLimiter::Account
{
    internal::AccountTokenBuckets requests_;
    internal::AccountTokenBuckets work_;
    std::uint64_t admittedRequests_ = 0;
    // Admitted work after corrections; published as its maximum so far, because totals never decrease.
    std::int64_t netWork_ = 0;
    std::uint64_t publishedWork_ = 0;
    // The totals changed since the last call of usage().
    bool changed_ = false;
    std::optional<TimePoint> changedAt_;
    std::map<NodeId, RemoteUsage> remotes_;

    auto addWork(std::int64_t amount) -> void
    {
        netWork_ += amount;
        publishedWork_ = std::max(publishedWork_, static_cast<std::uint64_t>(std::max<std::int64_t>(netWork_, 0)));
        work_.debitOwn(static_cast<double>(amount));
        changed_ = true;
    }
};

auto overshootBound(double ratePerSecond, std::uint32_t routers) -> double
{
    const auto burst = ratePerSecond * std::chrono::duration<double>(burstWindow).count();
    const auto unknown = ratePerSecond * std::chrono::duration<double>(maximumUsageDelay).count();
    return (routers - 1) * (burst / routers + unknown);
}

AccountRateLimiter::AccountRateLimiter(TimePoint now)
    : startedAt_(now)
    , sweptAt_(now)
{
}

AccountRateLimiter::AccountRateLimiter(AccountRateLimiter &&other) noexcept = default;

AccountRateLimiter::~AccountRateLimiter() = default;

auto AccountRateLimiter::configure(const AccountLimits &limits, std::uint32_t routers, TimePoint now) -> void
{
    const auto count = std::max<std::uint32_t>(routers, 1);
    std::erase_if(accounts_, [this, &limits](const auto &entry) {
        const auto removed = limits.count(entry.first) == 0;
        remoteEntries_ -= removed ? entry.second->remotes_.size() : 0;
        return removed;
    });
    for (const auto &[name, limit] : limits) {
        const auto found = accounts_.find(name);
        if (found != accounts_.end()) {
            found->second->requests_.configure(limit.requestsPerSecond_, count);
            found->second->work_.configure(limit.workPerSecond_, count);
            continue;
        }
        accounts_.emplace(name,
            std::make_unique<Account>(
                Account {.requests_ = internal::AccountTokenBuckets(limit.requestsPerSecond_, count, now),
                    .work_ = internal::AccountTokenBuckets(limit.workPerSecond_, count, now)}));
    }
}

auto AccountRateLimiter::admit(const std::string &account, std::uint32_t cost, TimePoint now) -> Status
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    auto &state = *found->second;
    const auto forRequests = state.requests_.wait(1, now);
    const auto forWork = state.work_.wait(cost, now);
    if (forRequests || forWork) {
        return Failure {.step_ = "admit",
            .reason_ = std::string("the account's limit of ") + (forRequests ? "requests" : "work") + " is reached",
            .runState_ = RunState::NotRun,
            .retryAfter_ = std::max(forRequests.value_or(Milliseconds(0)), forWork.value_or(Milliseconds(0)))};
    }
    state.requests_.debitOwn(1);
    ++state.admittedRequests_;
    state.addWork(cost);
    return std::nullopt;
}

auto AccountRateLimiter::adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        found->second->addWork(std::int64_t(actual) - std::int64_t(estimated));
    }
}

auto AccountRateLimiter::collectUsage(TimePoint now) -> UsageTotals
{
    auto totals = UsageTotals();
    for (const auto &[name, account] : accounts_) {
        if (account->changed_) {
            account->changed_ = false;
            account->changedAt_ = now;
        }
        if (account->changedAt_ && now - *account->changedAt_ <= usageResendTime) {
            totals.emplace(
                name, AccountUsage {.requests_ = account->admittedRequests_, .work_ = account->publishedWork_});
        }
    }
    return totals;
}

auto AccountRateLimiter::mergeUsage(const NodeId &router, const UsageTotals &totals, TimePoint now) -> void
{
    forgetIdle(now);
    for (const auto &[name, total] : totals) {
        const auto found = accounts_.find(name);
        if (found != accounts_.end()) {
            mergeAccount(*found->second, router, total, now);
        }
    }
}

auto AccountRateLimiter::remoteEntryCount() const -> std::size_t
{
    return remoteEntries_;
}

auto AccountRateLimiter::mergeAccount(Account &account, const NodeId &router, const AccountUsage &totals, TimePoint now)
    -> void
{
    auto remote = account.remotes_.find(router);
    const auto first = remote == account.remotes_.end();
    if (first) {
        if (remoteEntries_ >= maximumRemoteEntries) {
            return;
        }
        ++remoteEntries_;
        remote = account.remotes_.emplace(router, RemoteUsage {.changedAt_ = now}).first;
    }
    auto requests = increase(remote->second.requests_, totals.requests_);
    auto work = increase(remote->second.work_, totals.work_);
    if (requests > 0 || work > 0) {
        remote->second.changedAt_ = now;
    }
    if (first) {
        const auto warmingUp = now - startedAt_ < warmUp;
        requests = firstDebit(requests, account.requests_.unknownUsage(), warmingUp);
        work = firstDebit(work, account.work_.unknownUsage(), warmingUp);
    }
    account.requests_.debitRemote(requests, now);
    account.work_.debitRemote(work, now);
}

auto AccountRateLimiter::forgetIdle(TimePoint now) -> void
{
    if (now - sweptAt_ < remoteUsageTtl / 2) {
        return;
    }
    sweptAt_ = now;
    for (auto &[name, account] : accounts_) {
        remoteEntries_ -= std::erase_if(account->remotes_, [now](const auto &entry) {
            return now - entry.second.changedAt_ > remoteUsageTtl;
        });
    }
}

} // namespace jasminewood::admission
