#include "engine_model.h"

namespace jasminewood::testbench::internal
{

EngineModel::EngineModel(const FakeEngineOptions &options)
    : options_(options)
    , cache_(options.cacheBlocks_)
{
    record();
}

auto EngineModel::queue(std::int64_t priority) -> std::shared_ptr<Sequence>
{
    const auto lock = std::scoped_lock(mutex_);
    auto sequence = std::make_shared<Sequence>();
    sequence->rank_ = {priority, queued_++};
    waiting_.emplace(sequence->rank_, sequence);
    admitWaiting();
    return sequence;
}

auto EngineModel::waitForSlot(Sequence &sequence) -> bool
{
    auto lock = std::unique_lock(mutex_);
    sequence.wake_.wait(lock, [this, &sequence] {
        return ended_ || (sequence.running_ && !stalled_);
    });
    return !ended_;
}

auto EngineModel::prefill(Sequence &sequence, std::string_view prompt) -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto bytes = prompt.size() - cache_.use(prompt);
    return pause(sequence, lock, Duration(double(bytes) * options_.prefillMicrosecondsPerByte_ / 1'000.0));
}

auto EngineModel::decodeToken(Sequence &sequence) -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto slowdown = 1.0 + double(running_.size()) * options_.batchSlowdown_;
    if (!pause(sequence, lock, Duration(options_.baseTokenMs_ * slowdown))) {
        return false;
    }
    ++generatedTokens_;
    return true;
}

auto EngineModel::pause(Sequence &sequence, std::unique_lock<std::mutex> &lock, Duration duration) -> bool
{
    const auto scaled = duration * options_.timeScale_ * slowFactor();
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(scaled);
    while (!ended_ && (stalled_ || Clock::now() < end)) {
        if (stalled_) {
            sequence.wake_.wait(lock);
        } else {
            sequence.wake_.wait_until(lock, end);
        }
    }
    return !ended_;
}

auto EngineModel::slowFactor() const -> double
{
    return slowEnd_ && Clock::now() >= *slowEnd_ ? 1.0 : slowFactor_;
}

auto EngineModel::remove(const std::shared_ptr<Sequence> &sequence) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    waiting_.erase(sequence->rank_);
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
    record();
}

auto EngineModel::waitWhileStalled() -> bool
{
    auto lock = std::unique_lock(mutex_);
    stallChanged_.wait(lock, [this] {
        return ended_ || !stalled_;
    });
    return !ended_;
}

auto EngineModel::end() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ended_ = true;
    wakeAll();
}

auto EngineModel::slow(double factor, std::optional<Milliseconds> duration) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    slowFactor_ = factor;
    slowEnd_ = duration ? std::optional(Clock::now() + *duration) : std::nullopt;
}

auto EngineModel::stall(bool stalled) -> void
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
    for (const auto &[rank, sequence] : waiting_) {
        sequence->wake_.notify_all();
    }
}

auto EngineModel::dropAfter(std::size_t tokens, std::size_t count) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    dropTokens_ = tokens;
    dropCount_ = count;
}

auto EngineModel::takeDrop() -> std::optional<std::size_t>
{
    const auto lock = std::scoped_lock(mutex_);
    if (dropCount_ == 0) {
        return std::nullopt;
    }
    --dropCount_;
    return dropTokens_;
}

auto EngineModel::generatedTokens() -> std::uint64_t
{
    const auto lock = std::scoped_lock(mutex_);
    return generatedTokens_;
}

auto EngineModel::countRun(const std::string &requestId) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ++runs_[requestId];
}

auto EngineModel::runs() -> std::map<std::string, std::size_t>
{
    const auto lock = std::scoped_lock(mutex_);
    return runs_;
}

auto EngineModel::record() -> void
{
    reports_.push_back(EngineReport {.time_ = Clock::now(), .running_ = running_.size(), .waiting_ = waiting_.size()});
    const auto visible = Clock::now()
        - std::chrono::duration_cast<Clock::duration>(Duration(options_.reportLag_) * options_.timeScale_);
    while (reports_.size() > 1 && reports_[1].time_ <= visible) {
        reports_.pop_front();
    }
}

auto EngineModel::report() -> EngineReport
{
    const auto lock = std::scoped_lock(mutex_);
    record();
    return reports_.front();
}

} // namespace jasminewood::testbench::internal
