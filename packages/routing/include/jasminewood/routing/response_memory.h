#pragma once

#include <cstddef>
#include <map>
#include <string>

// Decides which responses of upstreams may take more of the memory that all of them share.
//
// Each response has a limit of its own, but many together can exceed the memory of the process, for example if one
// upstream sends bytes without end. Half of the memory is open to all. Beyond it, the upstream whose responses hold the
// most gets no more, so that the responses of the others still pass.
//
//     if (memory.tryHold(upstream, bytes)) {
//         ...
//         memory.release(upstream, bytes);
//     }

namespace jasminewood::routing
{

// Not thread-safe.
class ResponseMemory
{
public:
    explicit ResponseMemory(std::size_t maximumBytes);

    // Takes memory for the responses of an upstream. Returns false, and takes nothing, if they may not have so much.
    auto tryHold(const std::string &upstream, std::size_t bytes) -> bool;

    // Gives back memory that tryHold() took for the upstream.
    auto release(const std::string &upstream, std::size_t bytes) -> void;

    // Returns what the responses of all upstreams hold.
    auto heldBytes() const -> std::size_t;

private:
    // Returns whether the responses of another upstream hold more than this.
    auto anotherHoldsMore(const std::string &upstream, std::size_t bytes) const -> bool;

    const std::size_t maximumBytes_;
    std::size_t heldBytes_ = 0;
    // Only upstreams whose responses hold something.
    std::map<std::string, std::size_t> heldByUpstream_;
};

} // namespace jasminewood::routing
