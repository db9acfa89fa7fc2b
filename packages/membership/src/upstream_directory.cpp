#include "jasminewood/membership/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminewood::membership
{

namespace
{

auto isSameRun(const UpstreamRecord &record, const UpstreamRecord &known) -> bool
{
    return record.incarnation_ != 0 && record.incarnation_ == known.incarnation_;
}

// Returns whether an upstream wrote a record before another one; false if they cannot be ordered. That a run leaves is
// always news, and only a later record takes it back.
auto isOlder(const UpstreamRecord &record, const UpstreamRecord &known) -> bool
{
    if (!isSameRun(record, known)) {
        return record.incarnation_ != 0 && record.incarnation_ < known.incarnation_;
    }
    if (!record.sequence_ || !known.sequence_) {
        return false;
    }
    if (record.leaving_ != known.leaving_) {
        return known.leaving_ && *record.sequence_ <= *known.sequence_;
    }
    return *record.sequence_ < *known.sequence_;
}

// Returns whether two records are the same write of an upstream.
auto isSameWrite(const UpstreamRecord &record, const UpstreamRecord &known) -> bool
{
    const auto isSameState = record.leaving_ == known.leaving_;
    return isSameRun(record, known) && isSameState && record.sequence_ && record.sequence_ == known.sequence_;
}

auto takesBackLeaving(const UpstreamRecord &record, const UpstreamRecord &known) -> bool
{
    return isSameRun(record, known) && known.leaving_ && !record.leaving_;
}

} // namespace

auto UpstreamDirectory::isOutdated(const Entry &entry, const UpstreamRecord &record, TimePoint now) const -> bool
{
    if (!entry.record_) {
        return false;
    }
    // Outside of a restored copy, the same write is seen again only because a part of the history was read twice.
    const auto fromCopy = entry.readBeforeRestore_ && now < restoredUntil_;
    return isOlder(record, *entry.record_) || (fromCopy && isSameWrite(record, *entry.record_));
}

auto UpstreamDirectory::put(const UpstreamRecord &record, TimePoint now) -> bool
{
    auto &entry = entries_[record.id_];
    if (isOutdated(entry, record, now)) {
        const auto until = entry.readBeforeRestore_ ? restoredUntil_ : now + outdatedEntryPeriod;
        entry.outdatedUntil_ = entry.outdated_ ? entry.outdatedUntil_ : until;
        entry.outdated_ = std::make_shared<const UpstreamRecord>(record);
        return false;
    }
    const auto registeredAgain = !entry.readBeforeRestore_ && entry.record_ && entry.record_->registeredAt_ > 0
        && record.registeredAt_ > 0 && entry.record_->registeredAt_ != record.registeredAt_;
    entry.removedInOutage_ = entry.removedInOutage_ || (outageStart_ && registeredAgain);
    entry.record_ = std::make_shared<const UpstreamRecord>(record);
    entry.routableUntil_.reset();
    entry.readBeforeRestore_ = false;
    entry.outdated_.reset();
    return true;
}

auto UpstreamDirectory::remove(const std::string &id, TimePoint now) -> void
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        removeEntry(found->second, now);
        forgetRemoved(now);
    }
}

auto UpstreamDirectory::invalidate(const std::string &id, TimePoint now) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    auto &entry = found->second;
    entry.outdated_.reset();
    entry.routableUntil_ = std::min(now, entry.routableUntil_.value_or(now));
    entry.removedInOutage_ = false;
    forgetRemoved(now);
}

auto UpstreamDirectory::removeEntry(Entry &entry, TimePoint now) -> void
{
    entry.outdated_.reset();
    if (entry.routableUntil_) {
        return;
    }
    if (outageStart_) {
        entry.routableUntil_ = now + lapsedEntryGracePeriod;
        entry.removedInOutage_ = true;
    } else if (now < graceEndsAt_) {
        entry.routableUntil_ = std::min(graceEndsAt_, now + removedEntryGracePeriod);
    } else {
        entry.routableUntil_ = now;
    }
}

