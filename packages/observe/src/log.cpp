#include "jasminewood/observe/log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <iterator>
#include <mutex>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace jasminewood::observe
{

namespace
{

constexpr auto levelNames = std::array<std::string_view, 4> {"debug", "info", "warning", "error"};

// Returns whether the text is the same between the quotes of a JSON string.
auto needsNoEscape(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        return letter >= ' ' && letter <= '~' && letter != '"' && letter != '\\';
    });
}

auto appendJsonText(std::string &line, std::string_view text) -> void
{
    constexpr int noIndent = -1;
    if (needsNoEscape(text)) {
        line += '"';
        line += text;
        line += '"';
        return;
    }
    line += nlohmann::json(text).dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct ValueAppender
{
    std::string &line_;

    auto operator()(const std::string &text) const -> void
    {
        appendJsonText(line_, text);
    }

    auto operator()(std::int64_t number) const -> void
    {
        fmt::format_to(std::back_inserter(line_), "{}", number);
    }

    // JSON has no infinity and no NaN.
    auto operator()(double number) const -> void
    {
        line_ += std::isfinite(number) ? fmt::format("{}", number) : "null";
    }

    auto operator()(bool value) const -> void
    {
        line_ += value ? "true" : "false";
    }
};

auto appendFields(std::string &line, const Fields &fields) -> void
{
    for (const auto &field : fields) {
        line += ',';
        appendJsonText(line, field.key_);
        line += ':';
        std::visit(ValueAppender {line}, field.value_);
    }
}

// Ignores write errors, because there is no other place to report them.
auto writeAll(int descriptor, std::string_view text) -> void
{
    while (!text.empty()) {
        const auto written = ::write(descriptor, text.data(), text.size());
        if (written < 0 && errno != EINTR) {
            return;
        }
        text.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
    }
}

} // namespace

struct Log::Output
{
    const NodeId node_;
    const Level minimum_;
    const int descriptor_;
    const Overflow overflow_;
    std::mutex mutex_ = {};
    std::int64_t droppedLines_ = 0;
    std::chrono::steady_clock::time_point windowStart_ = {};
    std::uint32_t linesInWindow_ = 0;

    // Returns whether to write a line of this size now. Precondition: the caller holds mutex_.
    auto shouldWrite(std::size_t size) -> bool
    {
        if (overflow_ == Overflow::Block) {
            return true;
        }
        const auto now = std::chrono::steady_clock::now();
        if (now - windowStart_ >= std::chrono::seconds(1)) {
            windowStart_ = now;
            linesInWindow_ = 0;
        }
        auto poller = pollfd {.fd = descriptor_, .events = POLLOUT, .revents = 0};
        return size <= maximumNonBlockingLineBytes && linesInWindow_++ < maximumLinesPerSecond
            && poll(&poller, 1, 0) > 0;
    }
};

auto toString(Level level) -> std::string_view
{
    return levelNames.at(static_cast<std::size_t>(level));
}

auto parseLevel(std::string_view name) -> Level
{
    for (auto index = std::size_t(0); index < levelNames.size(); ++index) {
        if (levelNames.at(index) == name) {
            return static_cast<Level>(index);
        }
    }
    return Level::Info;
}

auto fieldsOf(const AttemptId &attempt) -> Fields
{
    return {{.key_ = "request", .value_ = attempt.requestId_}, {.key_ = "attempt", .value_ = attempt.number_}};
}

auto fieldsOf(const Failure &failure) -> Fields
{
    return {{.key_ = "step", .value_ = failure.step_}, {.key_ = "peer", .value_ = failure.peer_},
        {.key_ = "reason", .value_ = failure.reason_},
        {.key_ = "run_state", .value_ = std::string(toString(failure.runState_))}};
}

auto concatenate(const Fields &first, const Fields &second) -> Fields
{
    auto all = Fields();
    all.reserve(first.size() + second.size());
    std::copy(first.begin(), first.end(), std::back_inserter(all));
    std::copy(second.begin(), second.end(), std::back_inserter(all));
    return all;
}

auto formatLine(std::chrono::system_clock::time_point time, Level level, const NodeId &node, std::string_view message,
    const Fields &fields, const Fields &furtherFields) -> std::string
{
    constexpr int millisecondsPerSecond = 1000;
    constexpr std::size_t usualLineBytes = 1024;
    const auto sinceEpoch = std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const auto second = std::chrono::floor<std::chrono::seconds>(time);
    auto line = std::string();
    line.reserve(usualLineBytes);
    fmt::format_to(std::back_inserter(line), R"({{"ts":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","process":)",
        fmt::gmtime(std::chrono::system_clock::to_time_t(second)), sinceEpoch % millisecondsPerSecond, toString(level));
    appendJsonText(line, node.name_);
    fmt::format_to(std::back_inserter(line), R"(,"incarnation":{},"message":)", node.incarnation_);
    appendJsonText(line, message);
    appendFields(line, fields);
    appendFields(line, furtherFields);
    line += "}\n";
    return line;
}

Log::Log(NodeId node, Level minimum, int descriptor, Overflow overflow)
    : Log(std::shared_ptr<Output>(new Output {
              .node_ = std::move(node), .minimum_ = minimum, .descriptor_ = descriptor, .overflow_ = overflow}),
        {})
{
}

Log::Log(std::shared_ptr<Output> output, Fields context)
    : output_(std::move(output))
    , context_(std::make_shared<const Fields>(std::move(context)))
{
}

auto Log::with(const Fields &fields) const -> Log
{
    return Log(output_, concatenate(*context_, fields));
}

auto Log::write(Level level, std::string_view message, const Fields &fields) const -> void
{
    if (level < output_->minimum_) {
        return;
    }
    auto line = formatLine(std::chrono::system_clock::now(), level, output_->node_, message, *context_, fields);
    // The lock prevents interleaving if a line needs several write calls.
    const auto lock = std::lock_guard(output_->mutex_);
    if (output_->droppedLines_ > 0) {
        line.insert(
            line.size() - std::string_view("}\n").size(), fmt::format(",\"dropped\":{}", output_->droppedLines_));
    }
    if (!output_->shouldWrite(line.size())) {
        ++output_->droppedLines_;
        return;
    }
    output_->droppedLines_ = 0;
    writeAll(output_->descriptor_, line);
}

auto Log::debug(std::string_view message, const Fields &fields) const -> void
{
    write(Level::Debug, message, fields);
}

auto Log::info(std::string_view message, const Fields &fields) const -> void
{
    write(Level::Info, message, fields);
}

auto Log::warning(std::string_view message, const Fields &fields) const -> void
{
    write(Level::Warning, message, fields);
}

auto Log::error(std::string_view message, const Fields &fields) const -> void
{
    write(Level::Error, message, fields);
}

} // namespace jasminewood::observe
