#include "jasminewood/membership/directory.h"

#include <algorithm>
#include <set>

namespace jasminewood::membership
{

auto Directory::put(const UpstreamRecord &record, TimePoint /*now*/) -> void
{
    entries_[record.id_] = Entry {.record_ = std::make_shared<const UpstreamRecord>(record), .endsAt_ = std::nullopt};
}

auto Directory::removed(const std::string &id, TimePoint now) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (now >= returnsUntil_ && !failedSince_) {
        entries_.erase(found);
    } else if (!found->second.endsAt_) {
        found->second.endsAt_ = failedSince_ ? now + lapsedEntryReturn : returnsUntil_;
    }
}

auto Directory::replace(const std::vector<UpstreamRecord> &records, TimePoint now) -> void
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
        removed(id, now);
    }
}

auto Directory::storeFailed(TimePoint now) -> void
{
    failedSince_ = failedSince_.value_or(now);
}

auto Directory::storeAnswered(TimePoint now) -> void
{
    if (failedSince_) {
        returnsUntil_ = now + lapsedEntryReturn;
        failedSince_.reset();
    }
}

auto Directory::routable(TimePoint now) const -> std::vector<UpstreamRecord>
{
    auto records = std::vector<UpstreamRecord>();
    for (const auto &[id, entry] : entries_) {
        if (!entry.record_->leaving_ && (!entry.endsAt_ || now < *entry.endsAt_)) {
            records.push_back(*entry.record_);
        }
    }
    return records;
}

auto Directory::nextChange(TimePoint now) const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[id, entry] : entries_) {
        if (entry.endsAt_ && *entry.endsAt_ > now) {
            next = std::min(next.value_or(*entry.endsAt_), *entry.endsAt_);
        }
    }
    return next;
}

} // namespace jasminewood::membership
