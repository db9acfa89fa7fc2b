#include "jasminewood/engine/sse_parser.h"

#include <utility>

namespace jasminewood::engine
{

namespace
{

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view dataField = "data";

} // namespace

auto SseParser::feed(std::string_view bytes) -> std::vector<std::string>
{
    auto events = std::vector<std::string>();
    while (!bytes.empty() && !failure_) {
        // "\r\n" is one line end, even if it is split across two calls.
        if (std::exchange(afterCarriageReturn_, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        checkLimit(line_.size() + bytes.substr(0, end).size());
        if (failure_) {
            break;
        }
        line_.append(bytes.substr(0, end));
        if (end == std::string_view::npos) {
            break;
        }
        afterCarriageReturn_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        if (completeLine()) {
            events.push_back(std::exchange(data_, {}));
        }
    }
    return events;
}

auto SseParser::failure() const -> const Status &
{
    return failure_;
}

auto SseParser::completeLine() -> bool
{
    if (std::exchange(atFirstLine_, false) && line_.starts_with(byteOrderMark)) {
        line_.erase(0, byteOrderMark.size());
    }
    if (line_.empty()) {
        return std::exchange(hasData_, false);
    }
    parseField();
    line_.clear();
    return false;
}

auto SseParser::parseField() -> void
{
    const auto line = std::string_view(line_);
    const auto colon = line.find(':');
    if (line.substr(0, colon) != dataField) {
        return;
    }
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    checkLimit(data_.size() + value.size());
    if (std::exchange(hasData_, true)) {
        data_ += '\n';
    }
    data_.append(value);
}

auto SseParser::checkLimit(std::size_t bytes) -> void
{
    if (bytes > maximumEventBytes && !failure_) {
        failure_.emplace(Failure {.step_ = "read", .reason_ = "an event of the stream is too long"});
    }
}

} // namespace jasminewood::engine
