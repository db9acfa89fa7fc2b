#include "event_splitter.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward::internal
{

namespace
{

// Returns the position after the last empty line; 0 if there is none. A line ends with LF or with CR and LF.
auto endOfEvents(std::string_view text) -> std::size_t
{
    const auto plain = text.rfind("\n\n");
    const auto withReturn = text.rfind("\r\n\r\n");
    const auto afterPlain = plain == std::string_view::npos ? 0 : plain + 2;
    const auto afterReturn = withReturn == std::string_view::npos ? 0 : withReturn + 4;
    return std::max(afterPlain, afterReturn);
}

// Returns the value of the last field "id" in the text, or an empty view.
auto lastIdIn(std::string_view text) -> std::string_view
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

auto EventSplitter::take(std::string_view data) -> std::string
{
    partial_.append(data);
    const auto end = endOfEvents(partial_);
    auto events = partial_.substr(0, end);
    partial_.erase(0, end);
    if (const auto id = lastIdIn(events); !id.empty()) {
        lastId_ = std::string(id);
    }
    return events;
}

auto EventSplitter::dropPartial() -> void
{
    partial_.clear();
}

auto EventSplitter::takePartial() -> std::string
{
    return std::exchange(partial_, {});
}

auto EventSplitter::lastId() const -> const std::string &
{
    return lastId_;
}

} // namespace jasminewood::forward::internal
