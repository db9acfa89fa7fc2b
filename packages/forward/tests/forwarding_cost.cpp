// Measures what a router spends on a forwarded request and on an event of a stream. The upstream and the caller run in
// processes of their own, so that only the router is counted.
//
//     forwarding-cost REQUESTS STREAMS 2>/dev/null
//
// prints the router's processor time and context switches for so many plain requests and streams of 60 events, one
// after the other. For instructions, run it with two numbers of requests, or of streams, under
//
//     valgrind --tool=callgrind --callgrind-out-file=out.%p build/bin/forwarding-cost REQUESTS STREAMS
//
// and divide the difference of the first process's totals by the difference of the numbers. memset() of the HTTP
// library's buffers is to be left out, because valgrind counts each byte that one instruction sets.

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "frontend_fixture.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;

// Ends the program where the fixture would fail a test. Replaces the function of the test kit, whose object has a
// main().
auto testkit::check(bool condition, const std::string &message, const char *file, int line) -> void
{
    if (!condition) {
        std::fprintf(stderr, "%s:%d: %s\n", file, line, message.c_str());
        std::exit(1);
    }
}

namespace
{

constexpr int eventsPerStream = 60;
constexpr auto eventInterval = Milliseconds(2);
// Long, so that the feed of the store costs little during a run.
constexpr auto watchTimeout = Milliseconds(2'000);

// Header fields as callers of a model engine send them, beside those that a request must have.
auto furtherFields() -> std::vector<http::HeaderField>
{
    return {{.name_ = "Accept", .value_ = "application/json, text/event-stream"},
        {.name_ = "Accept-Encoding", .value_ = "identity"}, {.name_ = "Content-Type", .value_ = "application/json"},
        {.name_ = "User-Agent", .value_ = "forwarding-cost/1.0 (measurement)"},
        {.name_ = "X-Model", .value_ = "model-of-the-measurement"}, {.name_ = "X-Token-Counts", .value_ = "812,64"},
        {.name_ = "X-Trace", .value_ = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}};
}

auto streamOf(const http::Request &request) -> http::Response
{
    auto fields = authenticResponse(request, 200, "").headers_;
    fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
    auto sent = std::make_shared<int>(0);
    return http::StreamResponse {.status_ = 200, .headers_ = fields, .nextEvent_ = [sent]() -> http::StreamEvent {
                                     if (*sent == eventsPerStream) {
                                         return http::EndOfStream {};
                                     }
                                     std::this_thread::sleep_for(eventInterval);
                                     ++*sent;
                                     return http::Chunk {
                                         .data_ = fmt::format("id: {}\ndata: {{\"token\":\"word\"}}\n\n", *sent)};
                                 }};
}

// Writes a port to the pipe.
auto sendPort(int pipe, std::uint16_t port) -> void
{
    static_cast<void>(!write(pipe, &port, sizeof(port)));
}

auto receivePort(int pipe) -> std::uint16_t
{
    auto port = std::uint16_t(0);
    static_cast<void>(!read(pipe, &port, sizeof(port)));
    return port;
}

// Starts a function in a process of its own.
template <typename Function>
auto startProcess(Function function) -> pid_t
{
    const auto process = fork();
    if (process == 0) {
        function();
        _exit(0);
    }
    return process;
}

// Serves until the other end of the pipe is closed.
auto serveUpstream(int portPipe, int stopPipe) -> void
{
    const auto server = http::Server::start({}, [](const http::Request &request) -> http::Response {
        return request.path_.starts_with("/resumable/") ? streamOf(request)
                                                        : authenticResponse(request, 200, std::string(1'000, 'x'));
    });
    sendPort(portPipe, (*server)->port());
    auto end = '\0';
    static_cast<void>(!read(stopPipe, &end, 1));
    _exit(0);
}

auto call(std::uint16_t port, const std::string &path, int number) -> void
{
    auto fields = FrontendFixture::requestFields(fmt::format("request-{:08}-of-the-measurement", number));
    for (const auto &field : furtherFields()) {
        fields.push_back(field);
    }
    const auto request = http::ClientRequest {.method_ = "POST",
        .url_ = fmt::format("http://127.0.0.1:{}{}", port, path),
        .headers_ = fields,
        .body_ = std::string(2'000, 'x'),
        .retryable_ = false};
    const auto response = http::fetch(request);
    if (!response || response->status_ != 200) {
        std::fprintf(stderr, "a request failed\n");
        _exit(1);
    }
}

auto callAll(std::uint16_t port, int requests, int streams) -> void
{
    for (auto number = 0; number < requests; ++number) {
        call(port, "/again/x", number);
    }
    for (auto number = 0; number < streams; ++number) {
        call(port, "/resumable/x", requests + number);
    }
}

auto processorSeconds(const timeval &user, const timeval &system) -> double
{
    constexpr double microsecondsPerSecond = 1e6;
    return double(user.tv_sec + system.tv_sec) + double(user.tv_usec + system.tv_usec) / microsecondsPerSecond;
}

auto printUsage(const rusage &before, const rusage &after) -> void
{
    const auto time
        = processorSeconds(after.ru_utime, after.ru_stime) - processorSeconds(before.ru_utime, before.ru_stime);
    std::printf("{\"processor_seconds\":%.4f,\"voluntary_switches\":%ld,\"involuntary_switches\":%ld}\n", time,
        after.ru_nvcsw - before.ru_nvcsw, after.ru_nivcsw - before.ru_nivcsw);
}

} // namespace

auto main(int count, char **arguments) -> int
{
    if (count != 3) {
        std::fprintf(stderr, "usage: forwarding-cost REQUESTS STREAMS\n");
        return 2;
    }
    const auto requests = std::atoi(arguments[1]);
    const auto streams = std::atoi(arguments[2]);
    auto upstreamPort = std::array<int, 2>();
    auto upstreamStop = std::array<int, 2>();
    auto callerPort = std::array<int, 2>();
    if (pipe(upstreamPort.data()) != 0 || pipe(upstreamStop.data()) != 0 || pipe(callerPort.data()) != 0) {
        return 1;
    }
    startProcess([&] {
        close(upstreamStop[1]);
        serveUpstream(upstreamPort[1], upstreamStop[0]);
    });
    const auto caller = startProcess([&] {
        close(upstreamStop[1]);
        callAll(receivePort(callerPort[0]), requests, streams);
    });
    auto fixture = FrontendFixture(sampleConfiguration(), std::nullopt, {}, observe::Level::Info,
        {.keyPrefix_ = "/", .watchTimeout_ = watchTimeout, .batchDelay_ = Milliseconds(0)});
    fixture.registerUpstream("a", fmt::format("127.0.0.1:{}", receivePort(upstreamPort[0])), "ready");
    auto before = rusage {};
    auto after = rusage {};
    getrusage(RUSAGE_SELF, &before);
    sendPort(callerPort[1], fixture.port());
    auto status = 0;
    waitpid(caller, &status, 0);
    getrusage(RUSAGE_SELF, &after);
    printUsage(before, after);
    close(upstreamStop[1]);
    return status;
}
