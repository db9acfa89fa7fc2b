#include "engine_model.h"

namespace jasminewood::testbench::internal
{

EngineModel::EngineModel(const FakeEngineOptions &options)
    : options_(options)
    , cache_(options.cacheBlocks_)
{
    recordLoad();
}

auto EngineModel::enqueue(std::int64_t priority) -> std::shared_ptr<Sequence>
{
    const auto lock = std::scoped_lock(mutex_);
    auto sequence = std::make_shared<Sequence>();
    sequence->queueKey_ = {priority, nextArrival_++};
    waiting_.emplace(sequence->queueKey_, sequence);
    admitWaiting();
    return sequence;
}

auto EngineModel::waitForSlot(Sequence &sequence) -> bool
{
    auto lock = std::unique_lock(mutex_);
    sequence.wake_.wait(lock, [this, &sequence] {
        return stopped_ || (sequence.running_ && !stalled_);
    });
    return !stopped_;
}

auto EngineModel::prefill(Sequence &sequence, std::string_view prompt) -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto bytes = prompt.size() - cache_.lookUpAndInsert(prompt);
    return simulateWork(sequence, lock, Duration(double(bytes) * options_.prefillMicrosecondsPerByte_ / 1'000.0));
}

auto EngineModel::decodeToken(Sequence &sequence) -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto slowdown = 1.0 + double(running_.size()) * options_.batchSlowdown_;
    if (!simulateWork(sequence, lock, Duration(options_.baseTokenMs_ * slowdown))) {
        return false;
    }
    ++generatedTokens_;
    return true;
}

auto EngineModel::simulateWork(Sequence &sequence, std::unique_lock<std::mutex> &lock, Duration duration) -> bool
{
    const auto scaled = duration * options_.timeScale_ * currentSlowFactor();
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(scaled);
    while (!stopped_ && (stalled_ || Clock::now() < end)) {
        if (stalled_) {
            sequence.wake_.wait(lock);
        } else {
            sequence.wake_.wait_until(lock, end);
        }
    }
    return !stopped_;
}

auto EngineModel::currentSlowFactor() const -> double
{
    return slowEnd_ && Clock::now() >= *slowEnd_ ? 1.0 : slowFactor_;
}

auto EngineModel::remove(const std::shared_ptr<Sequence> &sequence) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    waiting_.erase(sequence->queueKey_);
    running_.erase(sequence);
    admitWaiting();
}

auto EngineModel::admitWaiting() -> void
{
    while (!waiting_.empty() && running_.size() < options_.slots_) {
        const auto first = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        running_.insert(first);
        first->running_ = true;
        first->wake_.notify_all();
    }
    recordLoad();
}

auto EngineModel::waitWhileStalled() -> bool
{
    auto lock = std::unique_lock(mutex_);
    stallChanged_.wait(lock, [this] {
        return stopped_ || !stalled_;
    });
    return !stopped_;
}

auto EngineModel::stop() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    stopped_ = true;
    wakeAll();
}

auto EngineModel::setSlowFactor(double factor, std::optional<Milliseconds> duration) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    slowFactor_ = factor;
    slowEnd_ = duration ? std::optional(Clock::now() + *duration) : std::nullopt;
}

auto EngineModel::setStalled(bool stalled) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    stalled_ = stalled;
    wakeAll();
}

auto EngineModel::wakeAll() -> void
{
    stallChanged_.notify_all();
    for (const auto &sequence : running_) {
        sequence->wake_.notify_all();
    }
    for (const auto &[queueKey, sequence] : waiting_) {
        sequence->wake_.notify_all();
    }
}

auto EngineModel::truncateAfter(std::size_t tokens, std::size_t count) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    truncationTokens_ = tokens;
    truncationCount_ = count;
}

auto EngineModel::consumeTruncation() -> std::optional<std::size_t>
{
    const auto lock = std::scoped_lock(mutex_);
    if (truncationCount_ == 0) {
        return std::nullopt;
    }
    --truncationCount_;
    return truncationTokens_;
}

auto EngineModel::generatedTokens() -> std::uint64_t
{
    const auto lock = std::scoped_lock(mutex_);
    return generatedTokens_;
}

auto EngineModel::recordRun(const std::string &requestId) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ++runCounts_[requestId];
}

auto EngineModel::runCounts() -> std::map<std::string, std::size_t>
{
    const auto lock = std::scoped_lock(mutex_);
    return runCounts_;
}

auto EngineModel::recordLoad() -> void
{
    loadHistory_.push_back(
        EngineLoad {.time_ = Clock::now(), .running_ = running_.size(), .waiting_ = waiting_.size()});
    const auto newestVisible = Clock::now()
        - std::chrono::duration_cast<Clock::duration>(Duration(options_.reportLag_) * options_.timeScale_);
    while (loadHistory_.size() > 1 && loadHistory_[1].time_ <= newestVisible) {
        loadHistory_.pop_front();
    }
}

auto EngineModel::reportedLoad() -> EngineLoad
{
    const auto lock = std::scoped_lock(mutex_);
    recordLoad();
    return loadHistory_.front();
}

} // namespace jasminewood::testbench::internal
