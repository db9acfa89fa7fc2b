#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <malloc.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testbench::RawServer;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::sendText;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Longer than a response on this machine takes, and much shorter than the timeout of a call.
constexpr auto promptly = 5s;

// Returns the text with its control bytes and 8-bit bytes as \xHH, for messages of failed checks.
auto escaped(const std::string &text) -> std::string
{
    constexpr auto digits = "0123456789abcdef";
    auto shown = std::string();
    for (const auto letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < 0x20 || byte > 0x7e) {
            shown += std::string("\\x") + digits[byte / 16] + digits[byte % 16];
        } else {
            shown += letter;
        }
    }
    return shown;
}

// Returns a response that is sound but for this status line.
auto withStatusLine(const std::string &line) -> std::string
{
    return line + "\r\nContent-Length: 4\r\n\r\nbody";
}

// Returns a response that is sound but for this line of its head.
auto withHeadLine(const std::string &line) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-First: a\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody";
}

// Returns a peer that sends the response to each request and keeps its connections open.
auto peerWithResponse(const std::string &response) -> std::unique_ptr<RawServer>
{
    return std::make_unique<RawServer>([response](int socket) {
        while (!readUntil(socket, "\r\n\r\n").empty()) {
            sendText(socket, response);
        }
    });
}

auto checkFailure(const Failure &failure, TimePoint startedAt, const std::string &what) -> void
{
    check(failure.step_ == "receive", what + ": " + toString(failure));
    check(failure.runState_ == RunState::MayHaveRun, what + ": the request may have run");
    check(Clock::now() - startedAt < promptly, what + ": the failure is found without waiting for more");
}

// Checks that a call of each kind fails and none of its callbacks gets anything.
auto checkRefused(const std::string &response) -> void
{
    const auto what = escaped(response);
    const auto peer = peerWithResponse(response);
    const auto request = ClientRequest {.method_ = "POST", .url_ = peer->url(), .timeout_ = 20s};
    const auto startedAt = Clock::now();
    const auto fetched = fetch(request);
    check(!fetched, "a fetch takes " + what);
    checkFailure(fetched.failure(), startedAt, what);
    auto heads = 0;
    auto call = StreamCall();
    const auto status = call.perform(request,
        [&heads](int, const std::map<std::string, std::string> &) {
            ++heads;
        },
        {});
    check(!status && heads == 0, "a stream call takes " + what);
    auto exchange = Exchange(request);
    const auto head = exchange.head(Clock::now() + promptly);
    check(!head, "an exchange takes " + what);
    checkFailure(head.failure(), startedAt, what);
}

auto checkRefused(const std::vector<std::string> &responses) -> void
{
    for (const auto &response : responses) {
        checkRefused(response);
    }
}

// Checks that a call returns "body".
auto checkAccepted(const std::string &response) -> void
{
    const auto peer = peerWithResponse(response);
    const auto fetched = fetch({.method_ = "POST", .url_ = peer->url(), .timeout_ = 10s});
    check(bool(fetched), escaped(response) + ": " + (fetched ? "" : toString(fetched.failure())));
    check(fetched->status_ == 200 && fetched->body_ == "body", escaped(response));
}

auto checkAccepted(const std::vector<std::string> &responses) -> void
{
    for (const auto &response : responses) {
        checkAccepted(response);
    }
}

