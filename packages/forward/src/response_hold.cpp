#include "jasminewood/forward/response_hold.h"

#include <utility>

namespace jasminewood::forward
{

SharedResponseMemory::SharedResponseMemory(std::size_t maximumBytes)
    : memory_(maximumBytes)
{
}

auto SharedResponseMemory::tryGrow(const std::string &upstream, std::size_t heldBytes, std::size_t furtherBytes) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (memory_.tryHold(upstream, furtherBytes)) {
        return true;
    }
    memory_.release(upstream, heldBytes);
    return false;
}

auto SharedResponseMemory::release(const std::string &upstream, std::size_t bytes) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    memory_.release(upstream, bytes);
}

ResponseHold::ResponseHold(std::shared_ptr<SharedResponseMemory> memory, const std::string &upstream)
    : memory_(std::move(memory))
    , upstream_(upstream)
{
}

ResponseHold::~ResponseHold()
{
    static_cast<void>(tryResize(0));
}

auto ResponseHold::tryResize(std::size_t bytes) -> bool
{
    const auto counted = bytes > uncountedResponseBytes ? bytes : 0;
    if (counted > heldBytes_ && !memory_->tryGrow(upstream_, heldBytes_, counted - heldBytes_)) {
        heldBytes_ = 0;
        return false;
    }
    if (counted < heldBytes_) {
        memory_->release(upstream_, heldBytes_ - counted);
    }
    heldBytes_ = counted;
    return true;
}

} // namespace jasminewood::forward
