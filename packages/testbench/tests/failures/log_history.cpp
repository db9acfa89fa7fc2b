#include "log_history.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jasminewood::testbench
{

namespace
{

using nlohmann::json;

constexpr auto evictedReason = "evicted from the queue by a higher tier";
constexpr auto fullReason = "queue is full";

// Parses "YYYY-MM-DDTHH:MM:SS.mmmZ".
auto parseWallTime(const std::string &text) -> std::optional<WallTime>
{
    auto parts = std::tm {};
    auto milliseconds = 0;
    if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
            &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &milliseconds)
        != 7) {
        return std::nullopt;
    }
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return std::chrono::system_clock::from_time_t(timegm(&parts)) + Milliseconds(milliseconds);
}

auto processName(const json &line) -> std::string
{
    return fmt::format("{}@{}", line.value("process", ""), line.value("incarnation", std::uint64_t(0)));
}

class LogParser
{
public:
    LogParser(WallTime origin, const std::map<std::string, Tier> &tiers)
        : origin_(origin)
        , tiers_(tiers)
    {
    }

    auto read(const json &line) -> void
    {
        const auto time = parseWallTime(line.value("ts", ""));
        if (!time) {
            return;
        }
        // The log has a resolution of 1 ms. Later lines get later times, so that the order of the lines is kept.
        const auto loggedTime = std::chrono::duration_cast<Microseconds>(*time - origin_);
        time_ = std::max(loggedTime, time_ + Microseconds(1));
        const auto message = line.value("message", "");
        if (message == "started") {
            add(ProcessStarted {processName(line)});
        } else if (message == "manifest in force") {
            add(ManifestActive {processName(line), line.value("revision", std::uint64_t(0))});
        } else if (line.contains("attempt")) {
            readAttempt(line, message);
        }
    }

    auto history() const -> const History &
    {
        return history_;
    }

private:
    template <typename Event>
    auto add(Event event) -> void
    {
        history_.push_back(HistoryEvent {.time_ = time_, .event_ = std::move(event)});
    }

    auto readAttempt(const json &line, const std::string &step) -> void
    {
        const auto attempt = fmt::format("{}#{}", line.value("request", ""), line.value("attempt", 0));
        const auto detail = line.value("detail", "");
        if (step == "receive" && tiers_.count(detail) > 0) {
            attemptTiers_.emplace(attempt, tiers_.at(detail));
            add(AttemptQueued {processName(line), attempt, tiers_.at(detail)});
        } else if (step == "start") {
            add(AttemptStarted {processName(line), attempt});
        } else if (step == "refuse" && attemptTiers_.count(attempt) > 0
            && (detail.find(evictedReason) != std::string::npos || detail.find(fullReason) != std::string::npos)) {
            add(AttemptShed {processName(line), attempt, attemptTiers_.at(attempt)});
        }
    }

    const WallTime origin_;
    const std::map<std::string, Tier> &tiers_;
    std::map<std::string, Tier> attemptTiers_;
    Microseconds time_ = Microseconds::min();
    History history_;
};

auto readJsonLines(const std::string &path) -> std::vector<json>
{
    auto lines = std::vector<json>();
    auto file = std::ifstream(path);
    for (auto text = std::string(); std::getline(file, text);) {
        auto line = json::parse(text, nullptr, false);
        if (line.is_object()) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

} // namespace

auto historyOfLog(const std::string &path, WallTime origin, const std::map<std::string, Tier> &tiers) -> History
{
    auto parser = LogParser(origin, tiers);
    for (const auto &line : readJsonLines(path)) {
        parser.read(line);
    }
    return parser.history();
}

auto countLogged(const std::string &path, const std::string &message) -> std::size_t
{
    const auto lines = readJsonLines(path);
    return std::size_t(std::count_if(lines.begin(), lines.end(), [&](const json &line) -> bool {
        return line.value("message", "") == message;
    }));
}

auto lastRun(const History &history) -> History
{
    // A manifest can become active before the process logs that it has started, so events are selected by the
    // incarnation in the process name and not by their position.
    auto process = std::string();
    for (const auto &event : history) {
        if (const auto *started = std::get_if<ProcessStarted>(&event.event_)) {
            process = started->process_;
        }
    }
    auto found = History();
    std::copy_if(history.begin(), history.end(), std::back_inserter(found), [&](const HistoryEvent &event) -> bool {
        const auto *seen = std::get_if<ManifestActive>(&event.event_);
        return seen == nullptr || seen->process_ == process;
    });
    return found;
}

auto historyOfBookings(const std::string &path, WallTime origin) -> History
{
    auto history = History();
    for (const auto &line : readJsonLines(path)) {
        const auto time = WallTime(Milliseconds(line.value("time_ms", std::int64_t(0))));
        history.push_back(HistoryEvent {.time_ = std::chrono::duration_cast<Microseconds>(time - origin),
            .event_ = RunRecorded {.requestId_ = line.value("request", ""), .idempotencyKey_ = line.value("key", "")}});
    }
    return history;
}

} // namespace jasminewood::testbench
