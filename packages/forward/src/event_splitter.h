#pragma once

#include <string>
#include <string_view>

// Splits a stream of server-sent events at the ends of events, so that a caller receives whole events only and a broken
// stream can go on after the last one.

namespace jasminewood::forward::internal
{

class EventSplitter
{
public:
    // Takes data as it arrives and returns the events that are complete with it, byte for byte.
    auto split(std::string_view data) -> std::string;

    // Forgets a part of an event, because the stream goes on at another upstream.
    auto discardPartial() -> void;

    // Returns the part of an event that has arrived, for the end of the stream.
    auto takePartial() -> std::string;

    // The id of the last complete event; empty if it had none.
    auto lastEventId() const -> const std::string &;

private:
    std::string partialEvent_;
    std::string lastEventId_;
};

} // namespace jasminewood::forward::internal
