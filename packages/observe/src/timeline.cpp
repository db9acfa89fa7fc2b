#include "jasminewood/observe/timeline.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <iterator>

#include <nlohmann/json.hpp>

namespace jasminewood::observe
{

namespace
{

auto nowMicros() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

auto eventToJson(const TimelineEvent &event) -> nlohmann::json
{
    return {{"wall_micros", event.wallMicros_}, {"process", event.process_}, {"sequence", event.sequence_},
        {"request", event.request_}, {"attempt", event.attempt_}, {"step", event.step_}, {"peer", event.peer_},
        {"detail", event.detail_}};
}

// Throws a JSON exception if a member is missing or has another type.
auto eventFromJson(const nlohmann::json &json) -> TimelineEvent
{
    return TimelineEvent {.wallMicros_ = json.at("wall_micros").get<std::int64_t>(),
        .process_ = json.at("process").get<std::string>(),
        .sequence_ = json.at("sequence").get<std::uint64_t>(),
        .request_ = json.at("request").get<std::string>(),
        .attempt_ = json.at("attempt").get<std::uint32_t>(),
        .step_ = json.at("step").get<std::string>(),
        .peer_ = json.at("peer").get<std::string>(),
        .detail_ = json.at("detail").get<std::string>()};
}

} // namespace

Timeline::Timeline(const NodeId &node)
    : process_(toString(node))
{
}

auto Timeline::record(const TimelineEntry &entry) -> void
{
    const auto lock = std::lock_guard(mutex_);
    if (events_.size() == timelineCapacity) {
        events_.pop_front();
    }
    events_.push_back(TimelineEvent {.wallMicros_ = nowMicros(),
        .process_ = process_,
        .sequence_ = ++sequence_,
        .request_ = entry.request_,
        .attempt_ = entry.attempt_,
        .step_ = entry.step_,
        .peer_ = entry.peer_,
        .detail_ = entry.detail_});
}

auto Timeline::select(std::string_view request) const -> std::vector<TimelineEvent>
{
    const auto lock = std::lock_guard(mutex_);
    auto selected = std::vector<TimelineEvent>();
    std::copy_if(
        events_.begin(), events_.end(), std::back_inserter(selected), [request](const TimelineEvent &event) -> bool {
            return event.request_ == request;
        });
    return selected;
}

auto Timeline::selectSpan(std::int64_t fromMicros, std::int64_t toMicros) const -> std::vector<TimelineEvent>
{
    const auto lock = std::lock_guard(mutex_);
    auto selected = std::vector<TimelineEvent>();
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(selected),
        [fromMicros, toMicros](const TimelineEvent &event) -> bool {
            return event.wallMicros_ >= fromMicros && event.wallMicros_ < toMicros;
        });
    return selected;
}

auto toJson(const std::vector<TimelineEvent> &events) -> std::string
{
    constexpr int noIndent = -1;
    auto array = nlohmann::json::array();
    std::transform(events.begin(), events.end(), std::back_inserter(array), eventToJson);
    return array.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto eventsFromJson(std::string_view text) -> Result<std::vector<TimelineEvent>>
{
    try {
        auto events = std::vector<TimelineEvent>();
        const auto array = nlohmann::json::parse(text);
        if (!array.is_array()) {
            return Failure {.step_ = "read timeline", .peer_ = "", .reason_ = "the text is not a JSON array"};
        }
        std::transform(array.begin(), array.end(), std::back_inserter(events), eventFromJson);
        return events;
    } catch (const std::exception &error) {
        return Failure {.step_ = "read timeline", .peer_ = "", .reason_ = error.what()};
    }
}

} // namespace jasminewood::observe
