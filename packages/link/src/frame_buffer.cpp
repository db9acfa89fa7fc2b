#include "frame_buffer.h"

#include <fmt/format.h>

#include "jasminewood/wire/codec.h"

namespace jasminewood::link::internal
{

namespace
{

// A buffer that has grown beyond this for a large message is given back once it is empty.
constexpr std::size_t keptBytes = 64U << 10U;

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
    auto prefix = std::string(prefixBytes, '\0');
    for (auto position = prefixBytes; position-- > 0; size >>= 8U) {
        prefix[position] = static_cast<char>(size & 0xFFU);
    }
    return prefix;
}

auto FrameBuffer::append(std::string_view bytes) -> void
{
    bytes_.append(bytes);
}

auto FrameBuffer::take() -> Result<std::optional<wire::Message>>
{
    const auto rest = std::string_view(bytes_).substr(taken_);
    if (rest.size() < prefixBytes) {
        return std::optional<wire::Message>();
    }
    const auto length = readLength(rest.substr(0, prefixBytes));
    if (length > wire::maximumMessageBytes) {
        return Failure {.step_ = "decode", .reason_ = fmt::format("a message of {} bytes is announced", length)};
    }
    if (rest.size() < prefixBytes + length) {
        return std::optional<wire::Message>();
    }
    auto message = wire::decode(rest.substr(prefixBytes, length));
    if (!message) {
        return message.failure();
    }
    taken_ += prefixBytes + length;
    dropTaken();
    return std::optional<wire::Message>(*message);
}

auto FrameBuffer::dropTaken() -> void
{
    if (taken_ == bytes_.size()) {
        bytes_.clear();
        taken_ = 0;
        if (bytes_.capacity() > keptBytes) {
            bytes_.shrink_to_fit();
        }
    } else if (taken_ > keptBytes) {
        bytes_.erase(0, taken_);
        taken_ = 0;
    }
}

} // namespace jasminewood::link::internal
