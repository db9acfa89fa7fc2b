#include "claim_table.h"

namespace jasminewood::second_frontend
{

auto ClaimTable::perform(const claims::CreateClaim &action) -> claims::Event
{
    const auto found = records_.find(action.key_);
    if (found != records_.end()) {
        return found->second;
    }
    ++revision_;
    records_.emplace(action.key_, claims::ClaimExists {.revision_ = revision_, .record_ = action.record_});
    return claims::ClaimCreated {.revision_ = revision_};
}

auto ClaimTable::perform(const claims::ReadClaim &action) const -> claims::Event
{
    const auto found = records_.find(action.key_);
    return found == records_.end() ? claims::Event(claims::ClaimAbsent {}) : claims::Event(found->second);
}

auto ClaimTable::perform(const claims::TakeOverClaim &action) -> claims::Event
{
    return compareAndSwap(action.key_, action.expectedRevision_, action.record_);
}

auto ClaimTable::perform(const claims::CompleteClaim &action) -> claims::Event
{
    return compareAndSwap(action.key_, action.expectedRevision_, action.record_);
}

auto ClaimTable::perform(const claims::ReleaseClaim &action) -> claims::Event
{
    return compareAndSwap(action.key_, action.expectedRevision_, action.record_);
}

auto ClaimTable::compareAndSwap(
    const std::string &key, std::uint64_t expectedRevision, const claims::ClaimRecord &record) -> claims::Event
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return claims::ClaimAbsent {};
    }
    if (found->second.revision_ != expectedRevision) {
        return found->second;
    }
    records_.erase(found);
    ++revision_;
    records_.emplace(key, claims::ClaimExists {.revision_ = revision_, .record_ = record});
    return claims::ClaimUpdated {.revision_ = revision_};
}

} // namespace jasminewood::second_frontend
