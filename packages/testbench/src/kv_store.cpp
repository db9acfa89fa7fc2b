#include "kv_store.h"

#include <algorithm>
#include <utility>

namespace jasminewood::testbench::internal
{

namespace
{

// Older events are compacted to bound the memory of a long run.
constexpr std::size_t maximumHistoryEvents = 65'536;
// Interval at which a watch without events checks whether its caller has disconnected, since nothing else wakes it.
constexpr auto callerCheckInterval = std::chrono::seconds(5);

auto makeFailure(const std::string &reason) -> Failure
{
    return {.step_ = "kv", .reason_ = reason};
}

template <typename Value>
auto satisfies(KvCompareOperator compareOperator, const Value &left, const Value &right) -> bool
{
    switch (compareOperator) {
    case KvCompareOperator::Greater:
        return left > right;
    case KvCompareOperator::Less:
        return left < right;
    case KvCompareOperator::NotEqual:
        return left != right;
    case KvCompareOperator::Equal:
        break;
    }
    return left == right;
}

} // namespace

// Executes operations. The outcome of the compares of each transaction, nested ones included, was evaluated beforehand
// and is listed in the order of execution.
struct KvStore::OperationExecutor
{
    KvStore &store_;
    const std::vector<bool> &compareResults_;
    std::size_t next_ = 0;

    auto operator()(const KvRangeRequest &range) -> KvResponse
    {
        auto found = std::vector<KvEntry>();
        auto count = std::int64_t(0);
        for (auto position = store_.entries_.lower_bound(range.keyRange_.start_); position != store_.entries_.end();
             ++position) {
            if (!contains(range.keyRange_, position->first)) {
                break;
            }
            if (range.limit_ == 0 || count < range.limit_) {
                found.push_back(*position->second);
            }
            ++count;
        }
        return KvRangeResponse {.entries_ = std::move(found), .count_ = count};
    }

    auto operator()(const KvPutRequest &put) -> KvResponse
    {
        store_.write(put);
        return KvPutResponse {};
    }

    auto operator()(const KvDeleteRequest &request) -> KvResponse
    {
        return KvDeleteResponse {.deleted_ = store_.erase(request.keyRange_)};
    }

    auto operator()(const std::shared_ptr<const KvTransaction> &transaction) -> KvResponse
    {
        const bool succeeded = compareResults_[next_++];
        auto responses = std::vector<KvResponse>();
        for (const auto &operation : succeeded ? transaction->success_ : transaction->failure_) {
            responses.push_back(std::visit(*this, operation));
        }
        return std::make_shared<const KvTransactionResponse>(
            KvTransactionResponse {.succeeded_ = succeeded, .responses_ = std::move(responses)});
    }
};

auto KvStore::apply(const KvOperation &operation) -> Result<KvOutcome>
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    if (const auto failure = validate(operation)) {
        return *failure;
    }
    auto compareResults = std::vector<bool>();
    if (const auto *transaction = std::get_if<std::shared_ptr<const KvTransaction>>(&operation)) {
        evaluateCompares(**transaction, compareResults);
    }
    auto executor = OperationExecutor {.store_ = *this, .compareResults_ = compareResults};
    auto response = std::visit(executor, operation);
    commitWrite();
    return KvOutcome {.revision_ = revision_, .response_ = std::move(response)};
}

auto KvStore::validate(const KvOperation &operation) const -> Status
{
    auto keys = std::set<std::string>();
    return collectPuts({operation}, keys);
}

auto KvStore::collectPuts(const std::vector<KvOperation> &operations, std::set<std::string> &keys) const -> Status
{
    for (const auto &operation : operations) {
        auto added = std::set<std::string>();
        if (const auto *put = std::get_if<KvPutRequest>(&operation)) {
            if (put->lease_ != 0 && leases_.count(put->lease_) == 0) {
                return makeFailure("etcdserver: requested lease not found");
            }
            added.insert(put->key_);
        }
        if (const auto *nested = std::get_if<std::shared_ptr<const KvTransaction>>(&operation)) {
            // Only one branch is executed, so both may put the same key.
            for (const auto *branch : {&(*nested)->success_, &(*nested)->failure_}) {
                auto branchKeys = std::set<std::string>();
                if (const auto failure = collectPuts(*branch, branchKeys)) {
                    return failure;
                }
                added.merge(branchKeys);
            }
        }
        keys.merge(added);
        if (!added.empty()) {
            return makeFailure("etcdserver: duplicate key given in txn request");
        }
    }
    return std::nullopt;
}

auto KvStore::isSatisfied(const KvCompare &compare) const -> bool
{
    const auto found = entries_.find(compare.key_);
    const auto absent = found == entries_.end();
    switch (compare.target_) {
    case KvCompareTarget::Value:
        return !absent && satisfies(compare.operator_, found->second->value_, compare.value_);
    case KvCompareTarget::CreateRevision:
        return satisfies(compare.operator_, absent ? 0 : found->second->createRevision_, compare.number_);
    case KvCompareTarget::ModRevision:
        return satisfies(compare.operator_, absent ? 0 : found->second->modRevision_, compare.number_);
    case KvCompareTarget::Version:
        break;
    }
    return satisfies(compare.operator_, absent ? 0 : found->second->version_, compare.number_);
}

