#include "jasminewood/relay/subscribers.h"

#include <algorithm>

namespace jasminewood::relay
{

auto Subscribers::record(const FollowRequest &request, BootTime receivedAt) -> void
{
    std::erase_if(subscriptions_, [receivedAt](const auto &entry) {
        return receivedAt - entry.second.requestedAt_ > subscriptionTime;
    });
    auto &subscription = subscriptions_[request.router_.name_];
    if (subscription.incarnation_ != request.router_.incarnation_) {
        subscription = Subscription {.incarnation_ = request.router_.incarnation_};
    }
    subscription.requestedAt_ = receivedAt;
    // What was sent may have been lost: the request says what arrived.
    subscription.applied_ = request.applied_;
    subscription.returnedStamp_ = request.confirmedStamp_;
    subscription.stamps_.push_back({.stamp_ = request.stamp_, .receivedAt_ = receivedAt});
    if (subscription.stamps_.size() > maximumStamps) {
        subscription.stamps_.pop_front();
    }
}

auto Subscribers::recordUpdate(const std::string &router, platform::StorePosition sentUpTo, std::int64_t stamp) -> void
{
    const auto found = subscriptions_.find(router);
    if (found == subscriptions_.end()) {
        return;
    }
    found->second.applied_ = std::max(found->second.applied_, sentUpTo);
    found->second.returnedStamp_ = std::max(found->second.returnedStamp_, stamp);
}

auto Subscribers::find(const std::string &router, BootTime confirmedAt) const -> std::optional<Follower>
{
    const auto found = subscriptions_.find(router);
    if (found == subscriptions_.end()) {
        return std::nullopt;
    }
    const auto &subscription = found->second;
    auto newest = std::int64_t(0);
    for (const auto &[stamp, receivedAt] : subscription.stamps_) {
        if (receivedAt <= confirmedAt) {
            newest = std::max(newest, stamp);
        }
    }
    return Follower {.router_ = {.name_ = router, .incarnation_ = subscription.incarnation_},
        .applied_ = subscription.applied_,
        .confirmedStamp_ = newest,
        .isNewStamp_ = newest > subscription.returnedStamp_};
}

auto Subscribers::names(BootTime now) const -> std::vector<std::string>
{
    auto routers = std::vector<std::string>();
    for (const auto &[router, subscription] : subscriptions_) {
        if (now - subscription.requestedAt_ <= subscriptionTime) {
            routers.push_back(router);
        }
    }
    return routers;
}

} // namespace jasminewood::relay
