#include "jasminewood/admission/account_rate_limiter.h"

#include <algorithm>
#include <chrono>

#include "account_token_buckets.h"

namespace jasminewood::admission
{

namespace
{

// After its start a router receives totals that the others accumulated long before. During this time a first total that
// is too large to be recent only sets the baseline and is not debited.
constexpr Milliseconds warmUpTime = Milliseconds(1'000);

// The last reported usage of one account at one other router.
struct RemoteUsage
{
    std::uint64_t requests_ = 0;
    std::uint64_t work_ = 0;
    TimePoint changedAt_;
};

// Raises the known total to the reported one if that is larger, and returns the increase.
auto raiseTotal(std::uint64_t &knownTotal, std::uint64_t reportedTotal) -> double
{
    const auto before = knownTotal;
    knownTotal = std::max(knownTotal, reportedTotal);
    return static_cast<double>(knownTotal - before);
}

// Returns the debit for the first total received from a router. The total may be old; only its recent part, at most
// maximumUnreported, may be debited. If that were debited for every router, each busy account would be rejected for
// seconds after a restart of this router. Therefore a total that is certainly old is not debited during the warm-up.
auto initialDebit(double total, double maximumUnreported, bool warmingUp) -> double
{
    return total <= maximumUnreported ? total : warmingUp ? 0 : maximumUnreported;
}

} // namespace

struct AccountRateLimiter::AccountState
{
    internal::AccountTokenBuckets requestBuckets_;
    internal::AccountTokenBuckets workBuckets_;
    std::uint64_t admittedRequests_ = 0;
    // Admitted work after corrections. The maximum so far is published, because totals must not decrease.
    std::int64_t correctedWork_ = 0;
    std::uint64_t publishedWork_ = 0;
    // True if the totals changed since the last call of collectUsage().
    bool changedSinceReport_ = false;
    std::optional<TimePoint> changeReportedAt_;
    std::map<NodeId, RemoteUsage> remoteUsage_;

    auto addWork(std::int64_t amount) -> void
    {
        correctedWork_ += amount;
        publishedWork_
            = std::max(publishedWork_, static_cast<std::uint64_t>(std::max<std::int64_t>(correctedWork_, 0)));
        workBuckets_.debitLocalUsage(static_cast<double>(amount));
        changedSinceReport_ = true;
    }
};

auto overshootBound(double ratePerSecond, std::uint32_t routers) -> double
{
    const auto burst = ratePerSecond * std::chrono::duration<double>(burstWindow).count();
    const auto unreported = ratePerSecond * std::chrono::duration<double>(maximumUsageDelay).count();
    return (routers - 1) * (burst / routers + unreported);
}

AccountRateLimiter::AccountRateLimiter(TimePoint now)
    : startedAt_(now)
    , lastExpiryAt_(now)
{
}

AccountRateLimiter::AccountRateLimiter(AccountRateLimiter &&other) noexcept = default;

AccountRateLimiter::~AccountRateLimiter() = default;

auto AccountRateLimiter::configure(const AccountLimits &limits, std::uint32_t routers, TimePoint now) -> void
{
    const auto routerCount = std::max<std::uint32_t>(routers, 1);
    std::erase_if(accounts_, [this, &limits](const auto &entry) {
        const auto removed = limits.count(entry.first) == 0;
        remoteEntries_ -= removed ? entry.second->remoteUsage_.size() : 0;
        return removed;
    });
    for (const auto &[name, limit] : limits) {
        const auto found = accounts_.find(name);
        if (found != accounts_.end()) {
            found->second->requestBuckets_.configure(limit.requestsPerSecond_, routerCount);
            found->second->workBuckets_.configure(limit.workPerSecond_, routerCount);
            continue;
        }
        accounts_.emplace(name,
            std::make_unique<AccountState>(AccountState {
                .requestBuckets_ = internal::AccountTokenBuckets(limit.requestsPerSecond_, routerCount, now),
                .workBuckets_ = internal::AccountTokenBuckets(limit.workPerSecond_, routerCount, now)}));
    }
}

auto AccountRateLimiter::admit(const std::string &account, std::uint32_t cost, TimePoint now) -> Status
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    auto &state = *found->second;
    const auto requestWait = state.requestBuckets_.timeUntilAvailable(1, now);
    const auto workWait = state.workBuckets_.timeUntilAvailable(cost, now);
    if (requestWait || workWait) {
        return Failure {.step_ = "admit",
            .reason_ = std::string("the account's limit of ") + (requestWait ? "requests" : "work") + " is reached",
            .runState_ = RunState::NotRun,
            .retryAfter_ = std::max(requestWait.value_or(Milliseconds(0)), workWait.value_or(Milliseconds(0)))};
    }
    state.requestBuckets_.debitLocalUsage(1);
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
        if (account->changedSinceReport_) {
            account->changedSinceReport_ = false;
            account->changeReportedAt_ = now;
        }
        if (account->changeReportedAt_ && now - *account->changeReportedAt_ <= usageResendTime) {
            totals.emplace(
                name, AccountUsage {.requests_ = account->admittedRequests_, .work_ = account->publishedWork_});
        }
    }
    return totals;
}

auto AccountRateLimiter::mergeUsage(const NodeId &router, const UsageTotals &totals, TimePoint now) -> void
{
    expireRemoteUsage(now);
    for (const auto &[name, total] : totals) {
        const auto found = accounts_.find(name);
        if (found != accounts_.end()) {
            mergeAccountUsage(*found->second, router, total, now);
        }
    }
}

auto AccountRateLimiter::remoteEntryCount() const -> std::size_t
{
    return remoteEntries_;
}

auto AccountRateLimiter::mergeAccountUsage(
    AccountState &account, const NodeId &router, const AccountUsage &totals, TimePoint now) -> void
{
    auto remote = account.remoteUsage_.find(router);
    const auto isFirstReport = remote == account.remoteUsage_.end();
    if (isFirstReport) {
        if (remoteEntries_ >= maximumRemoteEntries) {
            return;
        }
        ++remoteEntries_;
        remote = account.remoteUsage_.emplace(router, RemoteUsage {.changedAt_ = now}).first;
    }
    auto requests = raiseTotal(remote->second.requests_, totals.requests_);
    auto work = raiseTotal(remote->second.work_, totals.work_);
    if (requests > 0 || work > 0) {
        remote->second.changedAt_ = now;
    }
    if (isFirstReport) {
        const auto warmingUp = now - startedAt_ < warmUpTime;
        requests = initialDebit(requests, account.requestBuckets_.maximumUnreportedUsage(), warmingUp);
        work = initialDebit(work, account.workBuckets_.maximumUnreportedUsage(), warmingUp);
    }
    account.requestBuckets_.debitRemoteUsage(requests, now);
    account.workBuckets_.debitRemoteUsage(work, now);
}

auto AccountRateLimiter::expireRemoteUsage(TimePoint now) -> void
{
    if (now - lastExpiryAt_ < remoteUsageTtl / 2) {
        return;
    }
    lastExpiryAt_ = now;
    for (auto &[name, account] : accounts_) {
        remoteEntries_ -= std::erase_if(account->remoteUsage_, [now](const auto &entry) {
            return now - entry.second.changedAt_ > remoteUsageTtl;
        });
    }
}

} // namespace jasminewood::admission
