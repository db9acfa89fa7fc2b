#include "jasminewood/membership/upstream_directory.h"

#include <algorithm>
#include <set>

namespace jasminewood::membership
{

auto UpstreamDirectory::put(const UpstreamRecord &record, TimePoint /*now*/) -> void
{
    auto &entry = entries_[record.id_];
    const auto registeredAgain = entry.record_ && entry.record_->registeredAt_ > 0 && record.registeredAt_ > 0
        && entry.record_->registeredAt_ != record.registeredAt_;
    entry.removedInOutage_ = entry.removedInOutage_ || (outageStart_ && registeredAgain);
    entry.record_ = std::make_shared<const UpstreamRecord>(record);
    entry.routableUntil_.reset();
}

auto UpstreamDirectory::remove(const std::string &id, TimePoint now) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.routableUntil_) {
        return;
    }
    if (outageStart_) {
        found->second.routableUntil_ = now + lapsedEntryGracePeriod;
        found->second.removedInOutage_ = true;
    } else if (now < graceEndsAt_) {
        found->second.routableUntil_ = std::min(graceEndsAt_, now + removedEntryGracePeriod);
    } else {
        entries_.erase(found);
    }
}

auto UpstreamDirectory::replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void
{
    auto present = std::set<std::string>();
    for (const auto &record : records) {
        put(record, now);
        present.insert(record.id_);
    }
    auto missing = std::vector<std::string>();
    for (const auto &[id, entry] : entries_) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        remove(id, now);
    }
}

auto UpstreamDirectory::onStoreFailed(TimePoint now) -> void
{
    if (outageStart_) {
        return;
    }
    outageStart_ = now;
    for (auto &[id, entry] : entries_) {
        entry.knownBeforeOutage_ = true;
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
    if (!outageStart_) {
        return;
    }
    const auto keepsMissing = mostEntriesExpired();
    std::erase_if(entries_, [keepsMissing, now](const auto &item) {
        const auto &until = item.second.routableUntil_;
        return until && (!keepsMissing || now >= *until);
    });
    graceEndsAt_ = now + lapsedEntryGracePeriod;
    outageStart_.reset();
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

} // namespace jasminewood::membership
