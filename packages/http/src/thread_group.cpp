#include "thread_group.h"

#include <memory>
#include <utility>

namespace jasminewood::http::internal
{

namespace
{

auto joinEach(const std::vector<pthread_t> &threads) -> void
{
    for (const auto thread : threads) {
        pthread_join(thread, nullptr);
    }
}

} // namespace

ThreadGroup::ThreadGroup(std::size_t stackBytes)
    : stackBytes_(stackBytes)
{
}

ThreadGroup::~ThreadGroup()
{
    join();
}

auto ThreadGroup::start(std::function<auto()->void> run) -> bool
{
    auto task = std::make_unique<Task>(Task {.group_ = *this, .run_ = std::move(run)});
    auto attributes = pthread_attr_t {};
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes_);
    const auto lock = std::scoped_lock(mutex_);
    auto thread = pthread_t {};
    const auto error = pthread_create(&thread, &attributes, &ThreadGroup::runTask, task.get());
    pthread_attr_destroy(&attributes);
    if (error != 0) {
        return false;
    }
    ++running_;
    static_cast<void>(task.release());
    return true;
}

auto ThreadGroup::join() -> void
{
    auto ended = std::vector<pthread_t>();
    {
        auto lock = std::unique_lock(mutex_);
        allEnded_.wait(lock, [this] {
            return running_ == 0;
        });
        ended = std::exchange(ended_, {});
    }
    joinEach(ended);
}

auto ThreadGroup::runTask(void *task) -> void *
{
    const auto owned = std::unique_ptr<Task>(static_cast<Task *>(task));
    owned->run_();
    owned->group_.recordEnd();
    return nullptr;
}

auto ThreadGroup::recordEnd() -> void
{
    auto ended = std::vector<pthread_t>();
    {
        const auto lock = std::scoped_lock(mutex_);
        ended = std::exchange(ended_, {pthread_self()});
        --running_;
        allEnded_.notify_all();
    }
    joinEach(ended);
}

} // namespace jasminewood::http::internal
