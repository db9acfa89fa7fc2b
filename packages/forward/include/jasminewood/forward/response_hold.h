#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

#include "jasminewood/routing/response_memory.h"

// The memory that one response of an upstream holds, of what all responses of this process may hold.
//
//     auto hold = ResponseHold(memory, upstream.id_);
//     if (!hold.tryResize(body.size() + chunk.size())) { ... }

namespace jasminewood::forward
{

// A response of up to this size is always accepted. It takes no more than the connection that it is for.
constexpr std::size_t uncountedResponseBytes = 16U << 10U;

// Thread-safe.
class SharedResponseMemory
{
public:
    explicit SharedResponseMemory(std::size_t maximumBytes);

    // Takes further memory for a response of the upstream that has heldBytes. If it may not have it, returns false and
    // gives the others back at once: of several responses that are refused, the first makes room for the next.
    auto tryGrow(const std::string &upstream, std::size_t heldBytes, std::size_t furtherBytes) -> bool;
    auto release(const std::string &upstream, std::size_t bytes) -> void;

private:
    std::mutex mutex_;
    routing::ResponseMemory memory_;
};

// Gives the memory back at its end. Not thread-safe.
class ResponseHold
{
public:
    ResponseHold(std::shared_ptr<SharedResponseMemory> memory, const std::string &upstream);
    ~ResponseHold();

    ResponseHold(const ResponseHold &) = delete;
    auto operator=(const ResponseHold &) -> ResponseHold & = delete;

    // Changes the size that the response has in memory. Returns false if the responses of its upstream may not have so
    // much: then all memory is given back, and the response has to be dropped. A smaller size is always possible.
    auto tryResize(std::size_t bytes) -> bool;

private:
    const std::shared_ptr<SharedResponseMemory> memory_;
    const std::string upstream_;
    std::size_t heldBytes_ = 0;
};

} // namespace jasminewood::forward
