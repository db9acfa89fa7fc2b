#include "jasminewood/relay/feed_state.h"

#include <algorithm>
#include <utility>

namespace jasminewood::relay
{

namespace
{

auto makeStamp(BootTime time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

auto parseStamp(std::int64_t stamp) -> BootTime
{
    return BootTime(BootTime::duration(stamp));
}

} // namespace

FeedState::FeedState(NodeId self)
    : self_(std::move(self))
{
}

auto FeedState::applied() const -> platform::StorePosition
{
    return applied_;
}

auto FeedState::confirmedAt() const -> std::optional<BootTime>
{
    return confirmedAt_;
}

auto FeedState::confirm(BootTime confirmedAt) -> void
{
    confirmedAt_ = std::max(confirmedAt_.value_or(confirmedAt), confirmedAt);
}

auto FeedState::applySnapshot(platform::StorePosition position, BootTime requestedAt) -> void
{
    applied_ = position;
    log_.restart(position);
    confirm(requestedAt);
}

auto FeedState::dropSnapshot() -> void
{
    applied_ = {};
}

auto FeedState::applyBatch(const ChangeBatch &batch) -> BatchStep
{
    auto step = relay::applyBatch(applied_, batch);
    if (const auto *news = std::get_if<NewChanges>(&step)) {
        log_.append({.after_ = applied_.revision_, .upTo_ = news->upTo_, .changes_ = news->changes_});
        applied_ = news->upTo_;
    }
    return step;
}

auto FeedState::applyRead(const ChangeBatch &batch, BootTime confirmedAt) -> BatchStep
{
    auto step = applyBatch(batch);
    if (!std::holds_alternative<MissingChanges>(step)) {
        confirm(confirmedAt);
    }
    return step;
}

auto FeedState::applyUpdate(const Update &update, BootTime now) -> BatchStep
{
    if (update.follower_ != self_ || update.confirmedStamp_ > makeStamp(now)) {
        return NothingNew {};
    }
    auto step = applyBatch(update.batch_);
    const auto sameEra = update.batch_.upTo_.era_ == applied_.era_;
    if (!std::holds_alternative<MissingChanges>(step) && sameEra && update.confirmedStamp_ > 0) {
        confirm(parseStamp(update.confirmedStamp_));
    }
    return step;
}

auto FeedState::makeRequest(BootTime now) const -> FollowRequest
{
    return {.router_ = self_,
        .applied_ = applied_,
        .stamp_ = makeStamp(now),
        .confirmedStamp_ = confirmedAt_ ? makeStamp(*confirmedAt_) : 0};
}

auto FeedState::recordRequest(const FollowRequest &request, BootTime receivedAt) -> void
{
    subscribers_.record(request, receivedAt);
}

auto FeedState::followers(BootTime now) const -> std::vector<std::string>
{
    return subscribers_.names(now);
}

auto FeedState::takeUpdate(const std::string &follower) -> std::optional<Update>
{
    const auto known = confirmedAt_ ? subscribers_.find(follower, *confirmedAt_) : std::nullopt;
    if (!known || applied_.revision_ == 0 || known->applied_ > applied_) {
        return std::nullopt;
    }
    if (known->applied_ == applied_ && !known->isNewStamp_) {
        return std::nullopt;
    }
    // A follower that the log does not reach back to gets an empty batch, by which it sees that changes are missing.
    const auto batch
        = log_.changesSince(known->applied_).value_or(ChangeBatch {.after_ = applied_.revision_, .upTo_ = applied_});
    subscribers_.recordUpdate(follower, batch.upTo_, known->confirmedStamp_);
    return Update {.follower_ = known->router_, .batch_ = batch, .confirmedStamp_ = known->confirmedStamp_};
}

} // namespace jasminewood::relay
