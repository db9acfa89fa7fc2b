#include "jasminewood/claims/claim_batcher.h"

#include <cassert>
#include <type_traits>

namespace jasminewood::claims
{

namespace
{

// Returns the key of a store action; empty for other actions.
auto storeKey(const Action &action) -> std::optional<std::string>
{
    return std::visit(
        [](const auto &known) -> std::optional<std::string> {
            if constexpr (requires { known.key_; }) {
                return known.key_;
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
    const auto ticket = nextTicket_++;
    waiting_.push_back(Waiting {.since_ = now, .call_ = BatchedCall {.id_ = ticket, .key_ = *key, .action_ = action}});
    return ticket;
}

auto ClaimBatcher::takeBatch(TimePoint now) -> std::optional<Batch>
{
    const auto next = nextBatchTime();
    if (!next || (now < *next && waiting_.size() < maximumBatchClaims)) {
        return std::nullopt;
    }
    auto batch = Batch();
    auto rest = std::vector<Waiting>();
    auto keys = std::set<std::string>();
    for (const auto &waiting : waiting_) {
        if (batch.size() < maximumBatchClaims && keys.insert(waiting.call_.key_).second) {
            batch.push_back(waiting.call_);
        } else {
            rest.push_back(waiting);
        }
    }
    waiting_.swap(rest);
    return batch;
}

auto ClaimBatcher::nextBatchTime() const -> std::optional<TimePoint>
{
    return waiting_.empty() ? std::nullopt : std::optional<TimePoint>(waiting_.front().since_ + maximumBatchWait);
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
