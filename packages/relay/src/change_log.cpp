#include "jasminewood/relay/change_log.h"

#include <algorithm>

namespace jasminewood::relay
{

namespace
{

auto sizeOf(const platform::WatchEvent &change) -> std::size_t
{
    const auto *put = std::get_if<platform::KeyPut>(&change);
    return put == nullptr ? std::get<platform::KeyDeleted>(change).key_.size()
                          : put->entry_.key_.size() + put->entry_.value_.size();
}

} // namespace

auto revisionOf(const platform::WatchEvent &change) -> platform::Revision
{
    const auto *put = std::get_if<platform::KeyPut>(&change);
    return put == nullptr ? std::get<platform::KeyDeleted>(change).revision_ : put->entry_.modRevision_;
}

auto applyBatch(platform::StorePosition applied, const ChangeBatch &batch) -> BatchStep
{
    if (batch.upTo_.era_ < applied.era_) {
        return NothingNew {};
    }
    const auto begins = platform::StorePosition {.era_ = batch.upTo_.era_, .revision_ = batch.after_};
    if (applied.revision_ == 0 || applied.era_ != begins.era_ || applied < begins) {
        return MissingChanges {};
    }
    if (batch.upTo_ <= applied) {
        return NothingNew {};
    }
    auto changes = std::vector<platform::WatchEvent>();
    for (const auto &change : batch.changes_) {
        if (revisionOf(change) > applied.revision_) {
            changes.push_back(change);
        }
    }
    return NewChanges {.upTo_ = batch.upTo_, .changes_ = changes};
}

auto ChangeLog::restart(platform::StorePosition position) -> void
{
    changes_.clear();
    bytes_ = 0;
    after_ = position.revision_;
    upTo_ = position;
}

auto ChangeLog::append(const ChangeBatch &batch) -> void
{
    for (const auto &change : batch.changes_) {
        changes_.push_back(change);
        bytes_ += sizeOf(change);
    }
    upTo_ = std::max(upTo_, batch.upTo_);
    while (bytes_ > maximumLogBytes) {
        dropOldest();
    }
}

auto ChangeLog::dropOldest() -> void
{
    // One transaction makes several changes of the same revision, which are passed on together or not at all.
    after_ = revisionOf(changes_.front());
    while (!changes_.empty() && revisionOf(changes_.front()) <= after_) {
        bytes_ -= sizeOf(changes_.front());
        changes_.pop_front();
    }
}

auto ChangeLog::changesSince(platform::StorePosition position) const -> std::optional<ChangeBatch>
{
    if (position.era_ != upTo_.era_ || position.revision_ < after_ || position > upTo_ || upTo_.revision_ == 0) {
        return std::nullopt;
    }
    const auto first = std::find_if(changes_.begin(), changes_.end(), [position](const auto &change) {
        return revisionOf(change) > position.revision_;
    });
    return ChangeBatch {.after_ = position.revision_, .upTo_ = upTo_, .changes_ = {first, changes_.end()}};
}

auto ChangeLog::upTo() const -> platform::StorePosition
{
    return upTo_;
}

} // namespace jasminewood::relay
