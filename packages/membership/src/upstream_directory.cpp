#include "jasminewood/membership/upstream_directory.h"

#include <algorithm>
#include <set>

namespace jasminewood::membership
{

auto UpstreamDirectory::put(const UpstreamRecord &record, TimePoint /*now*/) -> void
{
    entries_[record.id_]
        = Entry {.record_ = std::make_shared<const UpstreamRecord>(record), .routableUntil_ = std::nullopt};
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
    outageStart_ = outageStart_.value_or(now);
}

auto UpstreamDirectory::onStoreAvailable(TimePoint now) -> void
{
    if (outageStart_) {
        graceEndsAt_ = now + lapsedEntryGracePeriod;
        outageStart_.reset();
    }
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
