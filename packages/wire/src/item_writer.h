#pragma once

#include <string>

#include <msgpack.hpp>

#include "fields.h"

// Encodes values as msgpack; the inverse of ItemReader.

namespace jasminewood::wire::internal
{

// An output stream with the interface that msgpack::packer requires.
struct StringStream
{
    auto write(const char *data, std::size_t size) -> void
    {
        bytes_.append(data, size);
    }

    std::string bytes_;
};

class ItemWriter
{
public:
    // Returns the encoded message. Must be called only once.
    template <typename Message>
    auto encodeMessage(const Message &message) -> std::string
    {
        packer_.pack_array(2 + fieldCount<Message>);
        write(protocolVersion);
        write(typeNumber<Message>);
        writeFields(message);
        return std::move(stream_.bytes_);
    }

private:
    template <typename Value>
    auto writeFields(const Value &value) -> void
    {
        std::apply(
            [this](const auto &...field) {
                (this->write(field), ...);
            },
            fieldsOf(value));
    }

    template <typename Value>
    auto write(const Value &value) -> void requires std::is_arithmetic_v<Value>
    {
        packer_.pack(value);
    }

    template <typename Value>
    auto write(const Value &value) -> void requires std::is_enum_v<Value>
    {
        packer_.pack(static_cast<std::uint8_t>(value));
    }

    template <typename Value>
    auto write(const Value &value) -> void requires requires
    {
        fieldsOf(value);
    }
    {
        packer_.pack_array(fieldCount<Value>);
        writeFields(value);
    }

    // Leaves out the last field if it is 0, so that earlier routers, which do not know it, read the value.
    auto write(const EngineLoad &load) -> void
    {
        const auto hasLateTokens = load.latePrefillTokens_ != 0;
        packer_.pack_array(hasLateTokens ? fieldCount<EngineLoad> : fieldCount<EngineLoad> - 1);
        write(load.pendingPrefillTokens_);
        write(load.inFlightRequests_);
        if (hasLateTokens) {
            write(load.latePrefillTokens_);
        }
    }

    auto write(const std::string &name) -> void
    {
        packer_.pack_str(std::uint32_t(name.size()));
        packer_.pack_str_body(name.data(), std::uint32_t(name.size()));
    }

    auto write(const Body &body) -> void
    {
        packer_.pack_bin(std::uint32_t(body.text_.size()));
        packer_.pack_bin_body(body.text_.data(), std::uint32_t(body.text_.size()));
    }

    template <typename Unit>
    auto write(const std::chrono::duration<std::int64_t, Unit> &duration) -> void
    {
        packer_.pack(duration.count());
    }

    template <typename Value>
    auto write(const std::optional<Value> &value) -> void
    {
        value ? write(*value) : void(packer_.pack_nil());
    }

    template <typename Value, std::size_t Count>
    auto write(const std::array<Value, Count> &values) -> void
    {
        writeList(values);
    }

    template <typename Value>
    auto write(const std::vector<Value> &values) -> void
    {
        writeList(values);
    }

    template <typename List>
    auto writeList(const List &values) -> void
    {
        packer_.pack_array(std::uint32_t(values.size()));
        for (const auto &value : values) {
            write(value);
        }
    }

    template <typename Value>
    auto write(const std::map<std::string, Value> &values) -> void
    {
        packer_.pack_map(std::uint32_t(values.size()));
        for (const auto &[key, value] : values) {
            write(key);
            write(value);
        }
    }

    StringStream stream_;
    msgpack::packer<StringStream> packer_ = msgpack::packer<StringStream>(stream_);
};

} // namespace jasminewood::wire::internal
