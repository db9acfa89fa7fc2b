#include "jasminewood/routing/response_memory.h"

#include <algorithm>

namespace jasminewood::routing
{

ResponseMemory::ResponseMemory(std::size_t maximumBytes)
    : maximumBytes_(maximumBytes)
{
}

auto ResponseMemory::tryHold(const std::string &upstream, std::size_t bytes) -> bool
{
    if (bytes > maximumBytes_ - heldBytes_) {
        return false;
    }
    const auto held = heldByUpstream_.find(upstream);
    const auto heldAfter = (held == heldByUpstream_.end() ? 0 : held->second) + bytes;
    if (heldBytes_ + bytes > maximumBytes_ / 2 && !anotherHoldsMore(upstream, heldAfter)) {
        return false;
    }
    heldBytes_ += bytes;
    heldByUpstream_[upstream] = heldAfter;
    return true;
}

auto ResponseMemory::anotherHoldsMore(const std::string &upstream, std::size_t bytes) const -> bool
{
    return std::any_of(heldByUpstream_.begin(), heldByUpstream_.end(), [&upstream, bytes](const auto &entry) {
        return entry.first != upstream && entry.second > bytes;
    });
}

auto ResponseMemory::release(const std::string &upstream, std::size_t bytes) -> void
{
    const auto held = heldByUpstream_.find(upstream);
    if (held == heldByUpstream_.end()) {
        return;
    }
    const auto released = std::min(bytes, held->second);
    heldBytes_ -= released;
    held->second -= released;
    if (held->second == 0) {
        heldByUpstream_.erase(held);
    }
}

auto ResponseMemory::heldBytes() const -> std::size_t
{
    return heldBytes_;
}

} // namespace jasminewood::routing
