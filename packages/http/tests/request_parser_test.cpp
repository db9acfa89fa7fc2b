#include "request_parser.h"

#include <string>

#include "jasminewood/testkit/test_suite.h"
#include "request_framing.h"
#include "request_target.h"

using namespace jasminewood;
using namespace jasminewood::http;
using namespace jasminewood::http::internal;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto headWith(const std::string &fields) -> std::string
{
    return "POST /p?q=1 HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

auto isMalformed(const std::string &text) -> bool
{
    auto parser = RequestParser();
    return std::holds_alternative<MalformedRequest>(parser.parseHead(text));
}

// Returns whether the head is parsed, and the length of its body is ambiguous.
auto isAmbiguous(const std::string &fields) -> bool
{
    auto parser = RequestParser();
    const auto result = parser.parseHead(headWith(fields));
    const auto *head = std::get_if<RequestHead>(&result);
    return head != nullptr && hasAmbiguousLength(*head);
}

const testkit::TestSuite heads = {"the head of a request",
    {
        // Guards against a request that depends on how its bytes arrive.
        test("is the same whether it arrives at once or byte by byte",
            [] {
                const auto text = headWith("X-A:  b c \r\nX-Empty:\r\nContent-Length: 2\r\n") + "{}";
                const auto expected = RequestHead {.method_ = "POST",
                    .target_ = "/p?q=1",
                    .fields_ = {{.name_ = "Host", .value_ = "h"}, {.name_ = "X-A", .value_ = "b c"},
                        {.name_ = "X-Empty", .value_ = ""}, {.name_ = "Content-Length", .value_ = "2"}},
                    .bytes_ = text.size() - 2};
                auto parser = RequestParser();
                for (auto bytes = std::size_t(1); bytes < expected.bytes_; ++bytes) {
                    check(parser.parseHead(text.substr(0, bytes)) == HeadResult(IncompleteData {}),
                        std::to_string(bytes));
                }
                check(parser.parseHead(text) == HeadResult(expected));
                check(!parser.isComplete(), "the body is missing");
            }),
        // Guards against fields that are parsed twice, or lost, where a long head arrives in parts.
        test("has the same fields wherever it is cut",
            [] {
                auto fields = std::string();
                for (auto index = 0; index < 2'000; ++index) {
                    fields += "a: b\r\n";
                }
                const auto text = headWith(fields);
                for (auto bytes = std::size_t(1); bytes < text.size(); bytes += 61) {
                    auto parser = RequestParser();
                    check(parser.parseHead(text.substr(0, bytes)) == HeadResult(IncompleteData {}));
                    const auto result = parser.parseHead(text);
                    const auto *head = std::get_if<RequestHead>(&result);
                    check(head != nullptr && head->fields_.size() == 2'001 && head->bytes_ == text.size(),
                        std::to_string(bytes));
                }
            }),
        // Guards against a connection that is kept, or closed, against the caller's wish.
        test("says whether the connection is kept",
            [] {
                const auto keepsConnection = [](const std::string &text) {
                    auto parser = RequestParser();
                    return std::get<RequestHead>(parser.parseHead(text)).keepAlive_;
                };
                check(keepsConnection("GET / HTTP/1.1\r\n\r\n"));
                check(!keepsConnection("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
                check(!keepsConnection("GET / HTTP/1.0\r\n\r\n"));
                check(keepsConnection("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
            }),
        // Guards against request smuggling (RFC 9112, 11.2).
        test("is malformed if a peer could read another one from it",
            [] {
                for (const auto *fields : {"Content-Length : 2\r\n", "Content-Length\t: 2\r\n", ": x\r\n", "X Y: z\r\n",
                         "Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: +2\r\n",
                         "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                         "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "X: a\rb\r\n"}) {
                    check(isMalformed(headWith(fields)), fields);
                }
                check(isMalformed("GET /a b HTTP/1.1\r\n\r\n") && isMalformed("GET / HTTP/2.0\r\n\r\n"));
                check(isAmbiguous("Transfer-Encoding: gzip, chunked\r\n"));
                check(isAmbiguous("Transfer-Encoding: gzip\r\n"));
                check(!isAmbiguous("Transfer-Encoding: chunked\r\n") && !isAmbiguous("Content-Length: 2\r\n"));
            }),
    }};

// Parses the body in pieces of so many bytes; returns the data, or the reason why it is malformed.
auto parseInPieces(const std::string &fields, const std::string &body, std::size_t pieceBytes) -> std::string
{
    auto parser = RequestParser();
    check(std::holds_alternative<RequestHead>(parser.parseHead(headWith(fields))), "the head is sound");
    auto data = std::string();
    auto received = std::string();
    for (auto begin = std::size_t(0); begin < body.size() && !parser.isComplete(); begin += pieceBytes) {
        received += body.substr(begin, pieceBytes);
        const auto result = parser.parseBody(received);
        if (const auto *malformed = std::get_if<MalformedRequest>(&result)) {
            return malformed->reason_;
        }
        data += std::get<BodyPart>(result).data_;
        received.erase(0, std::get<BodyPart>(result).consumedBytes_);
    }
    check(parser.isComplete(), "the body is complete");
    check(std::string("next").starts_with(received), "what follows is left: " + received);
    return data;
}

const testkit::TestSuite bodies = {"the body of a request",
    {
        // Guards against lost or repeated bytes at the edges of what arrives, and of the next request.
        test("is the same in pieces of any size",
            [] {
                const auto data = std::string("0123456789abcdef");
                for (auto pieceBytes = std::size_t(1); pieceBytes < 64; ++pieceBytes) {
                    check(parseInPieces("Content-Length: 16\r\n", data + "next", pieceBytes) == data);
                    const auto chunks = "a;x=y\r\n0123456789\r\n6\r\nabcdef\r\n0\r\nX-Trailer: t\r\n\r\nnext";
                    check(parseInPieces("Transfer-Encoding: chunked\r\n", chunks, pieceBytes) == data);
                }
            }),
        test("is malformed if a chunk is",
            [] {
                for (const auto *chunks : {"x\r\n", "-1\r\n", "2\r\n{}x\r\n0\r\n\r\n", "0\r\nX Y: z\r\n\r\n"}) {
                    const auto reason = parseInPieces("Transfer-Encoding: chunked\r\n", chunks, 64);
                    check(reason.starts_with("bad "), chunks + reason);
                }
            }),
    }};

const testkit::TestSuite targets = {"the target of a request",
    {
        test("is decoded, with the last value of a repeated parameter",
            [] {
                check(decodePath("/a%20b%2Fc?x") == "/a b/c" && decodePath("/a+b") == "/a+b");
                const auto parameters = decodeParameters("/p?a=1&b=x+y%26z&c&&a=2&=e&d==");
                check(parameters == Parameters {{"", "e"}, {"a", "2"}, {"b", "x y&z"}, {"c", ""}, {"d", "="}});
                check(decodeParameters("/p").empty() && decodeParameters("/p?").empty());
                check(joinParameters({{"a", "1"}, {"b", ""}}) == "a=1&b=");
            }),
    }};

} // namespace
