#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <vector>

#include <pthread.h>

// Threads with a stack of a given size, which std::thread does not offer.

namespace jasminewood::http::internal
{

// Thread-safe.
class ThreadGroup
{
public:
    // The size of each thread's stack is in bytes.
    explicit ThreadGroup(std::size_t stackBytes);

    // Waits as join() does.
    ~ThreadGroup();

    ThreadGroup(const ThreadGroup &) = delete;
    auto operator=(const ThreadGroup &) -> ThreadGroup & = delete;

    // Runs the function, which must not throw, on a thread of its own. Returns false if no thread can be started.
    auto start(std::function<auto()->void> run) -> bool;

    // Waits until all threads have ended. None may be started meanwhile.
    auto join() -> void;

private:
    struct Task
    {
        ThreadGroup &group_;
        const std::function<auto()->void> run_;
    };

    static auto runTask(void *task) -> void *;

    // Called by each thread at its end. Joins the threads that have ended before, so that their stacks are released.
    auto recordEnd() -> void;

    const std::size_t stackBytes_;
    std::mutex mutex_;
    std::condition_variable allEnded_;
    std::size_t running_ = 0;
    std::vector<pthread_t> ended_;
};

} // namespace jasminewood::http::internal
