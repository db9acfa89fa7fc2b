#include <cerrno>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

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

constexpr auto http10Request = "GET /p HTTP/1.0\r\n\r\n";
constexpr auto firstPart = "first part";

// Returns a handler that streams the first part and then what the function returns.
auto streamThen(const std::function<auto()->StreamEvent> &nextEvent) -> Handler
{
    return [nextEvent](const Request & /*request*/) -> Response {
        auto sent = std::make_shared<bool>(false);
        return StreamResponse {.nextEvent_ = [nextEvent, sent]() -> StreamEvent {
            return std::exchange(*sent, true) ? nextEvent() : Chunk {.data_ = firstPart};
        }};
    };
}

// Returns the errno with which a stream ends at an HTTP/1.0 caller that has got its first part; 0 for a proper end.
auto endOfStream(const std::function<auto()->StreamEvent> &nextEvent) -> int
{
    const auto server = *Server::start({}, streamThen(nextEvent));
    const auto socket = connectTo(server->port());
    sendText(socket, http10Request);
    const auto received = readUntil(socket, firstPart);
    check(received.find(firstPart) != std::string::npos, "the first part arrives: " + received);
    const auto error = readToEnd(socket).error_;
    close(socket);
    return error;
}

const testkit::TestSuite http10Streams = {"a stream to a caller of HTTP/1.0, whose body ends with its connection,",
    {
        section("that is cut off",
            {
                // Guards against a part of a body that its caller takes for the whole.
                test("ends with a reset if it is aborted",
                    [] {
                        const auto error = endOfStream([]() -> StreamEvent {
                            return AbortStream {};
                        });
                        check(error == ECONNRESET, std::to_string(error));
                    }),
                // Guards against the same where the stream reports nothing before it ends.
                test("ends with a reset if making it throws",
                    [] {
                        const auto error = endOfStream([]() -> StreamEvent {
                            throw std::runtime_error("no more data");
                        });
                        check(error == ECONNRESET, std::to_string(error));
                    }),
                // Guards against the same where another thread ends the connection.
                test("ends with a reset if the server stops before",
                    [] {
                        auto proceed = std::make_shared<std::promise<void>>();
                        const auto server = *Server::start({}, streamThen([proceed]() -> StreamEvent {
                            proceed->get_future().wait();
                            return EndOfStream {};
                        }));
                        const auto socket = connectTo(server->port());
                        sendText(socket, http10Request);
                        readUntil(socket, firstPart);
                        auto stopped = std::async(std::launch::async, [server] {
                            server->stop();
                        });
                        const auto error = readToEnd(socket).error_;
                        proceed->set_value();
                        stopped.wait();
                        close(socket);
                        check(error == ECONNRESET, std::to_string(error));
                    }),
            }),
        section("that is complete",
            {
                // Guards against a whole body that is lost with a reset.
                test("ends without an error",
                    [] {
                        const auto error = endOfStream([]() -> StreamEvent {
                            return EndOfStream {};
                        });
                        check(error == 0, std::to_string(error));
                    }),
            }),
    }};

} // namespace
