#include "message_buffer.h"

#include <fmt/format.h>

#include "jasminewood/wire/codec.h"

namespace jasminewood::link::internal
{

namespace
{

// A buffer that has grown beyond this for a large message is released once it is empty. Consumed bytes beyond this are
// erased.
constexpr std::size_t maximumRetainedBytes = 64U << 10U;

auto readLength(std::string_view prefix) -> std::size_t
{
    auto length = std::size_t(0);
    for (const auto byte : prefix) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}

} // namespace

auto lengthPrefix(std::size_t size) -> std::string
{
    auto prefix = std::string(lengthPrefixBytes, '\0');
    for (auto position = lengthPrefixBytes; position-- > 0; size >>= 8U) {
        prefix[position] = static_cast<char>(size & 0xFFU);
    }
    return prefix;
}

auto MessageBuffer::append(std::string_view bytes) -> void
{
    bytes_.append(bytes);
}

auto MessageBuffer::takeMessage() -> Result<std::optional<wire::Message>>
{
    const auto rest = std::string_view(bytes_).substr(consumedBytes_);
    if (rest.size() < lengthPrefixBytes) {
        return std::optional<wire::Message>();
    }
    const auto length = readLength(rest.substr(0, lengthPrefixBytes));
    if (length > wire::maximumMessageBytes) {
        return Failure {.step_ = "decode", .reason_ = fmt::format("a message of {} bytes is announced", length)};
    }
    if (rest.size() < lengthPrefixBytes + length) {
        return std::optional<wire::Message>();
    }
    auto message = wire::decode(rest.substr(lengthPrefixBytes, length));
    if (!message) {
        return message.failure();
    }
    consumedBytes_ += lengthPrefixBytes + length;
    discardConsumed();
    return std::optional<wire::Message>(*message);
}

auto MessageBuffer::discardConsumed() -> void
{
    if (consumedBytes_ == bytes_.size()) {
        bytes_.clear();
        consumedBytes_ = 0;
        if (bytes_.capacity() > maximumRetainedBytes) {
            bytes_.shrink_to_fit();
        }
    } else if (consumedBytes_ > maximumRetainedBytes) {
        bytes_.erase(0, consumedBytes_);
        consumedBytes_ = 0;
    }
}

} // namespace jasminewood::link::internal
