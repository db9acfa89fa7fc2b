#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

#include "jasminewood/http/server.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testbench::connectTo;
using jasminewood::testbench::readToEnd;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::sendText;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// The limit of the users' deployments for the head of a request.
constexpr std::size_t headLimitBytes = 16'384;

// Generous, because a busy machine may run the tests slowly.
constexpr auto generousTimeout = std::chrono::seconds(30);

constexpr auto plainRequest = "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto lastPlainRequest = "GET /plain HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
constexpr auto endOfBody = "end of body";

// Returns numbers from 1 to the largest, most of them where 64 KB of memory would not hold a head and its response.
auto countsUpTo(std::size_t largest) -> std::vector<std::size_t>
{
    constexpr std::size_t closeSteps[] = {440, 560, 890, 990};
    auto counts = std::vector<std::size_t> {1, 100};
    for (auto count = closeSteps[0]; count < closeSteps[1]; count += 5) {
        counts.push_back(count);
    }
    for (auto count = closeSteps[2]; count < closeSteps[3]; ++count) {
        counts.push_back(count);
    }
    for (auto count = std::size_t(1'000); count < largest; count += 250) {
        counts.push_back(count);
    }
    counts.push_back(largest);
    return counts;
}

auto repeated(const std::string &text, std::size_t count) -> std::string
{
    auto all = std::string();
    for (auto index = std::size_t(0); index < count; ++index) {
        all += text;
    }
    return all;
}

auto occurrences(std::string_view text, std::string_view part) -> std::size_t
{
    auto count = std::size_t(0);
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

// A server that counts the requests that its handler has run, other than the plain ones.
class CountingServer
{
public:
    explicit CountingServer(const Handler &handler)
        : server_(*Server::start(
            {},
            [this, handler](const Request &request) -> Response {
                if (request.path_ == "/plain") {
                    return BufferedResponse {.body_ = endOfBody};
                }
                ++runs_;
                return handler(request);
            },
            {},
            [] {
                return ConnectionLimits {.maximumHeaderBytes_ = headLimitBytes};
            }))
    {
    }

    // Sends the request on a connection that has served a plain one, and returns the response to it up to the end of
    // its body. Checks that the plain one has been served.
    auto respondTo(const std::string &request, const std::string &bodyEnd = endOfBody) const -> std::string
    {
        const auto socket = connectTo(server_->port());
        sendText(socket, plainRequest);
        check(readUntil(socket, endOfBody).starts_with("HTTP/1.1 200 "), "a plain request is served");
        sendText(socket, request);
        auto response = readUntil(socket, bodyEnd);
        close(socket);
        return response;
    }

    // Checks that the request runs once and its response is complete.
    auto checkServed(const std::string &request, const std::string &description, const std::string &bodyEnd = endOfBody)
        -> void
    {
        const auto runsBefore = runs_.load();
        const auto response = respondTo(request, bodyEnd);
        const auto statusLine = response.substr(0, response.find("\r\n"));
        check(runs_ == runsBefore + 1, description + ": not run: " + statusLine);
        check(response.starts_with("HTTP/1.1 200 ") && response.ends_with(bodyEnd),
            description + ": run, and its response is \"" + statusLine + "\"");
    }

    // Checks the same, and that as many plain requests are answered which the caller sends on the connection at once
    // with the request.
    auto checkServedWithPipelined(std::size_t plainRequests, const std::string &request, const std::string &description)
        -> void
    {
        const auto runsBefore = runs_.load();
        const auto socket = connectTo(server_->port());
        sendText(socket, request + repeated(plainRequest, plainRequests - 1) + lastPlainRequest);
        const auto responses = readToEnd(socket).text_;
        close(socket);
        check(runs_ == runsBefore + 1, description + ": not run: " + responses.substr(0, responses.find("\r\n")));
        const auto complete = occurrences(responses, endOfBody);
        check(complete == plainRequests + 1 && occurrences(responses, "HTTP/1.1 200 ") == complete
                && responses.ends_with(endOfBody),
            description + ": run, and " + std::to_string(complete) + " responses are complete");
    }

private:
    std::atomic<int> runs_ = 0;
    const std::shared_ptr<Server> server_;
};

auto respondPlainly(const Request & /*request*/) -> Response
{
    return BufferedResponse {.body_ = endOfBody};
}

auto respondWithStream(const Request & /*request*/) -> Response
{
    auto sent = std::make_shared<bool>(false);
    return StreamResponse {.nextEvent_ = [sent]() -> StreamEvent {
        return std::exchange(*sent, true) ? StreamEvent(EndOfStream {}) : Chunk {.data_ = endOfBody};
    }};
}

// Returns the form of a request with as many parts of a kind.
using RequestForm = std::function<auto(std::size_t count)->std::string>;

// Checks requests of the form with up to the largest number of parts.
auto checkAllServed(CountingServer &server, std::size_t largest, const RequestForm &form,
    const std::string &bodyEnd = endOfBody) -> void
{
    for (const auto count : countsUpTo(largest)) {
        server.checkServed(form(count), std::to_string(count), bodyEnd);
    }
}

auto fieldLines(std::size_t count) -> std::string
{
    return "Host: h\r\n" + repeated("a: b\r\n", count);
}

const testkit::TestSuite longHeads = {"a request with a long head, inside the limit, on a connection that stays open",
    {
        section("made of many short fields",
            {
                // Guards against a response that needs memory which the fields have used up: the request has run, and
                // its caller never knows.
                test("runs once and is answered",
                    [] {
                        auto server = CountingServer(&respondPlainly);
                        checkAllServed(server, 2'700, [](std::size_t count) {
                            return "GET /p HTTP/1.1\r\n" + fieldLines(count) + "\r\n";
                        });
                        checkAllServed(server, 2'700, [](std::size_t count) {
                            return "POST /p HTTP/1.1\r\nContent-Length: 2\r\n" + fieldLines(count) + "\r\n{}";
                        });
                        checkAllServed(server, 2'700, [](std::size_t count) {
                            return "GET /p HTTP/1.0\r\n" + fieldLines(count) + "\r\n";
                        });
                    }),
                // Guards against the same failure where the body needs memory too.
                test("runs once and is answered if it has a body in chunks, or a large one",
                    [] {
                        auto server = CountingServer(&respondPlainly);
                        checkAllServed(server, 2'700, [](std::size_t count) {
                            return "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + fieldLines(count)
                                + "\r\n2\r\n{}\r\n0\r\n\r\n";
                        });
                        const auto body = std::string(300'000, 'x');
                        checkAllServed(server, 2'700, [&body](std::size_t count) {
                            return "POST /p HTTP/1.1\r\nContent-Length: 300000\r\n" + fieldLines(count) + "\r\n" + body;
                        });
                    }),
                // Guards against a stream whose head or first chunk has no room.
                test("gets a stream to its end",
                    [] {
                        auto server = CountingServer(&respondWithStream);
                        checkAllServed(
                            server, 2'700,
                            [](std::size_t count) {
                                return "GET /p HTTP/1.1\r\n" + fieldLines(count) + "\r\n";
                            },
                            "0\r\n\r\n");
                    }),
                // Guards against fields behind the body, which need memory after the request has been accepted.
                test("runs once and is answered if they are in a trailer",
                    [] {
                        auto server = CountingServer(&respondPlainly);
                        checkAllServed(server, 2'700, [](std::size_t count) {
                            return "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\n2\r\n{}\r\n0\r\n"
                                + repeated("a: b\r\n", count) + "\r\n";
                        });
                    }),
                // Guards against memory that requests sent ahead have used up.
                test("is answered if its caller has sent more requests ahead",
                    [] {
                        auto server = CountingServer(&respondPlainly);
                        for (const auto count : countsUpTo(2'700)) {
                            server.checkServedWithPipelined(2'000, "GET /p HTTP/1.1\r\n" + fieldLines(count) + "\r\n",
                                std::to_string(count) + " fields");
                        }
                    }),
            }),
        section("made of many cookies or query parameters",
            {
                // Guards against entries that are made of one field or of the request line.
                test("runs once and is answered",
                    [] {
                        auto server = CountingServer(&respondPlainly);
                        checkAllServed(server, 4'000, [](std::size_t count) {
                            return "GET /p HTTP/1.1\r\nHost: h\r\nCookie: " + repeated("a=b;", count) + "\r\n\r\n";
                        });
                        checkAllServed(server, 4'000, [](std::size_t count) {
                            return "GET /p?" + repeated("a=b&", count) + " HTTP/1.1\r\nHost: h\r\n\r\n";
                        });
                    }),
            }),
        section("that gets a response with a long head",
            {
                // Guards against two heads that share one memory.
                test("gets the whole response, whatever its head is made of",
                    [] {
                        for (const auto fields : {0U, 800U, 2'700U}) {
                            for (const auto responseFields : {0U, 1'000U, 1'500U, 4'000U, 8'000U}) {
                                auto server = CountingServer([responseFields](const Request &) -> Response {
                                    const auto headers = std::vector<HeaderField>(
                                        responseFields, HeaderField {.name_ = "a", .value_ = "b"});
                                    return BufferedResponse {.headers_ = headers, .body_ = endOfBody};
                                });
                                server.checkServed("GET /p HTTP/1.1\r\n" + fieldLines(fields) + "\r\n",
                                    std::to_string(fields) + " and " + std::to_string(responseFields) + " fields");
                            }
                            auto server = CountingServer([](const Request &) -> Response {
                                const auto field = HeaderField {.name_ = "a", .value_ = std::string(65'000, 'b')};
                                return BufferedResponse {.headers_ = {field}, .body_ = endOfBody};
                            });
                            server.checkServed("GET /p HTTP/1.1\r\n" + fieldLines(fields) + "\r\n",
                                std::to_string(fields) + " fields and a long one");
                        }
                    }),
            }),
    }};

const testkit::TestSuite oversizedHeads = {"a request whose head exceeds the limit",
    {
        // Guards against a caller that gets no answer, and against a refused request that runs.
        test("is refused with 431, whatever it is made of",
            [] {
                auto server = CountingServer(&respondPlainly);
                const auto heads = {fieldLines(2'800), "Host: h\r\nCookie: " + repeated("a=b;", 4'200) + "\r\n",
                    "Host: h\r\nX: " + std::string(200'000, 'x') + "\r\n"};
                for (const auto &head : heads) {
                    const auto response = server.respondTo("GET /p HTTP/1.1\r\n" + head + "\r\n", "\"not_run\"}}");
                    check(response.starts_with("HTTP/1.1 431 "), response);
                }
                const auto target = "/p?" + repeated("a=b&", 4'200);
                const auto response
                    = server.respondTo("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n", "\"not_run\"}}");
                check(response.starts_with("HTTP/1.1 431 "), response);
            }),
    }};

const testkit::TestSuite manyLongHeads = {"requests with long heads that are handled at the same time",
    {
        // Guards against a process whose memory grows with the fields of all requests in flight.
        test("are refused as not run while there is no memory for them, and served again afterwards",
            [] {
                auto finish = std::make_shared<std::promise<void>>();
                const auto finished = finish->get_future().share();
                const auto server = *Server::start({.maximumBodyBytes_ = 1'000, .maximumBodyMemory_ = 2'500'000},
                    [finished](const Request &request) -> Response {
                        if (request.path_ == "/waits") {
                            finished.wait_for(generousTimeout);
                        }
                        return respondPlainly(request);
                    });
                const auto longHead = " HTTP/1.1\r\n" + fieldLines(2'700) + "\r\n";
                const auto waiting = connectTo(server->port());
                sendText(waiting, "GET /waits" + longHead);
                const auto deadline = Clock::now() + generousTimeout;
                while (server->bodyBytes() == 0 && Clock::now() < deadline) {
                    usleep(1'000);
                }
                const auto sendOnce = [&server](const std::string &request, const std::string &bodyEnd) {
                    const auto socket = connectTo(server->port());
                    sendText(socket, request);
                    auto response = readUntil(socket, bodyEnd);
                    close(socket);
                    return response;
                };
                const auto refused = sendOnce("GET /p" + longHead, "\"not_run\"}}");
                check(refused.starts_with("HTTP/1.1 503 ") && refused.find("Retry-After: 1\r\n") != std::string::npos,
                    refused);
                check(sendOnce(plainRequest, endOfBody).starts_with("HTTP/1.1 200 "), "a plain one is served");
                finish->set_value();
                check(readUntil(waiting, endOfBody).starts_with("HTTP/1.1 200 "), "the first is answered");
                while (server->bodyBytes() > 0 && Clock::now() < deadline) {
                    usleep(1'000);
                }
                check(sendOnce("GET /p" + longHead, endOfBody).starts_with("HTTP/1.1 200 "), "memory is released");
                close(waiting);
            }),
    }};

} // namespace
