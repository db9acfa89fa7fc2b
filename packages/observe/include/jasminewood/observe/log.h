#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"

// Logs as JSON lines, one write call per line, so that lines of several threads and processes are never mixed.
//
//     const auto log = observe::Log(node, observe::Level::Info);
//     const auto requestLog = log.with(observe::fieldsOf(attempt));
//     requestLog.info("dispatched", {{"peer", agent.name_}, {"queued", 3}});
//
// Each line has ts (UTC with milliseconds), level, process, incarnation and message, followed by the fields. The fields
// request, attempt, step and peer have the same meaning in every line.

namespace jasminewood::observe
{

enum class Level : std::uint8_t
{
    Debug,
    Info,
    Warning,
    Error,
};

// Returns "debug", "info", "warning" or "error".
auto toString(Level level) -> std::string_view;

// The reverse of toString(); any other text is Info.
auto parseLevel(std::string_view name) -> Level;

struct Field
{
    const std::string key_;
    const std::variant<std::string, std::int64_t, double, bool> value_;

    auto operator<=>(const Field &) const = default;
};

using Fields = std::vector<Field>;

// Fields request and attempt.
auto fieldsOf(const AttemptId &attempt) -> Fields;

// Fields step, peer, reason and run_state.
auto fieldsOf(const Failure &failure) -> Fields;

// Both lists, one after the other.
auto concatenate(const Fields &first, const Fields &second) -> Fields;

// Returns one line with its end. Bytes that are no UTF-8 are replaced, so that the line is always valid JSON.
auto formatLine(std::chrono::system_clock::time_point time, Level level, const NodeId &node, std::string_view message,
    const Fields &fields) -> std::string;

// What happens to a line that the descriptor does not take at once.
enum class Overflow : std::uint8_t
{
    // The writer waits.
    Block,
    // The line is dropped, as are lines beyond maximumLinesPerSecond; the next line tells how many in "dropped".
    Drop,
};

constexpr std::uint32_t maximumLinesPerSecond = 2'000;
// A pipe that is ready takes this much at once, so that a longer line might block.
constexpr std::size_t maximumNonBlockingLine = 4'096;

// Handle of a process's log; copies share the output. Thread-safe.
class Log
{
public:
    // Writes lines of at least the minimum level to the descriptor, which stays open and belongs to the caller.
    explicit Log(NodeId node, Level minimum = Level::Info, int descriptor = 2, Overflow overflow = Overflow::Block);

    // Returns a handle that adds these fields to each line.
    auto with(const Fields &fields) const -> Log;

    auto write(Level level, std::string_view message, const Fields &fields = {}) const -> void;
    auto debug(std::string_view message, const Fields &fields = {}) const -> void;
    auto info(std::string_view message, const Fields &fields = {}) const -> void;
    auto warning(std::string_view message, const Fields &fields = {}) const -> void;
    auto error(std::string_view message, const Fields &fields = {}) const -> void;

private:
    struct Output;

    Log(std::shared_ptr<Output> output, Fields context);

    std::shared_ptr<Output> output_;
    std::shared_ptr<const Fields> context_;
};

} // namespace jasminewood::observe
