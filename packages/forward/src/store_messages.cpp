#include "store_messages.h"

namespace jasminewood::forward::internal
{

namespace
{

auto makeChange(const platform::WatchEvent &event) -> wire::StoreChange
{
    if (const auto *put = std::get_if<platform::KeyPut>(&event)) {
        return {.key_ = put->entry_.key_,
            .value_ = put->entry_.value_,
            .revision_ = std::uint64_t(put->entry_.modRevision_)};
    }
    const auto &deleted = std::get<platform::KeyDeleted>(event);
    return {.key_ = deleted.key_, .revision_ = std::uint64_t(deleted.revision_), .removed_ = true};
}

auto parseChange(const wire::StoreChange &change) -> platform::WatchEvent
{
    const auto revision = platform::Revision(change.revision_);
    if (change.removed_) {
        return platform::KeyDeleted {.key_ = change.key_, .revision_ = revision};
    }
    return platform::KeyPut {.entry_ = {.key_ = change.key_, .value_ = change.value_, .modRevision_ = revision}};
}

auto positionOf(std::uint64_t era, std::uint64_t revision) -> platform::StorePosition
{
    return {.era_ = platform::Era(era), .revision_ = platform::Revision(revision)};
}

} // namespace

auto makeFollow(const relay::FollowRequest &request) -> wire::StoreFollow
{
    return {.router_ = request.router_,
        .era_ = std::uint64_t(request.applied_.era_),
        .appliedRevision_ = std::uint64_t(request.applied_.revision_),
        .stamp_ = std::uint64_t(request.stamp_),
        .confirmedStamp_ = std::uint64_t(request.confirmedStamp_)};
}

auto parseFollow(const wire::StoreFollow &message) -> relay::FollowRequest
{
    return {.router_ = message.router_,
        .applied_ = positionOf(message.era_, message.appliedRevision_),
        .stamp_ = std::int64_t(message.stamp_),
        .confirmedStamp_ = std::int64_t(message.confirmedStamp_)};
}

auto makeChanges(const NodeId &self, const relay::Update &update, std::uint64_t outages) -> wire::StoreChanges
{
    auto changes = std::vector<wire::StoreChange>();
    for (const auto &event : update.batch_.changes_) {
        changes.push_back(makeChange(event));
    }
    return {.router_ = self,
        .follower_ = update.follower_,
        .era_ = std::uint64_t(update.batch_.upTo_.era_),
        .afterRevision_ = std::uint64_t(update.batch_.after_),
        .upToRevision_ = std::uint64_t(update.batch_.upTo_.revision_),
        .changes_ = changes,
        .confirmedStamp_ = std::uint64_t(update.confirmedStamp_),
        .outages_ = outages};
}

auto parseChanges(const wire::StoreChanges &message) -> relay::Update
{
    auto changes = std::vector<platform::WatchEvent>();
    for (const auto &change : message.changes_) {
        changes.push_back(parseChange(change));
    }
    return {.follower_ = message.follower_,
        .batch_ = {.after_ = platform::Revision(message.afterRevision_),
            .upTo_ = positionOf(message.era_, message.upToRevision_),
            .changes_ = changes},
        .confirmedStamp_ = std::int64_t(message.confirmedStamp_)};
}

} // namespace jasminewood::forward::internal
