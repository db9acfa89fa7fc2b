#include "stream_progress.h"

#include <algorithm>

namespace jasminewood::forward::internal
{

namespace
{

// The longest field name that counts, with its colon.
constexpr auto dataField = std::string_view("data:");
constexpr auto idField = std::string_view("id:");

} // namespace

auto resumeTimeout(const routes::Route &route) -> Milliseconds
{
    return std::max(minimumStallTimeout, route.eventGapTarget_.value_or(Milliseconds(0)) * stallFactor);
}

StreamProgress::StreamProgress(const StreamLimits &limits, TimePoint startedAt)
    : limits_(limits)
    , lastEventAt_(startedAt)
{
}

auto StreamProgress::record(std::string_view data, TimePoint now) -> void
{
    while (!data.empty()) {
        const auto end = data.find('\n');
        const auto line = data.substr(0, end);
        const auto missing = dataField.size() - std::min(dataField.size(), lineStart_.size());
        lineStart_ += line.substr(0, missing);
        bytesSinceEvent_ += std::min(line.size() + 1, data.size());
        if (end == std::string_view::npos) {
            return;
        }
        data.remove_prefix(end + 1);
        endLine(now);
    }
}

auto StreamProgress::endLine(TimePoint now) -> void
{
    if (lineStart_.empty() || lineStart_ == "\r") {
        if (hasField_) {
            lastEventAt_ = now;
            searchedAt_.reset();
            searchPauseFactor_ = 1;
            hasEvent_ = true;
            bytesSinceEvent_ = 0;
        }
        hasField_ = false;
        hasLine_ = false;
    } else {
        hasLine_ = hasLine_ || !lineStart_.starts_with(':');
        hasField_ = hasField_ || lineStart_.starts_with(dataField) || lineStart_.starts_with(idField);
    }
    lineStart_.clear();
}

auto StreamProgress::recordFailedSearch(TimePoint now) -> void
{
    searchPauseFactor_ = searchedAt_ ? std::min(maximumSearchPauseFactor, 2 * searchPauseFactor_) : 1;
    searchedAt_ = now;
}

auto StreamProgress::stallsAt() const -> TimePoint
{
    return searchedAt_.value_or(lastEventAt_) + limits_.stallTimeout_ * searchPauseFactor_;
}

auto StreamProgress::lastEventAt() const -> TimePoint
{
    return lastEventAt_;
}

auto StreamProgress::endsInsideEvent() const -> bool
{
    return hasLine_ || !lineStart_.empty();
}

auto StreamProgress::hasEvent() const -> bool
{
    return hasEvent_;
}

auto StreamProgress::exceedsEventLimit() const -> bool
{
    return bytesSinceEvent_ > limits_.maximumEventBytes_;
}

} // namespace jasminewood::forward::internal
