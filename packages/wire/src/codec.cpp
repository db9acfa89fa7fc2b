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

// Version and type number.
constexpr std::size_t envelopeItems = 2;

template <typename Type>
auto readMessage(internal::ItemReader &reader, std::size_t fields) -> Result<Message>
{
    if (fields != internal::fieldCount<Type>) {
        return internal::decodeFailure(
            fmt::format("message type {} has {} fields", internal::typeNumber<Type>, fields));
    }
    auto message = reader.fields<Type>();
    if (!reader.fault().empty()) {
        return internal::decodeFailure(reader.fault());
    }
    return Message(std::move(message));
}

// Tries the alternatives of Message from the given one on.
template <std::size_t Index = 0>
auto readMessageOfType(std::uint32_t type, internal::ItemReader &reader, std::size_t fields) -> Result<Message>
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return internal::decodeFailure(fmt::format("unknown message type {}", type));
    } else {
        using Type = std::variant_alternative_t<Index, Message>;
        static_assert(internal::typeNumber<Type> != 0, "every message needs a type number");
        if (type == internal::typeNumber<Type>) {
            return readMessage<Type>(reader, fields);
        }
        return readMessageOfType<Index + 1>(type, reader, fields);
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
    if (!check.fault().empty()) {
        return Failure {.step_ = "encode", .reason_ = check.fault()};
    }
    // The array's head, the version and the type number.
    constexpr std::size_t envelopeBytes = 9;
    if (check.bytes() + envelopeBytes > maximumMessageBytes) {
        return Failure {.step_ = "encode", .reason_ = "the message is too long"};
    }
    return std::nullopt;
}

auto encode(const Message &message) -> std::string
{
    return std::visit(
        [](const auto &value) -> std::string {
            return internal::ItemWriter().message(value);
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
    const auto count = reader.listStart();
    const auto version = reader.number<std::uint32_t>();
    const auto type = reader.number<std::uint32_t>();
    if (!reader.fault().empty() || count < envelopeItems) {
        return internal::decodeFailure("the message has no version and type");
    }
    if (version != protocolVersion) {
        return internal::decodeFailure(fmt::format("protocol version {} instead of {}", version, protocolVersion));
    }
    return readMessageOfType(type, reader, count - envelopeItems);
}

} // namespace jasminewood::wire
