#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// Schema of the settings of a program. The file, the flags, the validation and the help text are all derived from it.
//
//     const auto schema = settings::Schema {
//         {.section_ = "http", .name_ = "listen", .kind_ = settings::Address {}, .default_ = "127.0.0.1:8080",
//             .help_ = "address of the callers' interface"},
//     };

namespace jasminewood::settings
{

struct Text
{
    auto operator<=>(const Text &) const = default;
};

// Bounds are inclusive.
struct Integer
{
    const std::int64_t min_ = 0;
    const std::int64_t max_ = std::numeric_limits<std::int64_t>::max();

    auto operator<=>(const Integer &) const = default;
};

// A number with or without decimals. Bounds are inclusive.
struct Decimal
{
    const double min_ = 0;
    const double max_ = std::numeric_limits<double>::max();

    auto operator<=>(const Decimal &) const = default;
};

// Bounds are inclusive. Written with a unit, as in "250ms" or "3s".
struct Duration
{
    const Milliseconds min_ = Milliseconds(0);
    const Milliseconds max_ = Milliseconds::max();

    auto operator<=>(const Duration &) const = default;
};

// "IP:PORT" with a numeric IPv4 address, or "[IP]:PORT" with a numeric IPv6 address. Port 0 lets the system choose a
// port.
struct Address
{
    auto operator<=>(const Address &) const = default;
};

// A SHA-256 as 64 lower-case hex digits, as sha256sum prints it.
struct Sha256Hex
{
    auto operator<=>(const Sha256Hex &) const = default;
};

struct Choice
{
    const std::vector<std::string> values_;

    auto operator<=>(const Choice &) const = default;
};

using ValueKind = std::variant<Text, Integer, Decimal, Duration, Address, Sha256Hex, Choice>;

struct KeySchema
{
    const std::string section_;
    const std::string name_;
    const ValueKind kind_;
    // Empty if the key is required.
    const std::optional<std::string> default_ = std::nullopt;
    const std::string help_;

    auto operator<=>(const KeySchema &) const = default;
};

using Schema = std::vector<KeySchema>;

// A numeric address and port.
struct Endpoint
{
    // IP address without brackets.
    const std::string host_;
    const std::uint16_t port_ = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// Returns "HOST:PORT", or "[HOST]:PORT" for IPv6.
auto toString(const Endpoint &endpoint) -> std::string;

// Returns nothing unless the text is a valid Address value.
auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>;

// The parsed value of a key; its type depends on the kind of the key.
using Value = std::variant<std::string, std::int64_t, double, Milliseconds, Endpoint>;

// Returns nothing if the text is not a valid value of this kind.
auto parseValue(const ValueKind &kind, const std::string &text) -> std::optional<Value>;

// Returns a description of the values that a key of this kind accepts, for errors and help texts.
auto describeExpected(const ValueKind &kind) -> std::string;

} // namespace jasminewood::settings
