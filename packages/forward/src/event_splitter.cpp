#include "event_splitter.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward::internal
{

namespace
{

// Returns the position after the last empty line, or 0 if there is none. Lines end with LF or CRLF.
auto endOfLastEvent(std::string_view text) -> std::size_t
{
    const auto lf = text.rfind("\n\n");
    const auto crlf = text.rfind("\r\n\r\n");
    const auto afterLf = lf == std::string_view::npos ? 0 : lf + 2;
    const auto afterCrlf = crlf == std::string_view::npos ? 0 : crlf + 4;
    return std::max(afterLf, afterCrlf);
}

// Returns the value of the last "id" field in the text, or an empty view.
auto lastEventIdIn(std::string_view text) -> std::string_view
{
    auto id = std::string_view();
    for (auto start = std::size_t(0); start < text.size();) {
        const auto end = std::min(text.find('\n', start), text.size());
        auto line = text.substr(start, end - start);
        if (line.starts_with("id:")) {
            line.remove_prefix(std::string_view("id:").size());
            line = line.substr(0, line.find('\r'));
            id = line.starts_with(' ') ? line.substr(1) : line;
        }
        start = end + 1;
    }
    return id;
}

} // namespace

auto EventSplitter::split(std::string_view data) -> std::string
{
    partialEvent_.append(data);
    const auto end = endOfLastEvent(partialEvent_);
    auto events = partialEvent_.substr(0, end);
    partialEvent_.erase(0, end);
    if (const auto id = lastEventIdIn(events); !id.empty()) {
        lastEventId_ = std::string(id);
    }
    return events;
}

auto EventSplitter::discardPartial() -> void
{
    partialEvent_.clear();
}

auto EventSplitter::takePartial() -> std::string
{
    return std::exchange(partialEvent_, {});
}

auto EventSplitter::lastEventId() const -> const std::string &
{
    return lastEventId_;
}

} // namespace jasminewood::forward::internal
