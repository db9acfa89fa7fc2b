#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "jasminewood/core/clock.h"
#include "jasminewood/testbench/fake_engine.h"
#include "prefix_cache.h"

// The timing of a continuously batching engine: slots, priorities, prefill, decoding and injected faults.

namespace jasminewood::testbench::internal
{

// The load as reported by /metrics.
struct EngineLoad
{
    const TimePoint time_;
    const std::size_t running_ = 0;
    const std::size_t waiting_ = 0;

    auto operator<=>(const EngineLoad &) const = default;
};

// Thread-safe. Each sequence is used by one thread, which waits on the sequence's condition variable.
class EngineModel
{
public:
    class Sequence
    {
    private:
        friend class EngineModel;

        // The priority and the arrival number: waiting sequences get slots in ascending order.
        std::pair<std::int64_t, std::uint64_t> queueKey_;
        bool running_ = false;
        std::condition_variable wake_;
    };

    explicit EngineModel(const FakeEngineOptions &options);

    // Adds a sequence to the queue; lower priority numbers are admitted first.
    auto enqueue(std::int64_t priority) -> std::shared_ptr<Sequence>;

    // Wait for a slot, for the prefill and for one decoding step. All three return false if the engine has stopped.
    auto waitForSlot(Sequence &sequence) -> bool;
    auto prefill(Sequence &sequence, std::string_view prompt) -> bool;
    auto decodeToken(Sequence &sequence) -> bool;

    // Removes a waiting or running sequence and admits waiting ones to the free slots.
    auto remove(const std::shared_ptr<Sequence> &sequence) -> void;

    // Waits while the engine is stalled; returns false if the engine has stopped.
    auto waitWhileStalled() -> bool;

    // Stops the engine: all waits return false.
    auto stop() -> void;

    // Multiplies all times by a factor, for a duration or until the next call.
    auto setSlowFactor(double factor, std::optional<Milliseconds> duration) -> void;
    auto setStalled(bool stalled) -> void;

    // Truncates the next `count` responses after a number of tokens.
    auto truncateAfter(std::size_t tokens, std::size_t count) -> void;

    // Returns after how many tokens a response that starts now is truncated, if it is, and uses up one truncation.
    auto consumeTruncation() -> std::optional<std::size_t>;

    auto recordRun(const std::string &requestId) -> void;
    auto runCounts() -> std::map<std::string, std::size_t>;

    // Returns the number of tokens generated since the start, without report lag.
    auto generatedTokens() -> std::uint64_t;

    // Returns the newest recorded load that is at least as old as the report lag.
    auto reportedLoad() -> EngineLoad;

private:
    using Duration = std::chrono::duration<double, std::milli>;

    // Waits for a duration, scaled by the time scale and the slow factor, and while the engine is stalled. Returns
    // false if the engine has stopped.
    auto simulateWork(Sequence &sequence, std::unique_lock<std::mutex> &lock, Duration duration) -> bool;
    auto currentSlowFactor() const -> double;
    auto admitWaiting() -> void;
    auto recordLoad() -> void;
    auto wakeAll() -> void;

    const FakeEngineOptions options_;
    std::mutex mutex_;
    std::condition_variable stallChanged_;
    PrefixCache cache_;
    std::map<std::pair<std::int64_t, std::uint64_t>, std::shared_ptr<Sequence>> waiting_;
    std::set<std::shared_ptr<Sequence>> running_;
    std::uint64_t nextArrival_ = 0;
    std::uint64_t generatedTokens_ = 0;
    bool stopped_ = false;
    bool stalled_ = false;
    double slowFactor_ = 1.0;
    std::optional<TimePoint> slowEnd_;
    std::size_t truncationTokens_ = 0;
    std::size_t truncationCount_ = 0;
    std::map<std::string, std::size_t> runCounts_;
    std::deque<EngineLoad> loadHistory_;
};

} // namespace jasminewood::testbench::internal
