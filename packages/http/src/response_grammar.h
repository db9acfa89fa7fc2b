#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/http/server.h"

// The grammar of response heads (RFC 9110, sections 5 and 15; RFC 9112, sections 4 to 6). libcurl 7.88 accepts heads
// outside of it, and other readers of the same bytes may take those for another response.
//
//     const auto line = internal::parseFieldLine("X Field: a");
//     // holds GrammarError {FieldName, "X Field", InvalidByte {0x20, 1}}

namespace jasminewood::http::internal
{

enum class GrammarRule : std::uint8_t
{
    HttpVersion,
    StatusCode,
    ReasonPhrase,
    // A peer may switch protocols only if the request offers that (RFC 9110, 15.2.2). No request of this client does.
    ProtocolSwitch,
    FieldName,
    FieldValue,
    // A line that begins with white space, which continues the line before it in an obsolete form (RFC 9112, 5.2).
    LineFolding,
    ContentLength,
    TransferEncoding,
    // A response has a length or a transfer coding, not both (RFC 9112, 6.3).
    LengthAndCoding,
};

// A byte that may not stand where it does.
struct InvalidByte
{
    const unsigned char byte_ = 0;
    // In the status line, the name of the field or its value, whichever breaks the rule.
    const std::size_t offset_ = 0;

    auto operator<=>(const InvalidByte &) const = default;
};

// How a response breaks the grammar.
struct GrammarError
{
    const GrammarRule rule_ = GrammarRule::StatusCode;
    // The status line or the name of the field, as received. Never the value of a field, which may be confidential.
    const std::string subject_;
    // Empty if no single byte is at fault.
    const std::optional<InvalidByte> invalidByte_ = std::nullopt;

    auto operator<=>(const GrammarError &) const = default;
};

// Returns, for example, "malformed response: field name: byte 0x20 at offset 1 (X Field)". Bytes of the peer other than
// printable ASCII are escaped, and long subjects are cut.
auto toString(const GrammarError &error) -> std::string;

struct StatusLine
{
    // The version is HTTP/1.minorVersion_.
    const int minorVersion_ = 1;
    const int status_ = 0;

    auto operator<=>(const StatusLine &) const = default;
};

// Parses a line without its terminator. The space behind the status code may be missing if there is no reason phrase,
// as common servers send it.
auto parseStatusLine(std::string_view line) -> std::variant<StatusLine, GrammarError>;

// Parses a line without its terminator, of a head or a trailer. The value is returned without the white space around
// it.
auto parseFieldLine(std::string_view line) -> std::variant<HeaderField, GrammarError>;

// Checks that the fields of a response head leave no doubt about where its body ends (RFC 9112, 6.3). Several equal
// lengths count as one.
auto checkFraming(const StatusLine &statusLine, const std::vector<HeaderField> &fields) -> std::optional<GrammarError>;

// Returns whether the fields state a length or a transfer coding.
auto hasFraming(const std::vector<HeaderField> &fields) -> bool;

} // namespace jasminewood::http::internal
