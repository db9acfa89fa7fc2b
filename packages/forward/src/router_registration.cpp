#include "router_registration.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward::internal
{

namespace
{

// The entry of a router that stopped without revoking its lease expires after this time. Nothing waits for that: what
// such a router reported expires by itself.
constexpr auto leaseTimeToLive = std::chrono::seconds(15);

// Writes in one attempt to register. The second one follows the read of an entry that the first one did not expect.
constexpr int maximumWrites = 2;

} // namespace

RouterRegistration::RouterRegistration(
    std::shared_ptr<platform::KeyValueClient> store, const std::string &key, const std::string &value)
    : store_(std::move(store))
    , key_(key)
    , value_(value)
{
}

auto RouterRegistration::key() const -> const std::string &
{
    return key_;
}

auto RouterRegistration::renew() -> Status
{
    if (auto failure = renewLease()) {
        return failure;
    }
    if (isWritten() && !isLost()) {
        return std::nullopt;
    }
    const auto written = write();
    if (!written) {
        return written.failure();
    }
    const auto lock = std::scoped_lock(mutex_);
    written_.emplace(*written);
    return std::nullopt;
}

auto RouterRegistration::revoke() -> Status
{
    return lease_ ? store_->revokeLease(*lease_) : std::nullopt;
}

auto RouterRegistration::renewLease() -> Status
{
    if (lease_) {
        const auto remainingTime = store_->keepAlive(*lease_);
        if (!remainingTime) {
            return remainingTime.failure();
        }
        if (remainingTime->count() > 0) {
            return std::nullopt;
        }
    }
    const auto granted = store_->grantLease(leaseTimeToLive);
    if (!granted) {
        return granted.failure();
    }
    const auto lock = std::scoped_lock(mutex_);
    lease_.emplace(*granted);
    written_.reset();
    return std::nullopt;
}

auto RouterRegistration::write() -> Result<platform::StorePosition>
{
    auto expected = observedRevision();
    for (auto attempt = 0; attempt < maximumWrites; ++attempt) {
        const auto outcome = store_->writeAll({.conditions_ = {{.key_ = key_, .revision_ = expected}},
            .puts_ = {{.key_ = key_, .value_ = value_, .lease_ = lease_->id_}}});
        if (!outcome) {
            return outcome.failure();
        }
        if (store_->era() != lease_->era_) {
            return Failure {.step_ = "register", .reason_ = "the store came back from an older copy"};
        }
        if (outcome->written_) {
            return platform::StorePosition {.era_ = lease_->era_, .revision_ = outcome->revision_};
        }
        const auto present = read();
        if (!present) {
            return present.failure();
        }
        // An earlier write of this router may have been performed although its response was lost.
        if (*present && isOwn(**present)) {
            return platform::StorePosition {.era_ = lease_->era_, .revision_ = (*present)->modRevision_};
        }
        expected = *present ? (*present)->modRevision_ : 0;
    }
    return Failure {.step_ = "register", .reason_ = "another process writes the entry of this router"};
}

auto RouterRegistration::read() -> Result<std::optional<platform::KeyValue>>
{
    // Other entries may begin with the same key.
    const auto snapshot = store_->getPrefix(key_);
    if (!snapshot) {
        return snapshot.failure();
    }
    const auto &entries = snapshot->entries_;
    const auto found = std::find_if(entries.begin(), entries.end(), [this](const auto &entry) {
        return entry.key_ == key_;
    });
    return found == entries.end() ? std::optional<platform::KeyValue>() : std::optional<platform::KeyValue>(*found);
}

auto RouterRegistration::isOwn(const platform::KeyValue &entry) const -> bool
{
    return entry.value_ == value_ && entry.lease_ == lease_->id_;
}

auto RouterRegistration::isWritten() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return written_.has_value();
}

auto RouterRegistration::observedRevision() const -> platform::Revision
{
    const auto lock = std::scoped_lock(mutex_);
    return observed_ && observed_->upTo_.era_ == lease_->era_ ? observed_->revision_ : 0;
}

auto RouterRegistration::observe(const EntryObservation &observation) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    observed_.emplace(observation);
}

auto RouterRegistration::isLost() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (!observed_ || !lease_) {
        return false;
    }
    const auto eraEnded = observed_->upTo_.era_ > lease_->era_;
    const auto isCurrent = written_ && observed_->upTo_ >= *written_;
    return eraEnded || (isCurrent && observed_->revision_ != written_->revision_);
}

} // namespace jasminewood::forward::internal
