#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/wire/messages.h"

// Sends messages that exceed a datagram in several datagrams. A message of which one datagram is lost is lost.

namespace jasminewood::forward::internal
{

// Larger datagrams might exceed the path MTU and be fragmented by the network.
constexpr std::size_t maximumDatagramBytes = 1'400;
// The largest message that is split.
constexpr std::size_t maximumSplitBytes = 96 * 1024;

// Returns the datagrams of an encoded message; none if it is too large.
auto splitMessage(const std::string &encoded, std::uint64_t messageId) -> std::vector<std::string>;

// Joins the fragments of each sender's newest message. Its memory is bounded by maximumSplitBytes for each sender that
// the caller admits. Not thread-safe.
class FragmentAssembler
{
public:
    // Returns the encoded message once all of its fragments have arrived.
    auto add(const std::string &sender, const wire::Fragment &fragment) -> std::optional<std::string>;

private:
    struct PartialMessage
    {
        std::uint64_t messageId_ = 0;
        std::uint32_t count_ = 0;
        std::map<std::uint32_t, std::string> parts_;
    };

    std::map<std::string, PartialMessage> partialMessages_;
};

} // namespace jasminewood::forward::internal
