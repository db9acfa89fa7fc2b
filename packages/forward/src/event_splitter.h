#pragma once

#include <cstddef>
#include <string>
#include <string_view>

// Splits a stream of server-sent events at event boundaries, so that a caller receives only complete events and an
// interrupted stream can be resumed after the last one.

namespace jasminewood::forward::internal
{

class EventSplitter
{
public:
    // Appends received data and returns the events that it completes, byte for byte.
    auto split(std::string_view data) -> std::string;

    // Returns whether received data completes an event that a resumed stream had before: its id, a number, is not above
    // the one before it.
    auto repeatsEvent(std::string_view data) const -> bool;

    // Discards an incomplete event, because the stream is resumed at another upstream.
    auto discardPartial() -> void;

    // Returns and clears the incomplete event that remains at the end of the stream.
    auto takePartial() -> std::string;

    // Returns the size of the incomplete event.
    auto partialBytes() const -> std::size_t;

    // Returns the id of the last complete event that had one; empty if none had.
    auto lastEventId() const -> const std::string &;

private:
    std::string partialEvent_;
    std::string lastEventId_;
    bool isResumed_ = false;
};

} // namespace jasminewood::forward::internal
