#include "event_splitter.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>
#include <vector>

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

// Returns the values of the "id" fields in the text, in order.
auto eventIdsIn(std::string_view text) -> std::vector<std::string_view>
{
    auto ids = std::vector<std::string_view>();
    for (auto start = std::size_t(0); start < text.size();) {
        const auto end = std::min(text.find('\n', start), text.size());
        auto line = text.substr(start, end - start);
        if (line.starts_with("id:")) {
            line.remove_prefix(std::string_view("id:").size());
            line = line.substr(0, line.find('\r'));
            ids.push_back(line.starts_with(' ') ? line.substr(1) : line);
        }
        start = end + 1;
    }
    return ids;
}

// Returns whether an id is a number that is not above that of the event before it.
auto isRepeated(std::string_view id, std::string_view before) -> bool
{
    auto number = std::uint64_t(0);
    auto numberBefore = std::uint64_t(0);
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    const auto parsedBefore = std::from_chars(before.data(), before.data() + before.size(), numberBefore);
    return parsed.ec == std::errc() && parsedBefore.ec == std::errc() && number <= numberBefore;
}

} // namespace

auto EventSplitter::split(std::string_view data) -> std::string
{
    partialEvent_.append(data);
    const auto end = endOfLastEvent(partialEvent_);
    auto events = partialEvent_.substr(0, end);
    partialEvent_.erase(0, end);
    if (const auto ids = eventIdsIn(events); !ids.empty() && !ids.back().empty()) {
        lastEventId_ = std::string(ids.back());
    }
    return events;
}

auto EventSplitter::repeatsEvent(std::string_view data) const -> bool
{
    if (!isResumed_) {
        return false;
    }
    const auto text = partialEvent_ + std::string(data);
    const auto ids = eventIdsIn(std::string_view(text).substr(0, endOfLastEvent(text)));
    auto before = std::string_view(lastEventId_);
    return std::any_of(ids.begin(), ids.end(), [&before](std::string_view id) {
        return isRepeated(id, std::exchange(before, id));
    });
}

auto EventSplitter::discardPartial() -> void
{
    isResumed_ = true;
    partialEvent_.clear();
}

auto EventSplitter::takePartial() -> std::string
{
    return std::exchange(partialEvent_, {});
}

auto EventSplitter::partialBytes() const -> std::size_t
{
    return partialEvent_.size();
}

auto EventSplitter::lastEventId() const -> const std::string &
{
    return lastEventId_;
}

} // namespace jasminewood::forward::internal
