#include "jasminewood/wire/codec.h"

#include <utility>

#include <fmt/format.h>

#include "item_reader.h"
#include "item_writer.h"
#include "limit_check.h"

namespace jasminewood::wire
{

namespace
{

// The number of items before the fields: version and type number.
constexpr std::size_t envelopeItems = 2;

template <typename Type>
auto readMessage(internal::ItemReader &reader, std::size_t receivedFields) -> Result<Message>
{
    if (receivedFields != internal::fieldCount<Type>) {
        return internal::decodeFailure(
            fmt::format("message type {} has {} fields", internal::typeNumber<Type>, receivedFields));
    }
    auto message = reader.readFields<Type>();
    if (!reader.firstError().empty()) {
        return internal::decodeFailure(reader.firstError());
    }
    return Message(std::move(message));
}

// Reads the message type with this number among the alternatives of Message from Index on.
template <std::size_t Index = 0>
auto readMessageOfType(std::uint32_t type, internal::ItemReader &reader, std::size_t receivedFields) -> Result<Message>
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return internal::decodeFailure(fmt::format("unknown message type {}", type));
    } else {
        using Type = std::variant_alternative_t<Index, Message>;
        static_assert(internal::typeNumber<Type> != 0, "every message needs a type number");
        if (type == internal::typeNumber<Type>) {
            return readMessage<Type>(reader, receivedFields);
        }
        return readMessageOfType<Index + 1>(type, reader, receivedFields);
    }
}

} // namespace

auto validate(const Message &message) -> Status
{
    auto check = internal::LimitCheck();
    std::visit(
        [&check](const auto &value) {
            check.checkFields(value);
        },
        message);
    if (!check.firstError().empty()) {
        return Failure {.step_ = "encode", .reason_ = check.firstError()};
    }
    // The encoded array header, version and type number.
    constexpr std::size_t envelopeBytes = 9;
    if (check.encodedBytes() + envelopeBytes > maximumMessageBytes) {
        return Failure {.step_ = "encode", .reason_ = "the message is too long"};
    }
    return std::nullopt;
}

auto encode(const Message &message) -> std::string
{
    return std::visit(
        [](const auto &value) -> std::string {
            return internal::ItemWriter().encodeMessage(value);
        },
        message);
}

auto decode(std::string_view bytes) -> Result<Message>
{
    if (bytes.size() > maximumMessageBytes) {
        return internal::decodeFailure("the message is too long");
    }
    const auto items = internal::splitItems(bytes);
    if (!items) {
        return items.failure();
    }
    auto reader = internal::ItemReader(*items);
    const auto count = reader.readListStart();
    const auto version = reader.readNumber<std::uint32_t>();
    const auto type = reader.readNumber<std::uint32_t>();
    if (!reader.firstError().empty() || count < envelopeItems) {
        return internal::decodeFailure("the message has no version and type");
    }
    if (version != protocolVersion) {
        return internal::decodeFailure(fmt::format("protocol version {} instead of {}", version, protocolVersion));
    }
    return readMessageOfType(type, reader, count - envelopeItems);
}

} // namespace jasminewood::wire
