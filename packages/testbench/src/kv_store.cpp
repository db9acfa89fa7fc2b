#include "kv_store.h"

#include <algorithm>
#include <utility>

namespace jasminewood::testbench::internal
{

namespace
{

// Older events are compacted, so that a long run stays within its memory.
constexpr std::size_t maximumHistory = 65'536;
// A watch without events looks this often whether its caller left, since nothing else wakes it then.
constexpr auto callerCheckInterval = std::chrono::seconds(5);

auto failed(const std::string &reason) -> Failure
{
    return {.step_ = "kv", .reason_ = reason};
}

template <typename Value>
auto related(KvRelation relation, const Value &left, const Value &right) -> bool
{
    switch (relation) {
    case KvRelation::Greater:
        return left > right;
    case KvRelation::Less:
        return left < right;
    case KvRelation::NotEqual:
        return left != right;
    case KvRelation::Equal:
        break;
    }
    return left == right;
}

} // namespace

// Performs operations with the decisions of all transactions taken beforehand, in the order in which they are met.
struct KvStore::Performer
{
    KvStore &store_;
    const std::vector<bool> &decisions_;
    std::size_t next_ = 0;

    auto operator()(const KvRange &range) -> KvAnswer
    {
        auto found = std::vector<KvEntry>();
        auto count = std::int64_t(0);
        for (auto place = store_.entries_.lower_bound(range.span_.start_); place != store_.entries_.end(); ++place) {
            if (!contains(range.span_, place->first)) {
                break;
            }
            if (range.limit_ == 0 || count < range.limit_) {
                found.push_back(*place->second);
            }
            ++count;
        }
        return KvRangeAnswer {.entries_ = std::move(found), .count_ = count};
    }

    auto operator()(const KvPut &put) -> KvAnswer
    {
        store_.write(put);
        return KvPutAnswer {};
    }

    auto operator()(const KvDelete &request) -> KvAnswer
    {
        return KvDeleteAnswer {.deleted_ = store_.erase(request.span_)};
    }

    auto operator()(const std::shared_ptr<const KvTransaction> &transaction) -> KvAnswer
    {
        const bool succeeded = decisions_[next_++];
        auto answers = std::vector<KvAnswer>();
        for (const auto &operation : succeeded ? transaction->success_ : transaction->failure_) {
            answers.push_back(std::visit(*this, operation));
        }
        return std::make_shared<const KvTransactionAnswer>(
            KvTransactionAnswer {.succeeded_ = succeeded, .answers_ = std::move(answers)});
    }
};

auto KvStore::apply(const KvOperation &operation) -> Result<KvOutcome>
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    if (const auto failure = check(operation)) {
        return *failure;
    }
    auto decisions = std::vector<bool>();
    if (const auto *transaction = std::get_if<std::shared_ptr<const KvTransaction>>(&operation)) {
        decide(**transaction, decisions);
    }
    auto performer = Performer {.store_ = *this, .decisions_ = decisions};
    auto answer = std::visit(performer, operation);
    finishWrite();
    return KvOutcome {.revision_ = revision_, .answer_ = std::move(answer)};
}

auto KvStore::check(const KvOperation &operation) const -> Status
{
    auto keys = std::set<std::string>();
    return collectPuts({operation}, keys);
}

auto KvStore::collectPuts(const std::vector<KvOperation> &operations, std::set<std::string> &keys) const -> Status
{
    for (const auto &operation : operations) {
        auto added = std::set<std::string>();
        if (const auto *put = std::get_if<KvPut>(&operation)) {
            if (put->lease_ != 0 && leases_.count(put->lease_) == 0) {
                return failed("etcdserver: requested lease not found");
            }
            added.insert(put->key_);
        }
        if (const auto *nested = std::get_if<std::shared_ptr<const KvTransaction>>(&operation)) {
            // Only one branch runs, so both may put the same key.
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
            return failed("etcdserver: duplicate key given in txn request");
        }
    }
    return std::nullopt;
}

