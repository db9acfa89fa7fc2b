#include "response_grammar.h"

#include <string>
#include <string_view>
#include <variant>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using namespace jasminewood::http::internal;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr int byteValues = 256;

// The bytes of a token besides letters and digits (RFC 9110, 5.6.2).
constexpr auto tokenSymbols = std::string_view("!#$%&'*+-.^_`|~");

auto isTokenByte(int byte) -> bool
{
    const auto isAlphanumeric
        = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9');
    return isAlphanumeric || (byte != 0 && tokenSymbols.find(char(byte)) != std::string_view::npos);
}

// The bytes of a field value: visible characters, 8-bit bytes, space and tab (RFC 9110, 5.5).
auto isValueByte(int byte) -> bool
{
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

// Returns the error of a parsed line.
template <typename Parsed>
auto errorOf(const std::variant<Parsed, GrammarError> &result) -> GrammarError
{
    check(std::holds_alternative<GrammarError>(result), "the line is refused");
    return std::get<GrammarError>(result);
}

const testkit::TestSuite suite = {"the grammar of responses",
    {
        section("with each byte in turn",
            {
                // Guards against a class of bytes that a list of examples leaves out.
                test("takes exactly the bytes of a token in the name of a field",
                    [] {
                        for (auto byte = 0; byte < byteValues; ++byte) {
                            // A colon ends the name.
                            const auto line = "X" + std::string(1, char(byte)) + "Y: a";
                            const auto isTaken = std::holds_alternative<HeaderField>(parseFieldLine(line));
                            check(isTaken == (isTokenByte(byte) || byte == ':'), "byte " + std::to_string(byte));
                        }
                    }),
                test("takes exactly the bytes of a field value there, and keeps them",
                    [] {
                        for (auto byte = 0; byte < byteValues; ++byte) {
                            const auto value = "a" + std::string(1, char(byte)) + "b";
                            const auto parsed = parseFieldLine("X: " + value);
                            const auto *field = std::get_if<HeaderField>(&parsed);
                            check((field != nullptr) == isValueByte(byte), "byte " + std::to_string(byte));
                            check(field == nullptr || field->value_ == value, "byte " + std::to_string(byte));
                        }
                    }),
                test("takes the same bytes in a reason phrase",
                    [] {
                        for (auto byte = 0; byte < byteValues; ++byte) {
                            const auto parsed = parseStatusLine("HTTP/1.1 200 a" + std::string(1, char(byte)));
                            check(std::holds_alternative<StatusLine>(parsed) == isValueByte(byte),
                                "byte " + std::to_string(byte));
                        }
                    }),
            }),
        section("with each number of three digits as a status code",
            {
                test("takes those from 100 to 599",
                    [] {
                        for (auto number = 0; number < 1'000; ++number) {
                            const auto code = std::to_string(1'000 + number).substr(1);
                            const auto parsed = parseStatusLine("HTTP/1.1 " + code + " OK");
                            const auto *line = std::get_if<StatusLine>(&parsed);
                            check((line != nullptr) == (number >= 100 && number <= 599), code);
                            check(line == nullptr || line->status_ == number, code);
                        }
                    }),
            }),
        section("that a line breaks",
            {
                // Guards against a message that shows secrets, or bytes that a log can't hold.
                test("has the name of the field in the message, escaped and cut, but not its value",
                    [] {
                        const auto invalidValue = errorOf(parseFieldLine("Set-Cookie: secret\x01"));
                        check(toString(invalidValue).find("secret") == std::string::npos, toString(invalidValue));
                        const auto invalidName = errorOf(parseFieldLine(std::string(100, 'x') + "\x80\n: a"));
                        check(toString(invalidName)
                                == "malformed response: field name: byte 0x80 at offset 100 (" + std::string(64, 'x')
                                    + "...)",
                            toString(invalidName));
                        check(toString(errorOf(parseStatusLine("HTTP/1.1 2\x01\x80")))
                            == "malformed response: status code: byte 0x01 at offset 10 (HTTP/1.1 2\\x01\\x80)");
                    }),
            }),
    }};

} // namespace