auto UpstreamDirectory::forgetRemoved(TimePoint now) -> void
{
    auto removed = std::vector<std::pair<TimePoint, std::string>>();
    for (const auto &[id, entry] : entries_) {
        if (entry.routableUntil_ && now >= *entry.routableUntil_ && !entry.outdated_) {
            removed.emplace_back(*entry.routableUntil_, id);
        }
    }
    std::sort(removed.begin(), removed.end());
    for (auto index = std::size_t(0); index < removed.size(); ++index) {
        const auto &[removedAt, id] = removed[index];
        if (now - removedAt > removedEntryMemory || removed.size() - index > maximumRemovedEntries) {
            entries_.erase(id);
        }
    }
}

auto UpstreamDirectory::acceptOutdated(TimePoint now) -> void
{
    for (auto &[id, entry] : entries_) {
        const auto isDue = entry.outdated_ && now >= entry.outdatedUntil_;
        // After the store came back from an older copy, an older entry may be all that it has.
        const auto counts = isDue && (entry.readBeforeRestore_ || !takesBackLeaving(*entry.outdated_, *entry.record_));
        if (counts) {
            entry.record_ = std::exchange(entry.outdated_, nullptr);
            entry.routableUntil_.reset();
        }
        entry.readBeforeRestore_ = entry.readBeforeRestore_ && now < restoredUntil_;
    }
}

auto UpstreamDirectory::replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void
{
    auto present = std::set<std::string>();
    for (const auto &record : records) {
        put(record, now);
        present.insert(record.id_);
    }
    for (auto &[id, entry] : entries_) {
        if (!present.contains(id)) {
            removeEntry(entry, now);
        }
    }
    forgetRemoved(now);
}

auto UpstreamDirectory::restoreAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void
{
    acceptOutdated(now);
    onStoreFailed(now);
    restored_ = true;
    restoredUntil_ = now + outdatedEntryPeriod;
    for (auto &[id, entry] : entries_) {
        entry.readBeforeRestore_ = true;
        entry.outdated_.reset();
    }
    replaceAll(records, now);
}

auto UpstreamDirectory::onStoreFailed(TimePoint now) -> void
{
    if (outageStart_) {
        return;
    }
    outageStart_ = now;
    for (auto &[id, entry] : entries_) {
        entry.knownBeforeOutage_ = !entry.routableUntil_ || now < *entry.routableUntil_;
        entry.removedInOutage_ = entry.routableUntil_.has_value();
    }
}

auto UpstreamDirectory::mostEntriesExpired() const -> bool
{
    const auto known = std::count_if(entries_.begin(), entries_.end(), [](const auto &item) {
        return item.second.knownBeforeOutage_;
    });
    const auto removed = std::count_if(entries_.begin(), entries_.end(), [](const auto &item) {
        return item.second.knownBeforeOutage_ && item.second.removedInOutage_;
    });
    return 2 * removed > known;
}

auto UpstreamDirectory::onStoreAvailable(TimePoint now) -> void
{
    acceptOutdated(now);
    if (!outageStart_) {
        return;
    }
    const auto keepsMissing = restored_ || mostEntriesExpired();
    for (auto &[id, entry] : entries_) {
        if (entry.routableUntil_ && !keepsMissing) {
            entry.routableUntil_ = std::min(now, *entry.routableUntil_);
        }
    }
    graceEndsAt_ = now + lapsedEntryGracePeriod;
    outageStart_.reset();
    restored_ = false;
}

auto UpstreamDirectory::routableUpstreams(TimePoint now) const -> std::vector<RoutableUpstream>
{
    auto routable = std::vector<RoutableUpstream>();
    for (const auto &[id, entry] : entries_) {
        if (!entry.record_->leaving_ && (!entry.routableUntil_ || now < *entry.routableUntil_)) {
            routable.push_back({.record_ = *entry.record_, .routableUntil_ = entry.routableUntil_});
        }
    }
    return routable;
}

auto UpstreamDirectory::versionsByService(TimePoint now) const -> std::map<std::string, std::set<std::string>>
{
    auto versions = std::map<std::string, std::set<std::string>>();
    for (const auto &[id, entry] : entries_) {
        if (!entry.routableUntil_ || now < *entry.routableUntil_) {
            versions[entry.record_->service_].insert(entry.record_->version_);
        }
    }
    return versions;
}

auto UpstreamDirectory::outdatedUpstreams() const -> std::vector<std::string>
{
    auto ids = std::vector<std::string>();
    for (const auto &[id, entry] : entries_) {
        if (entry.outdated_ && (*entry.outdated_ != *entry.record_ || entry.routableUntil_)) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace jasminewood::membership