auto KvStore::holds(const KvCompare &compare) const -> bool
{
    const auto found = entries_.find(compare.key_);
    const auto missing = found == entries_.end();
    switch (compare.target_) {
    case KvTarget::Value:
        return !missing && related(compare.relation_, found->second->value_, compare.value_);
    case KvTarget::Create:
        return related(compare.relation_, missing ? 0 : found->second->createRevision_, compare.number_);
    case KvTarget::Mod:
        return related(compare.relation_, missing ? 0 : found->second->modRevision_, compare.number_);
    case KvTarget::Version:
        break;
    }
    return related(compare.relation_, missing ? 0 : found->second->version_, compare.number_);
}

auto KvStore::decide(const KvTransaction &transaction, std::vector<bool> &decisions) const -> void
{
    const auto succeeded
        = std::all_of(transaction.compares_.begin(), transaction.compares_.end(), [this](const KvCompare &compare) {
              return holds(compare);
          });
    decisions.push_back(succeeded);
    for (const auto &operation : succeeded ? transaction.success_ : transaction.failure_) {
        if (const auto *nested = std::get_if<std::shared_ptr<const KvTransaction>>(&operation)) {
            decide(**nested, decisions);
        }
    }
}

auto KvStore::write(const KvPut &put) -> void
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
    addEvent(false, entry);
}

auto KvStore::erase(const KvSpan &span) -> std::int64_t
{
    auto place = entries_.lower_bound(span.start_);
    auto deleted = std::int64_t(0);
    while (place != entries_.end() && contains(span, place->first)) {
        addEvent(true, std::make_shared<const KvEntry>(KvEntry {.key_ = place->first, .modRevision_ = revision_ + 1}));
        place = entries_.erase(place);
        ++deleted;
    }
    return deleted;
}

auto KvStore::addEvent(bool deleted, const std::shared_ptr<const KvEntry> &entry) -> void
{
    dirty_ = true;
    history_.push_back(KvEvent {.deleted_ = deleted, .entry_ = *entry});
    if (history_.size() > maximumHistory) {
        compactRevision_ = history_.front().entry_.modRevision_ + 1;
        history_.pop_front();
    }
}

auto KvStore::finishWrite() -> void
{
    if (std::exchange(dirty_, false)) {
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

auto KvStore::waitForEvents(const KvSpan &span, std::int64_t from, const std::function<auto()->bool> &ended) -> KvEvents
{
    auto lock = std::unique_lock(mutex_);
    auto unread = from;
    while (true) {
        expireLeases();
        if (unread < compactRevision_) {
            return {.revision_ = revision_, .compactRevision_ = compactRevision_};
        }
        auto found = std::vector<KvEvent>();
        const auto start
            = std::lower_bound(history_.begin(), history_.end(), unread, [](const auto &event, auto wanted) {
                  return event.entry_.modRevision_ < wanted;
              });
        std::copy_if(start, history_.end(), std::back_inserter(found), [&span](const KvEvent &event) {
            return contains(span, event.entry_.key_);
        });
        if (!found.empty() || ended()) {
            return {.revision_ = revision_, .events_ = std::move(found)};
        }
        unread = std::max(unread, revision_ + 1);
        changed_.wait_until(lock, nextCheck());
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
    const auto chosen = id == 0 ? ++lastLease_ : id;
    const auto lease = KvLease {.id_ = chosen, .timeToLive_ = timeToLive, .end_ = Clock::now() + timeToLive};
    const auto added = leases_.emplace(chosen, std::make_shared<const KvLease>(lease)).second;
    // A waiting watch has to learn of an earlier expiry.
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
        KvLease {.id_ = id, .timeToLive_ = timeToLive, .end_ = Clock::now() + timeToLive});
    return timeToLive;
}

auto KvStore::revoke(std::int64_t id) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    expireLeases();
    if (leases_.erase(id) == 0) {
        return false;
    }
    eraseLeased(id);
    return true;
}

auto KvStore::eraseLeased(std::int64_t lease) -> void
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
    finishWrite();
}

auto KvStore::expireLeases() -> void
{
    const auto now = Clock::now();
    for (auto place = leases_.begin(); place != leases_.end();) {
        if (place->second->end_ > now) {
            ++place;
            continue;
        }
        const auto id = place->first;
        place = leases_.erase(place);
        eraseLeased(id);
    }
}

auto KvStore::nextCheck() const -> TimePoint
{
    auto next = Clock::now() + callerCheckInterval;
    for (const auto &[id, lease] : leases_) {
        next = std::min(next, lease->end_);
    }
    return next;
}

} // namespace jasminewood::testbench::internal