const testkit::TestSuite statusLines = {"a response",
    {
        section("whose status line is malformed",
            {
                // Guards against a status that is no status and reaches a client.
                test("is refused if its status is not three digits from 100 to 599",
                    [] {
                        for (const auto *status : {"000", "0", "00", "001", "099", "2", "20", "2000", "0200", "2xx",
                                 "+20", "-20", "0xC", "20 0", "600", "999"}) {
                            checkRefused(withStatusLine("HTTP/1.1 " + std::string(status) + " OK"));
                        }
                        checkRefused({withStatusLine("HTTP/1.1"), withStatusLine("HTTP/1.1 "),
                            withStatusLine("HTTP/1.1 OK"), withStatusLine("HTTP/1.1 000")});
                    }),
                // Guards against lenient parsing, which takes another status than other readers of the line do.
                test("is refused if more or other than one space separates its parts",
                    [] {
                        checkRefused({withStatusLine("HTTP/1.1  200 OK"), withStatusLine("HTTP/1.1\t200 OK"),
                            withStatusLine("HTTP/1.1 \t200 OK"), withStatusLine("HTTP/1.1 200\tOK"),
                            withStatusLine(" HTTP/1.1 200 OK")});
                    }),
                // Guards against a response of another protocol.
                test("is refused if its version is not HTTP/1 with a minor digit",
                    [] {
                        checkRefused({withStatusLine("HTTP/2.0 200 OK"), withStatusLine("HTTP/2 200 OK"),
                            withStatusLine("HTTP/0.9 200 OK"), withStatusLine("http/1.1 200 OK"),
                            withStatusLine("HTTP/1 200 OK"), withStatusLine("HTTP/1. 200 OK"),
                            withStatusLine("HTTP/1.10 200 OK"), withStatusLine("HTTP/1x1 200 OK")});
                    }),
                test("is refused if its reason phrase holds a control byte",
                    [] {
                        checkRefused({withStatusLine("HTTP/1.1 200 O\x01K"), withStatusLine("HTTP/1.1 200 O\rK"),
                            withStatusLine(std::string("HTTP/1.1 200 O\0K", 16)),
                            withStatusLine("HTTP/1.1 200 O\x7fK")});
                    }),
                // Guards against a request that waits until its timeout for a response behind the switch.
                test("is refused if it switches to a protocol that was not asked for",
                    [] {
                        checkRefused("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
                    }),
                test("is refused if that is the one of an interim response",
                    [] {
                        checkRefused({"HTTP/1.1 099 Early\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"),
                            "HTTP/1.1  103 Early Hints\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"),
                            "HTTP/1.1 103 Early Hints\r\n\r\n" + withStatusLine("HTTP/1.1 600 OK")});
                    }),
            }),
        section("whose status line is sound",
            {
                // Guards against a check that refuses what servers do send.
                test("is taken with any reason phrase or none, and as HTTP/1.0",
                    [] {
                        checkAccepted({withStatusLine("HTTP/1.1 200 "), withStatusLine("HTTP/1.1 200"),
                            withStatusLine("HTTP/1.1 200 all is\twell, 100%"),
                            withStatusLine("HTTP/1.1 200 tr\xc3\xa8s"), withStatusLine("HTTP/1.0 200 OK"),
                            "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
                            "HTTP/1.1 100 Continue\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"),
                            "HTTP/1.1 199 Other\r\nX-Field: a\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK")});
                    }),
            }),
    }};

