#include "jasminewood/settings/schema.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include "jasminewood/ini/scalar.h"

namespace jasminewood::settings
{

namespace
{

constexpr std::int64_t highestPort = 65'535;
constexpr std::size_t sha256Digits = 64;

auto isNumericAddress(int family, const std::string &host) -> bool
{
    auto buffer = std::array<unsigned char, sizeof(in6_addr)>();
    return inet_pton(family, host.c_str(), buffer.data()) == 1;
}

struct ValueParser
{
    const std::string &text_;

    auto operator()(const Text & /*kind*/) const -> std::optional<Value>
    {
        return Value(text_);
    }

    auto operator()(const Integer &kind) const -> std::optional<Value>
    {
        const auto number = ini::parseInteger(text_);
        return number && *number >= kind.min_ && *number <= kind.max_ ? std::optional(Value(*number)) : std::nullopt;
    }

    auto operator()(const Decimal &kind) const -> std::optional<Value>
    {
        const auto number = ini::parseDecimal(text_);
        return number && *number >= kind.min_ && *number <= kind.max_ ? std::optional(Value(*number)) : std::nullopt;
    }

    auto operator()(const Duration &kind) const -> std::optional<Value>
    {
        const auto time = ini::parseDuration(text_);
        return time && *time >= kind.min_ && *time <= kind.max_ ? std::optional(Value(*time)) : std::nullopt;
    }

    auto operator()(const Address & /*kind*/) const -> std::optional<Value>
    {
        const auto endpoint = parseEndpoint(text_);
        return endpoint ? std::optional<Value>(std::in_place, *endpoint) : std::nullopt;
    }

    auto operator()(const Sha256Hex & /*kind*/) const -> std::optional<Value>
    {
        const auto isHex = text_.find_first_not_of("0123456789abcdef") == std::string::npos;
        return isHex && text_.size() == sha256Digits ? std::optional(Value(text_)) : std::nullopt;
    }

    auto operator()(const Choice &kind) const -> std::optional<Value>
    {
        const auto known = std::find(kind.values_.begin(), kind.values_.end(), text_) != kind.values_.end();
        return known ? std::optional(Value(text_)) : std::nullopt;
    }
};

struct ValueKindDescriber
{
    auto operator()(const Text & /*kind*/) const -> std::string
    {
        return "text";
    }

    auto operator()(const Integer &kind) const -> std::string
    {
        if (kind.max_ == std::numeric_limits<std::int64_t>::max()) {
            return fmt::format("a number of at least {}", kind.min_);
        }
        return fmt::format("a number from {} to {}", kind.min_, kind.max_);
    }

    auto operator()(const Decimal &kind) const -> std::string
    {
        if (kind.max_ == std::numeric_limits<double>::max()) {
            return fmt::format("a decimal of at least {}", kind.min_);
        }
        return fmt::format("a decimal from {} to {}", kind.min_, kind.max_);
    }

    auto operator()(const Duration &kind) const -> std::string
    {
        if (kind.max_ == Milliseconds::max()) {
            return fmt::format("a duration of at least {}ms, such as 3s", kind.min_.count());
        }
        return fmt::format("a duration from {}ms to {}ms, such as 3s", kind.min_.count(), kind.max_.count());
    }

    auto operator()(const Address & /*kind*/) const -> std::string
    {
        return "a numeric address IP:PORT";
    }

    auto operator()(const Sha256Hex & /*kind*/) const -> std::string
    {
        return "64 lower-case hex digits";
    }

    auto operator()(const Choice &kind) const -> std::string
    {
        return fmt::format("one of {}", fmt::join(kind.values_, ", "));
    }
};

} // namespace

auto toString(const Endpoint &endpoint) -> std::string
{
    const auto *format = endpoint.host_.find(':') == std::string::npos ? "{}:{}" : "[{}]:{}";
    return fmt::format(fmt::runtime(format), endpoint.host_, endpoint.port_);
}

auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = std::string(text.substr(0, colon));
    const auto port = ini::parseInteger(text.substr(colon + 1));
    const auto bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    if (!port || *port < 0 || *port > highestPort || !isNumericAddress(bracketed ? AF_INET6 : AF_INET, host)) {
        return std::nullopt;
    }
    return std::optional<Endpoint>(Endpoint {.host_ = host, .port_ = static_cast<std::uint16_t>(*port)});
}

auto parseValue(const ValueKind &kind, const std::string &text) -> std::optional<Value>
{
    return std::visit(ValueParser {.text_ = text}, kind);
}

auto describeExpected(const ValueKind &kind) -> std::string
{
    return std::visit(ValueKindDescriber(), kind);
}

} // namespace jasminewood::settings
