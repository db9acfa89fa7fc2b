#include "fragments.h"

#include <algorithm>

#include "jasminewood/wire/codec.h"

namespace jasminewood::forward::internal
{

namespace
{

// What remains of a datagram beside the fields of a fragment.
constexpr std::size_t fragmentDataBytes = maximumDatagramBytes - 40;

} // namespace

auto splitMessage(const std::string &encoded, std::uint64_t messageId) -> std::vector<std::string>
{
    if (encoded.size() <= maximumDatagramBytes) {
        return {encoded};
    }
    auto datagrams = std::vector<std::string>();
    if (encoded.size() > maximumSplitBytes) {
        return datagrams;
    }
    const auto count = (encoded.size() + fragmentDataBytes - 1) / fragmentDataBytes;
    for (auto index = std::size_t(0); index < count; ++index) {
        datagrams.push_back(wire::encode(wire::Fragment {.messageId_ = messageId,
            .index_ = std::uint32_t(index),
            .count_ = std::uint32_t(count),
            .data_ = encoded.substr(index * fragmentDataBytes, fragmentDataBytes)}));
    }
    return datagrams;
}

auto FragmentAssembler::add(const std::string &sender, const wire::Fragment &fragment) -> std::optional<std::string>
{
    const auto isValid = fragment.index_ < fragment.count_
        && fragment.count_ <= maximumSplitBytes / fragmentDataBytes + 1 && fragment.data_.size() <= fragmentDataBytes;
    if (!isValid) {
        return std::nullopt;
    }
    auto &partial = partialMessages_[sender];
    if (partial.messageId_ != fragment.messageId_ || partial.count_ != fragment.count_) {
        partial = PartialMessage {.messageId_ = fragment.messageId_, .count_ = fragment.count_};
    }
    partial.parts_[fragment.index_] = fragment.data_;
    if (partial.parts_.size() < partial.count_) {
        return std::nullopt;
    }
    auto encoded = std::string();
    for (const auto &[index, data] : partial.parts_) {
        encoded += data;
    }
    partialMessages_.erase(sender);
    return encoded;
}

} // namespace jasminewood::forward::internal