const testkit::TestSuite fieldLines = {"a response",
    {
        section("with a malformed line in its head",
            {
                // Guards against a field that is dropped or passed on under a name which other readers take for
                // another.
                test("is refused if the name of a field is not a token",
                    [] {
                        for (const auto *name : {"X Field", "X\tField",
                                 "X\x01"
                                 "Field",
                                 "X\x1f"
                                 "Field",
                                 "X\x7f"
                                 "Field",
                                 "X\x80"
                                 "Field",
                                 "X\xff"
                                 "Field",
                                 "X(Field)", "X\"Field\"", "X/Field", "X[Field]", "X{Field}", "X@Field", "X,Field",
                                 "X;Field", "X=Field", "X?Field", "X<Field>", "X\\Field", "", "X-Field ", "X-Field\t",
                                 " X-Field", "Content Length", "Content-Length ", "Content-Length\x01",
                                 "Transfer-Encoding "}) {
                            checkRefused(withHeadLine(std::string(name) + ": 4"));
                        }
                        checkRefused({withHeadLine(std::string("X\0Field: a", 10)), withHeadLine("X\rField: a"),
                            withHeadLine("\rX-Field: a"), withHeadLine("X-Field"), withHeadLine("HTTP/1.1 200 OK"),
                            withHeadLine("HTTP/1.1 200: OK")});
                    }),
                // Guards against two readers that see different fields.
                test("is refused if the value of a field holds a control byte",
                    [] {
                        checkRefused({withHeadLine("X-Field: a\rb"), withHeadLine("X-Field: a\r"),
                            withHeadLine("X-Field: \rX-Other: b"), withHeadLine("X-Field: a\x01"),
                            withHeadLine("X-Field: a\x7f"), withHeadLine("X-Field: a\vb"),
                            withHeadLine(std::string("X-Field: a\0b", 12))});
                    }),
                // Guards against a line that one reader takes for a field and another one for a part of the one before.
                test("is refused if a line begins with a space or a tab",
                    [] {
                        checkRefused({"HTTP/1.1 200 OK\r\n X-Field: a\r\nContent-Length: 4\r\n\r\nbody",
                            withHeadLine(" continued"), withHeadLine("\tcontinued"), withHeadLine(" X-Field: a"),
                            withHeadLine(" ")});
                    }),
                test("is refused if that line is in the head of an interim response",
                    [] {
                        checkRefused({"HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n"
                                + withStatusLine("HTTP/1.1 200 OK"),
                            "HTTP/1.1 103 Early Hints\r\nX-Field: \x01\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK")});
                    }),
            }),
        section("with a malformed line in its trailer",
            {
                // Guards against a response that counts as whole although its end is broken.
                test("is refused",
                    [] {
                        for (const auto *line : {"X Field: a", "X-Field : a", "X-Field: \x01", "X-Field", ": a"}) {
                            const auto peer = peerWithResponse(
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                                + std::string(line) + "\r\n\r\n");
                            const auto startedAt = Clock::now();
                            const auto fetched = fetch({.method_ = "POST", .url_ = peer->url(), .timeout_ = 20s});
                            check(!fetched, "a fetch takes the trailer " + escaped(line));
                            checkFailure(fetched.failure(), startedAt, escaped(line));
                        }
                    }),
            }),
        section("whose fields are sound",
            {
                // Guards against a check that refuses what servers do send.
                test("is taken with all characters of tokens and all values without control bytes",
                    [] {
                        checkAccepted({withHeadLine("!#$%&'*+-.^_`|~09azAZ: a"), withHeadLine("X-Field:"),
                            withHeadLine("X-Field: "), withHeadLine("X-Field:a"), withHeadLine("X-Field: \t a \t "),
                            withHeadLine("X-Field: a b\tc: \"d\", (e) @ \xc3\xa8\xff"),
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Field: "
                            "a\r\n\r\n"});
                    }),
                test("has its values without the white space around them",
                    [] {
                        const auto peer = peerWithResponse(withHeadLine("X-Field: \t a b \t "));
                        const auto fetched = fetch({.url_ = peer->url()});
                        check(fetched && fetched->headers_.at("x-field") == "a b");
                    }),
            }),
    }};

// Returns a response with these lines in its head and this body.
auto withFraming(const std::string &lines, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body;
}

