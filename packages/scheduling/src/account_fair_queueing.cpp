#include "jasminewood/scheduling/account_fair_queueing.h"

#include <algorithm>
#include <cassert>

namespace jasminewood::scheduling
{

auto AccountFairQueueing::onEnqueued(const std::string &account, double weight) -> void
{
    assert(weight > 0);
    auto &flow = flows_[account];
    if (flow.queued_ == 0 && flow.running_ == 0) {
        flow.tag_ = std::max(flow.tag_, virtualTime_);
    }
    flow.weight_ = weight;
    ++flow.queued_;
    ++queued_;
}

auto AccountFairQueueing::onRemoved(const std::string &account) -> void
{
    auto &flow = flows_.at(account);
    assert(flow.queued_ > 0);
    --flow.queued_;
    --queued_;
    removeIdleFlows();
}

auto AccountFairQueueing::onStarted(const std::string &account, double work) -> void
{
    auto &flow = flows_.at(account);
    assert(flow.queued_ > 0);
    --flow.queued_;
    ++flow.running_;
    --queued_;
    ++running_;
    virtualTime_ = std::max(virtualTime_, flow.tag_);
    flow.tag_ += work / flow.weight_;
}

auto AccountFairQueueing::adjustWork(const std::string &account, double work) -> void
{
    auto &flow = flows_.at(account);
    flow.tag_ += work / flow.weight_;
}

auto AccountFairQueueing::onFinished(const std::string &account) -> void
{
    auto &flow = flows_.at(account);
    assert(flow.running_ > 0);
    --flow.running_;
    --running_;
    removeIdleFlows();
}

auto AccountFairQueueing::startTag(const std::string &account) const -> double
{
    const auto found = flows_.find(account);
    return found == flows_.end() ? virtualTime_ : found->second.tag_;
}

auto AccountFairQueueing::queuedCount() const -> std::uint32_t
{
    return queued_;
}

auto AccountFairQueueing::removeIdleFlows() -> void
{
    if (queued_ == 0 && running_ == 0) {
        flows_.clear();
        virtualTime_ = 0;
    } else if (flows_.size() > maximumTrackedAccounts) {
        std::erase_if(flows_, [](const auto &entry) {
            return entry.second.queued_ == 0 && entry.second.running_ == 0;
        });
    }
}

} // namespace jasminewood::scheduling