auto KvStore::evaluateCompares(const KvTransaction &transaction, std::vector<bool> &compareResults) const -> void
{
    const auto succeeded
        = std::all_of(transaction.compares_.begin(), transaction.compares_.end(), [this](const KvCompare &compare) {
              return isSatisfied(compare);
          });
    compareResults.push_back(succeeded);
    for (const auto &operation : succeeded ? transaction.success_ : transaction.failure_) {
        if (const auto *nested = std::get_if<std::shared_ptr<const KvTransaction>>(&operation)) {
            evaluateCompares(**nested, compareResults);
        }
    }
}

auto KvStore::write(const KvPutRequest &put) -> void
{
    const auto found = entries_.find(put.key_);
    const auto existed = found != entries_.end();
    const auto created = existed ? found->second->createRevision_ : revision_ + 1;
    const auto version = existed ? found->second->version_ + 1 : 1;
    const auto entry = std::make_shared<const KvEntry>(KvEntry {.key_ = put.key_,
        .value_ = put.value_,
        .createRevision_ = created,
        .modRevision_ = revision_ + 1,
        .version_ = version,
        .lease_ = put.lease_});
    entries_.insert_or_assign(put.key_, entry);
    appendEvent(false, entry);
}

auto KvStore::erase(const KvKeyRange &keyRange) -> std::int64_t
{
    auto position = entries_.lower_bound(keyRange.start_);
    auto deleted = std::int64_t(0);
    while (position != entries_.end() && contains(keyRange, position->first)) {
        appendEvent(
            true, std::make_shared<const KvEntry>(KvEntry {.key_ = position->first, .modRevision_ = revision_ + 1}));
        position = entries_.erase(position);
        ++deleted;
    }
    return deleted;
}

auto KvStore::appendEvent(bool deleted, const std::shared_ptr<const KvEntry> &entry) -> void
{
    hasUncommittedWrite_ = true;
    history_.push_back(KvEvent {.deleted_ = deleted, .entry_ = *entry});
    if (history_.size() > maximumHistoryEvents) {
        compactRevision_ = history_.front().entry_.modRevision_ + 1;
        history_.pop_front();
    }
}

auto KvStore::commitWrite() -> void
{
    if (std::exchange(hasUncommittedWrite_, false)) {
        ++revision_;
        changed_.notify_all();
    }
}

auto KvStore::revision() -> std::int64_t
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    return revision_;
}

auto KvStore::waitForEvents(const KvKeyRange &keyRange, std::int64_t from, const std::function<auto()->bool> &cancelled)
    -> KvEvents
{
    auto lock = std::unique_lock(mutex_);
    auto nextRevision = from;
    while (true) {
        expireLeases();
        if (nextRevision < compactRevision_) {
            return {.revision_ = revision_, .compactRevision_ = compactRevision_};
        }
        auto found = std::vector<KvEvent>();
        const auto start = std::lower_bound(
            history_.begin(), history_.end(), nextRevision, [](const auto &event, auto firstRevision) {
                return event.entry_.modRevision_ < firstRevision;
            });
        std::copy_if(start, history_.end(), std::back_inserter(found), [&keyRange](const KvEvent &event) {
            return contains(keyRange, event.entry_.key_);
        });
        if (!found.empty() || cancelled()) {
            return {.revision_ = revision_, .events_ = std::move(found)};
        }
        nextRevision = std::max(nextRevision, revision_ + 1);
        changed_.wait_until(lock, nextWakeUp());
    }
}

auto KvStore::wake() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    changed_.notify_all();
}

auto KvStore::grant(std::int64_t id, std::chrono::seconds timeToLive) -> std::optional<std::int64_t>
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    const auto chosen = id == 0 ? ++lastLeaseId_ : id;
    const auto lease = KvLease {.id_ = chosen, .timeToLive_ = timeToLive, .expiresAt_ = Clock::now() + timeToLive};
    const auto added = leases_.emplace(chosen, std::make_shared<const KvLease>(lease)).second;
    // A waiting watch must wake up earlier if this lease expires first.
    changed_.notify_all();
    return added ? std::optional(chosen) : std::nullopt;
}

auto KvStore::keepAlive(std::int64_t id) -> std::chrono::seconds
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        return std::chrono::seconds(0);
    }
    const auto timeToLive = found->second->timeToLive_;
    found->second = std::make_shared<const KvLease>(
        KvLease {.id_ = id, .timeToLive_ = timeToLive, .expiresAt_ = Clock::now() + timeToLive});
    return timeToLive;
}

auto KvStore::revoke(std::int64_t id) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    if (leases_.erase(id) == 0) {
        return false;
    }
    eraseKeysOfLease(id);
    return true;
}

auto KvStore::eraseKeysOfLease(std::int64_t lease) -> void
{
    auto keys = std::vector<std::string>();
    for (const auto &[key, entry] : entries_) {
        if (entry->lease_ == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        erase({.start_ = key});
    }
    commitWrite();
}

auto KvStore::expireLeases() -> void
{
    const auto now = Clock::now();
    for (auto position = leases_.begin(); position != leases_.end();) {
        if (position->second->expiresAt_ > now) {
            ++position;
            continue;
        }
        const auto id = position->first;
        position = leases_.erase(position);
        eraseKeysOfLease(id);
    }
}

auto KvStore::nextWakeUp() const -> TimePoint
{
    auto next = Clock::now() + callerCheckInterval;
    for (const auto &[id, lease] : leases_) {
        next = std::min(next, lease->expiresAt_);
    }
    return next;
}

} // namespace jasminewood::testbench::internal