const testkit::TestSuite framing = {"a response",
    {
        section("whose fields leave the end of its body in doubt",
            {
                // Guards against a body that is cut, or one that another reader ends elsewhere.
                test("is refused if its length is not one decimal number",
                    [] {
                        for (const auto *value :
                            {"+4", "-4", "0x4", "4x", "4.0", "4 4", "", "4,5", "4, 5", "4,", "99999999999999999999"}) {
                            checkRefused(withFraming("Content-Length: " + std::string(value) + "\r\n", "body"));
                        }
                    }),
                test("is refused if it has two lengths that differ",
                    [] {
                        checkRefused({withFraming("Content-Length: 4\r\nContent-Length: 3\r\n", "body"),
                            withFraming("Content-Length: 3\r\ncontent-length: 4\r\n", "body")});
                    }),
                test("is refused if it has a length and chunks",
                    [] {
                        checkRefused({withFraming("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "body"),
                            withFraming(
                                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "4\r\nbody\r\n0\r\n\r\n")});
                    }),
                // The client asks for no transfer coding, so "chunked" is the only one a peer may use.
                test("is refused if it has a transfer coding other than chunks",
                    [] {
                        for (const auto *value : {"", "identity", "gzip", "gzip, chunked", "chunked, chunked",
                                 "chunked, identity", "xchunked", "chunked;a=b"}) {
                            checkRefused(withFraming(
                                "Transfer-Encoding: " + std::string(value) + "\r\n", "4\r\nbody\r\n0\r\n\r\n"));
                        }
                        checkRefused(withFraming(
                            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"));
                        checkRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
                    }),
            }),
        section("whose fields state the end of its body",
            {
                test("is taken with one length, the same length again, or chunks",
                    [] {
                        checkAccepted({withFraming("Content-Length: 4\r\n", "body"),
                            withFraming("Content-Length:  0004 \r\n", "body"),
                            withFraming("Content-Length: 4\r\nContent-Length: 4\r\n", "body"),
                            withFraming("Content-Length: 4, 4\r\n", "body"),
                            withFraming("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
                            withFraming("transfer-encoding:Chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")});
                    }),
                // Guards against a length in an interim head that ends the body of the response.
                test("is taken whole, whatever the head of an interim response states",
                    [] {
                        checkAccepted({"HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\n"
                                + withFraming("Content-Length: 4\r\n", "body"),
                            "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\n"
                                + withFraming("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")});
                    }),
            }),
    }};

// Makes malloc() and free() overwrite memory with this byte, so that any use of freed memory ends the program.
class OverwrittenMemory
{
public:
    OverwrittenMemory()
    {
        mallopt(M_PERTURB, 0xa5);
    }

    ~OverwrittenMemory()
    {
        mallopt(M_PERTURB, 0);
    }

    OverwrittenMemory(const OverwrittenMemory &) = delete;
    auto operator=(const OverwrittenMemory &) -> OverwrittenMemory & = delete;
};

const testkit::TestSuite keptConnections = {"a response on a kept connection",
    {
        section("whose first field begins with a space",
            {
                // Guards against the end of the process. libcurl 7.88 appends such a line to the last field of the
                // response before, whose memory is free by then.
                test("is refused, and the process goes on",
                    [] {
                        const auto memory = OverwrittenMemory();
                        for (const auto &line :
                            {std::string(" X-Field: a"), " " + std::string(4'000, 'a'), std::string("\ta")}) {
                            const auto peer = RawServer([line](int socket) {
                                readUntil(socket, "\r\n\r\n");
                                sendText(socket, withHeadLine("X-Last: " + std::string(100, 'a')));
                                readUntil(socket, "\r\n\r\n");
                                sendText(socket, "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody");
                                readUntil(socket, "\r\n\r\n");
                            });
                            check(bool(fetch({.url_ = peer.url()})));
                            const auto second = fetch({.method_ = "POST", .url_ = peer.url(), .timeout_ = 10s});
                            check(!second, "a fetch takes " + escaped(line));
                            check(second.failure().reason_.starts_with("malformed response: "),
                                toString(second.failure()));
                        }
                    }),
            }),
    }};

const testkit::TestSuite afterwards = {"after a malformed response",
    {
        // Guards against bytes behind the malformed head that are taken for the next response.
        test("the connection is not used again",
            [] {
                auto connections = std::make_shared<std::atomic<int>>(0);
                const auto peer = RawServer([connections](int socket) {
                    const auto isFirst = ++*connections == 1;
                    while (!readUntil(socket, "\r\n\r\n").empty()) {
                        sendText(socket, isFirst ? withHeadLine("X Field: a") : withHeadLine("X-Field: a"));
                    }
                });
                check(!fetch({.url_ = peer.url()}));
                const auto second = fetch({.url_ = peer.url()});
                check(second && second->body_ == "body" && *connections == 2);
            }),
        test("the failure names the rule, the place and the byte",
            [] {
                for (const auto &[response, reason] :
                    std::vector<std::pair<std::string, std::string>> {
                        {withStatusLine("HTTP/1.1 600 OK"),
                            "malformed response: status code: byte 0x36 at offset 9 (HTTP/1.1 600 OK)"},
                        {withHeadLine("X Field: a"), "malformed response: field name: byte 0x20 at offset 1 (X Field)"},
                        {withHeadLine("X-Field: a\x01"),
                            "malformed response: field value: byte 0x01 at offset 1 (X-Field)"}}) {
                    const auto peer = peerWithResponse(response);
                    const auto fetched = fetch({.url_ = peer->url()});
                    check(!fetched, "a fetch takes " + escaped(response));
                    check(fetched.failure().reason_ == reason, toString(fetched.failure()));
                }
            }),
        // libcurl finds these itself, before it passes the line on.
        test("the failure says so too if libcurl refused it",
            [] {
                for (const auto &response : {withStatusLine("HTTP/1.1 000 OK"), withHeadLine("X-Field"),
                         withFraming("Content-Length: x\r\n", "body")}) {
                    const auto peer = peerWithResponse(response);
                    const auto fetched = fetch({.url_ = peer->url()});
                    check(!fetched, "a fetch takes " + escaped(response));
                    check(fetched.failure().reason_.starts_with("malformed response: "), toString(fetched.failure()));
                }
            }),
    }};

} // namespace
