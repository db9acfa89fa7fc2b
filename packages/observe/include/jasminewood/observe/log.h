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

// Parses the output of toString(). Returns Info for any other text.
auto parseLevel(std::string_view name) -> Level;

struct Field
{
    const std::string key_;
    const std::variant<std::string, std::int64_t, double, bool> value_;

    auto operator<=>(const Field &) const = default;
};

using Fields = std::vector<Field>;

// Returns the fields request and attempt.
auto fieldsOf(const AttemptId &attempt) -> Fields;

// Returns the fields step, peer, reason and run_state.
auto fieldsOf(const Failure &failure) -> Fields;

// Returns the first fields followed by the second.
auto concatenate(const Fields &first, const Fields &second) -> Fields;

// Returns one line including its newline, with the fields and then the further ones. Invalid UTF-8 is replaced, so that
// the line is always valid JSON.
auto formatLine(std::chrono::system_clock::time_point time, Level level, const NodeId &node, std::string_view message,
    const Fields &fields, const Fields &furtherFields = {}) -> std::string;

// What happens to a line that cannot be written without blocking.
enum class Overflow : std::uint8_t
{
    // The writing thread blocks.
    Block,
    // The line is dropped, as are lines beyond maximumLinesPerSecond. The next line that is written has the number of
    // dropped lines in its field "dropped".
    Drop,
};

constexpr std::uint32_t maximumLinesPerSecond = 2'000;
// Bytes that a pipe which is ready for writing accepts without blocking; a longer line might block.
constexpr std::size_t maximumNonBlockingLineBytes = 4'096;

// Writes log lines of a process. Copies share the output. Thread-safe.
class Log
{
public:
    // Writes lines of at least the minimum level to the descriptor, which the caller owns and keeps open.
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
