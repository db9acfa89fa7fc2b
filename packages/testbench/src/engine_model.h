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

// The load as /metrics shows it.
struct EngineReport
{
    const TimePoint time_;
    const std::size_t running_ = 0;
    const std::size_t waiting_ = 0;

    auto operator<=>(const EngineReport &) const = default;
};

// Thread-safe. Each sequence is used by one thread, which waits on the sequence's condition variable.
class EngineModel
{
public:
    class Sequence
    {
    private:
        friend class EngineModel;

        // Waiting sequences start in this order.
        std::pair<std::int64_t, std::uint64_t> rank_;
        bool running_ = false;
        std::condition_variable wake_;
    };

    explicit EngineModel(const FakeEngineOptions &options);

    // Queues a sequence; a lower priority number starts first.
    auto queue(std::int64_t priority) -> std::shared_ptr<Sequence>;

    // Waits for a slot. These three return false if the engine ended.
    auto waitForSlot(Sequence &sequence) -> bool;
    auto prefill(Sequence &sequence, std::string_view prompt) -> bool;
    auto decodeToken(Sequence &sequence) -> bool;

    // Removes a sequence, whether it waits or runs.
    auto remove(const std::shared_ptr<Sequence> &sequence) -> void;

    // Waits while the engine is stalled; returns false if the engine ended.
    auto waitWhileStalled() -> bool;

    // Ends the engine: all waits return false.
    auto end() -> void;

    auto slow(double factor, std::optional<Milliseconds> duration) -> void;
    auto stall(bool stalled) -> void;
    auto dropAfter(std::size_t tokens, std::size_t count) -> void;

    // Returns after how many tokens an answer that starts now is cut off, and counts it.
    auto takeDrop() -> std::optional<std::size_t>;

    auto countRun(const std::string &requestId) -> void;
    auto runs() -> std::map<std::string, std::size_t>;

    // Returns the number of tokens generated since the start; it has no lag.
    auto generatedTokens() -> std::uint64_t;

    // Returns the newest report that is at least as old as the report lag.
    auto report() -> EngineReport;

private:
    using Duration = std::chrono::duration<double, std::milli>;

    auto pause(Sequence &sequence, std::unique_lock<std::mutex> &lock, Duration duration) -> bool;
    auto slowFactor() const -> double;
    auto admitWaiting() -> void;
    auto record() -> void;
    auto wakeAll() -> void;

    const FakeEngineOptions options_;
    std::mutex mutex_;
    std::condition_variable stallChanged_;
    PrefixCache cache_;
    std::map<std::pair<std::int64_t, std::uint64_t>, std::shared_ptr<Sequence>> waiting_;
    std::set<std::shared_ptr<Sequence>> running_;
    std::uint64_t queued_ = 0;
    std::uint64_t generatedTokens_ = 0;
    bool ended_ = false;
    bool stalled_ = false;
    double slowFactor_ = 1.0;
    std::optional<TimePoint> slowEnd_;
    std::size_t dropTokens_ = 0;
    std::size_t dropCount_ = 0;
    std::map<std::string, std::size_t> runs_;
    std::deque<EngineReport> reports_;
};

} // namespace jasminewood::testbench::internal
