#include "response_grammar.h"

#include <string>
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

// The bytes of a reason phrase: visible characters, 8-bit bytes, space and tab (RFC 9112, 4).
auto isTextByte(int byte) -> bool
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
                test("takes visible characters, 8-bit bytes, space and tab in a reason phrase",
                    [] {
                        for (auto byte = 0; byte < byteValues; ++byte) {
                            const auto parsed = parseStatusLine("HTTP/1.1 200 a" + std::string(1, char(byte)));
                            check(std::holds_alternative<StatusLine>(parsed) == isTextByte(byte),
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
                // Guards against a message that holds bytes which a log can't.
                test("has its bytes escaped in the message",
                    [] {
                        check(toString(errorOf(parseStatusLine("HTTP/1.1 2\x01\x80")))
                            == "malformed response: status code: byte 0x01 at offset 10 (HTTP/1.1 2\\x01\\x80)");
                    }),
            }),
    }};

} // namespace
