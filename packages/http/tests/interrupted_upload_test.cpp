#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/socket.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testbench::RawServer;
using jasminewood::testbench::readToEnd;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::resetConnection;
using jasminewood::testbench::sendText;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// More than the buffers of a connection hold, so that the upload can't end while the peer reads nothing.
constexpr std::size_t longUploadBytes = 32U << 20U;
// Much less than the buffers hold: the upload ends although the peer reads nothing.
constexpr std::size_t shortUploadBytes = 32U << 10U;

constexpr auto unframedHead = "HTTP/1.1 200 OK\r\n\r\n";

// How a peer ends the connection in the middle of its response.
using Ending = std::function<auto(int socket)->void>;

auto finishAndReset(int socket) -> void
{
    shutdown(socket, SHUT_WR);
    resetConnection(socket);
}

auto finishAndResetLater(int socket) -> void
{
    shutdown(socket, SHUT_WR);
    std::this_thread::sleep_for(20ms);
    resetConnection(socket);
}

auto uploadRequest(const RawServer &peer, std::size_t bytes) -> ClientRequest
{
    return {.method_ = "POST", .url_ = peer.url(), .body_ = std::string(bytes, 'u'), .timeout_ = 20s};
}

// Reads the head of a request and so many bytes of its body, unless the peer closes before.
auto readUpload(int socket, std::size_t bodyBytes) -> void
{
    constexpr auto endOfHead = std::string_view("\r\n\r\n");
    const auto text = readUntil(socket, std::string(endOfHead));
    auto bytes = text.size() - std::min(text.size(), text.find(endOfHead) + endOfHead.size());
    auto buffer = std::vector<char>(64U << 10U);
    while (bytes < bodyBytes) {
        const auto size = recv(socket, buffer.data(), std::min(buffer.size(), bodyBytes - bytes), 0);
        if (size <= 0) {
            return;
        }
        bytes += std::size_t(size);
    }
}

// Returns whether the call ends as if its response were complete.
auto completesExchange(const ClientRequest &request) -> bool
{
    const auto deadline = Clock::now() + 10s;
    auto exchange = Exchange(request);
    if (!exchange.head(deadline)) {
        return false;
    }
    while (true) {
        const auto piece = exchange.next(deadline);
        if (!piece || !*piece) {
            return bool(piece);
        }
    }
}

// Checks that a response which begins with the head, and ends in its body after the delay, fails its call.
auto checkFails(const std::string &head, std::size_t uploadBytes, std::size_t readUploadBytes, Milliseconds delay,
    const Ending &end) -> void
{
    const auto peer = RawServer([&](int socket) {
        readUpload(socket, readUploadBytes);
        sendText(socket, head + "part");
        std::this_thread::sleep_for(delay);
        end(socket);
    });
    const auto request = uploadRequest(peer, uploadBytes);
    const auto what = std::to_string(uploadBytes) + " bytes, cut off after " + std::to_string(delay.count()) + " ms";
    const auto fetched = fetch(request);
    check(!fetched, "a fetch takes a part for the whole: " + what);
    check(fetched.failure().runState_ == RunState::MayHaveRun, toString(fetched.failure()));
    check(!completesExchange(request), "an exchange takes a part for the whole: " + what);
}

const testkit::TestSuite suite = {"an upload",
    {
        section("that is still being written",
            {
                // Guards against a part of a response that is taken for the whole, because only the end of the
                // connection ends it.
                test("fails if its peer responds at once and resets the connection",
                    [] {
                        for (const auto *head : {unframedHead, "HTTP/1.1 500 Internal Server Error\r\n\r\n",
                                 "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
                            for (const auto delay : {0ms, 1ms, 5ms, 20ms, 60ms}) {
                                checkFails(head, longUploadBytes, 0, delay, &resetConnection);
                            }
                        }
                    }),
                test("fails if its peer has read a part of it, responds and resets the connection",
                    [] {
                        for (const auto delay : {0ms, 1ms, 20ms}) {
                            checkFails(unframedHead, longUploadBytes, longUploadBytes / 2, delay, &resetConnection);
                            checkFails(unframedHead, longUploadBytes, longUploadBytes - 64, delay, &resetConnection);
                        }
                    }),
                // Guards against a reset that shows only after the end of the data does.
                test("fails if its peer ends its data first and then resets the connection",
                    [] {
                        for (const auto delay : {0ms, 1ms, 20ms}) {
                            checkFails(unframedHead, longUploadBytes, 0, delay, &finishAndReset);
                            checkFails(unframedHead, longUploadBytes, 0, delay, &finishAndResetLater);
                            checkFails(unframedHead, longUploadBytes, longUploadBytes / 2, delay, &finishAndResetLater);
                        }
                    }),
            }),
        section("that has just been written",
            {
                test("fails if its peer responds and resets the connection",
                    [] {
                        for (const auto delay : {0ms, 1ms, 5ms, 20ms, 60ms}) {
                            checkFails(unframedHead, shortUploadBytes, 0, delay, &resetConnection);
                        }
                    }),
                // Guards against data that only the kernel has: it counts as written, and the peer never reads it.
                test("fails if its peer ends its data and then resets the connection",
                    [] {
                        for (const auto bytes : {std::size_t(1'000'000), std::size_t(3'000'000)}) {
                            for (const auto delay : {0ms, 1ms, 20ms, 60ms}) {
                                checkFails(unframedHead, bytes, 0, delay, &finishAndReset);
                                checkFails(unframedHead, bytes, 0, delay, &finishAndResetLater);
                            }
                        }
                    }),
            }),
        section("that its peer has read",
            {
                // Guards against a check that refuses whole responses.
                test("has a response that ends with the connection",
                    [] {
                        for (const auto bytes : {shortUploadBytes, longUploadBytes}) {
                            const auto peer = RawServer([bytes](int socket) {
                                readUpload(socket, bytes);
                                sendText(socket, std::string(unframedHead) + "whole");
                            });
                            const auto response = fetch(uploadRequest(peer, bytes));
                            check(response && response->body_ == "whole");
                        }
                    }),
            }),
        section("that its peer refuses before it has read it",
            {
                // Guards against a refusal that is lost because the upload did not end.
                test("has the refusal",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n\r\nrefused");
                            shutdown(socket, SHUT_WR);
                            readToEnd(socket);
                        });
                        const auto response = fetch(uploadRequest(peer, longUploadBytes));
                        check(response && response->status_ == 413 && response->body_ == "refused");
                    }),
            }),
        section("whose peer responds without a body before it has read it",
            {
                // Guards against a response that counts as cut although there is nothing that could have been cut.
                test("has the response",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
                            readToEnd(socket);
                        });
                        const auto response = fetch(uploadRequest(peer, longUploadBytes));
                        check(response && response->status_ == 204);
                    }),
            }),
    }};

} // namespace
