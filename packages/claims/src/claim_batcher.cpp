#include "jasminewood/claims/claim_batcher.h"

#include <cassert>
#include <type_traits>

namespace jasminewood::claims
{

namespace
{

// Returns the key of a store action; empty for any other action.
auto storeKey(const Action &action) -> std::optional<std::string>
{
    return std::visit(
        [](const auto &typedAction) -> std::optional<std::string> {
            if constexpr (requires { typedAction.key_; }) {
                return typedAction.key_;
            } else {
                return std::nullopt;
            }
        },
        action);
}

} // namespace

auto ClaimBatcher::add(const Action &action, TimePoint now) -> std::optional<CallId>
{
    const auto key = storeKey(action);
    if (!key) {
        return std::nullopt;
    }
    const auto id = nextCallId_++;
    pendingCalls_.push_back(
        PendingCall {.addedAt_ = now, .call_ = BatchedCall {.id_ = id, .key_ = *key, .action_ = action}});
    return id;
}

auto ClaimBatcher::takeBatch(TimePoint now) -> std::optional<Batch>
{
    const auto batchTime = nextBatchTime();
    if (!batchTime || (now < *batchTime && pendingCalls_.size() < maximumBatchClaims)) {
        return std::nullopt;
    }
    auto batch = Batch();
    auto remaining = std::vector<PendingCall>();
    auto keys = std::set<std::string>();
    for (const auto &pendingCall : pendingCalls_) {
        if (batch.size() < maximumBatchClaims && keys.insert(pendingCall.call_.key_).second) {
            batch.push_back(pendingCall.call_);
        } else {
            remaining.push_back(pendingCall);
        }
    }
    pendingCalls_.swap(remaining);
    return batch;
}

auto ClaimBatcher::nextBatchTime() const -> std::optional<TimePoint>
{
    return pendingCalls_.empty() ? std::nullopt
                                 : std::optional<TimePoint>(pendingCalls_.front().addedAt_ + maximumBatchWait);
}

auto matchOutcomes(const Batch &batch, const std::vector<Event> &events) -> std::vector<std::pair<CallId, Event>>
{
    assert(batch.size() == events.size());
    auto pairs = std::vector<std::pair<CallId, Event>>();
    for (std::size_t index = 0; index < batch.size() && index < events.size(); ++index) {
        pairs.emplace_back(batch[index].id_, events[index]);
    }
    return pairs;
}

} // namespace jasminewood::claims
