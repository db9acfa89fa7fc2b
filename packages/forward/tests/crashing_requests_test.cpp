#include "jasminewood/forward/crashing_requests.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include <fmt/format.h>
#include <sys/socket.h>

#include "frontend_fixture.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_fixture.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto deadlySegment = "66";
constexpr auto deadlyBody = "deadly";
constexpr auto soundBody = "sound";
constexpr std::size_t engineCount = 6;
constexpr int deadlyRequests = 12;
// How long callers wait before they send a request again.
constexpr auto callerRetryTime = Milliseconds(1'050);
// How long after its start a deadly request crashes its engine, or after the last event of its answer.
constexpr auto runTime = Milliseconds(80);
constexpr auto timeAfterEvent = Milliseconds(5);
// The time between two events of an answer.
constexpr auto eventInterval = Milliseconds(100);

// Returns the value of a header field of a request head; empty if there is none.
auto fieldOf(const std::string &head, const std::string &name) -> std::string
{
    const auto start = head.find("\r\n" + name + ": ");
    const auto value = start + name.size() + 4;
    return start == std::string::npos ? "" : head.substr(value, head.find('\r', value) - value);
}

struct RawRequest
{
    // Empty if the connection ended.
    std::string head_;
    std::string body_;
};

auto readRequest(int socket) -> RawRequest
{
    const auto endOfHead = std::string("\r\n\r\n");
    const auto text = testbench::readUntil(socket, endOfHead);
    const auto bodyStart = text.find(endOfHead);
    if (bodyStart == std::string::npos) {
        return {};
    }
    auto body = text.substr(bodyStart + endOfHead.size());
    const auto length = fieldOf(text, "Content-Length");
    while (!length.empty() && body.size() < std::stoul(length)) {
        char byte = 0;
        if (recv(socket, &byte, 1, 0) != 1) {
            return {};
        }
        body.push_back(byte);
    }
    return {.head_ = text.substr(0, bodyStart + 2), .body_ = body};
}

// Returns whether a request crashes the engine that runs it.
auto isDeadly(const RawRequest &request) -> bool
{
    const auto prompt = " " + fieldOf(request.head_, "Prompt") + " ";
    return request.body_ == deadlyBody || prompt.find(std::string(" ") + deadlySegment + " ") != std::string::npos;
}

// How the end of a stream can be told.
enum class Framing
{
    Chunked,
    EndOfConnection,
};

// The stream with which an engine answers.
struct StreamOptions
{
    // The events before the end of the stream, or of the engine's process if the request is deadly.
    const int events_ = 1;
    const Framing framing_ = Framing::Chunked;
};

// An engine whose process ends as it begins to respond to a deadly request: before its response, or if it answers with
// streams, after some events.
class FragileEngine
{
public:
    explicit FragileEngine(const std::optional<StreamOptions> &stream = std::nullopt)
        : stream_(stream)
        , server_(std::make_unique<testbench::RawServer>([this](int socket) {
            serve(socket);
        }))
        , address_(server_->address())
        , crasher_([this] {
            crashed_.wait(false);
            server_.reset();
        })
    {
    }

    ~FragileEngine()
    {
        crash();
        crasher_.join();
    }

    FragileEngine(const FragileEngine &) = delete;
    auto operator=(const FragileEngine &) -> FragileEngine & = delete;

    auto address() const -> const std::string &
    {
        return address_;
    }

    auto hasCrashed() const -> bool
    {
        return crashed_;
    }

private:
    auto crash() -> void
    {
        crashed_ = true;
        crashed_.notify_all();
    }

    auto serve(int socket) -> void
    {
        for (auto request = readRequest(socket); !request.head_.empty(); request = readRequest(socket)) {
            if (stream_) {
                sendEvents(socket, request);
            }
            if (isDeadly(request)) {
                std::this_thread::sleep_for(stream_ ? timeAfterEvent : runTime);
                crash();
                // The end of a process closes its listener first.
                std::this_thread::sleep_for(100ms);
                return;
            }
            if (stream_ && stream_->framing_ == Framing::EndOfConnection) {
                return;
            }
            testbench::sendText(
                socket, stream_ ? "0\r\n\r\n" : responseHead(request) + "Content-Length: 4\r\n\r\ndone");
        }
    }

    static auto responseHead(const RawRequest &request) -> std::string
    {
        return "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: " + fieldOf(request.head_, "Request-Id") + "\r\n";
    }

    // Goes on after the event that the request names.
    auto sendEvents(int socket, const RawRequest &request) const -> void
    {
        const auto isChunked = stream_->framing_ == Framing::Chunked;
        testbench::sendText(socket,
            responseHead(request) + "Content-Type: text/event-stream\r\n"
                + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
        const auto after = fieldOf(request.head_, "Resume-After");
        const auto first = 1 + (after.empty() ? 0 : std::stoi(after));
        for (auto number = first; number < first + stream_->events_; ++number) {
            std::this_thread::sleep_for(number == first ? 0ms : eventInterval);
            const auto event = fmt::format("id: {}\ndata: piece\n\n", number);
            testbench::sendText(socket, isChunked ? fmt::format("{:x}\r\n{}\r\n", event.size(), event) : event);
        }
    }

    const std::optional<StreamOptions> stream_;

    std::atomic<bool> crashed_ = false;
    std::unique_ptr<testbench::RawServer> server_;
    const std::string address_;
    std::thread crasher_;
};

auto send(const std::string &url, const std::string &id, const std::string &body, const std::string &prompt = "")
    -> http::ClientResponse
{
    auto fields = FrontendFixture::requestFields(id);
    if (!prompt.empty()) {
        fields.push_back({.name_ = "Prompt", .value_ = prompt});
    }
    const auto response
        = http::fetch({.method_ = "POST", .url_ = url, .headers_ = fields, .body_ = body, .retryable_ = false});
    check(bool(response), response ? "" : toString(response.failure()));
    return *response;
}

// Starts engines and passes the id and the address of each to a function that registers it.
auto startEngines(const std::function<auto(const std::string &id, const std::string &address)->void> &registerEngine,
    const std::optional<StreamOptions> &stream = std::nullopt) -> std::vector<std::unique_ptr<FragileEngine>>
{
    auto engines = std::vector<std::unique_ptr<FragileEngine>>();
    for (auto index = std::size_t(0); index < engineCount; ++index) {
        engines.push_back(std::make_unique<FragileEngine>(stream));
        registerEngine("e" + std::to_string(index), engines.back()->address());
    }
    return engines;
}

auto startEngines(FrontendFixture &fixture, const std::optional<StreamOptions> &stream = std::nullopt)
    -> std::vector<std::unique_ptr<FragileEngine>>
{
    return startEngines(
        [&fixture](const std::string &id, const std::string &address) {
            fixture.registerUpstream(id, address, "ready");
        },
        stream);
}

auto startEngines(platform::KeyValueClient &store) -> std::vector<std::unique_ptr<FragileEngine>>
{
    check(bool(store.put(configurationKey, "1")));
    return startEngines([&store](const std::string &id, const std::string &address) {
        check(bool(store.put(upstreamPrefix + id, address + " ready")));
    });
}

// Returns the URL of the idempotent route at a router.
auto urlOf(RouterFixture &router) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(router.frontend().port()) + "/again/";
}

auto crashedEngines(const std::vector<std::unique_ptr<FragileEngine>> &engines) -> std::size_t
{
    return std::size_t(std::count_if(engines.begin(), engines.end(), [](const auto &engine) {
        return engine->hasCrashed();
    }));
}

// Sends requests with a deadly segment to a route, whose engines answer with streams. Checks that they are refused
// after as many crashes as are needed, and that sound ones, which share a segment with them, go on.
auto checkStreamsRefused(const std::string &route, const StreamOptions &stream) -> void
{
    auto fixture = FrontendFixture();
    const auto engines = startEngines(fixture, stream);
    const auto sendStream = [&fixture, &route](const std::string &id, const std::string &prompt) {
        auto fields = FrontendFixture::requestFields(id);
        fields.push_back({.name_ = "Prompt", .value_ = prompt});
        const auto response = http::fetch(
            {.method_ = "POST", .url_ = fixture.url(route), .headers_ = fields, .body_ = id, .retryable_ = false});
        std::this_thread::sleep_for(routing::commonCauseTime + 50ms);
        return response ? response->status_ : 0;
    };
    // Some of them meet an engine that crashed before.
    for (auto request = 0; request < deadlyRequests; ++request) {
        const auto id = std::to_string(request);
        sendStream("bad" + id, std::string("1 ") + deadlySegment + " 9" + id);
    }
    const auto crashed = crashedEngines(engines);
    check(crashed == routing::begunCrashesBeforeSegmentRefusal, std::to_string(crashed));
    check(sendStream("bad", std::string("1 ") + deadlySegment + " 8") == 503);
    check(sendStream("good", "1 2 3") == 200);
}

const testkit::TestSuite suite = {"requests that crash each engine",
    {
        section("and share a segment, and whose engine crashes after its answer has begun,",
            {
                // Guards against a deadly segment that is never refused because the first event of an answer, which
                // left the engine before it crashed, counts as proof that the segment is sound.
                test("are refused after four crashes with the first event",
                    [] {
                        checkStreamsRefused("/stream/", {});
                    }),
                // Guards against a limit on the age of an answer that a crash soon after its start already exceeds.
                test("are refused after four crashes with a later event",
                    [] {
                        checkStreamsRefused("/stream/", {.events_ = 6});
                    }),
                // Guards against a resumed stream whose earlier events count for the next engine.
                test("are refused after four crashes if their streams are resumed elsewhere",
                    [] {
                        checkStreamsRefused("/resumable/", {});
                    }),
                // Guards against the end of an engine's process that is taken for the end of its answer.
                test("are refused after four crashes if their streams end with the connection",
                    [] {
                        checkStreamsRefused("/stream/", {.framing_ = Framing::EndOfConnection});
                    }),
            }),
        section("and share a segment of their prompts, though no two are alike",
            {
                // Guards against engines that crash one after the other, and against sound requests that are refused
                // for a segment which they share with the deadly ones.
                test("are refused as not run after three crashes, and sound ones go on",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto engines = startEngines(fixture);
                        for (auto request = 0; request < 8; ++request) {
                            const auto id = std::to_string(request);
                            const auto response = send(
                                fixture.url("/once/"), "bad" + id, id, std::string("1 ") + deadlySegment + " 9" + id);
                            check(response.status_ == (request < 3 ? 502 : 503), std::to_string(response.status_));
                            check(request < 3 || response.headers_.contains("retry-after"));
                            std::this_thread::sleep_for(routing::commonCauseTime + 50ms);
                        }
                        check(crashedEngines(engines) == routing::crashesBeforeSegmentRefusal);
                        const auto sound = send(fixture.url("/once/"), "good", soundBody, "1 2 3");
                        check(sound.status_ == 200 && sound.body_ == "done");
                    }),
            }),
        section("and share a segment, seen by several routers",
            {
                // Guards against a limit that each router applies for itself, and against a router that has started
                // since and knows nothing.
                test("are refused by all of them, also by one that starts later",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto routers = startRouters(3, *store);
                        for (auto index = std::size_t(0); index < routers.size(); ++index) {
                            const auto engine = "e" + std::to_string(index);
                            routers[index]->crashingRequests().recordCrash({.id_ = engine},
                                {.features_ = {routing::SharedSegment {1}, routing::SharedSegment {66}}});
                            std::this_thread::sleep_for(routing::commonCauseTime + 50ms);
                        }
                        routers.push_back(std::make_unique<RouterFixture>("router-3", store->port()));
                        for (const auto &router : routers) {
                            waitUntil(
                                [&router] {
                                    return router->crashingRequests().admit({routing::SharedSegment {66}}).has_value();
                                },
                                "the router refuses the segment");
                            check(!router->crashingRequests().admit({routing::SharedSegment {1}}));
                        }
                    }),
            }),
        section("and are the same one, without a prompt",
            {
                // Guards against a request that a caller sends again and again until no replica is left: each try has
                // an id of its own.
                test("are refused as not run after two crashes, and those with the same path and caller go on",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto engines = startEngines(fixture);
                        for (auto request = 0; request < 4; ++request) {
                            const auto id = std::to_string(request);
                            const auto response = send(fixture.url("/once/"), "bad" + id, deadlyBody);
                            check(response.status_ == (request < 2 ? 502 : 503), std::to_string(response.status_));
                            check(request < 2 || response.headers_.contains("retry-after"));
                            check(send(fixture.url("/once/"), "good" + id, soundBody).status_ == 200);
                            std::this_thread::sleep_for(callerRetryTime);
                        }
                        check(crashedEngines(engines) == routing::crashesBeforeRequestRefusal);
                    }),
                // Guards against a retry that crashes a third replica, and against a try at each router that crashes
                // one there too.
                test("are refused by all routers once one of them has retried, also by one that starts later",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto routers = startRouters(3, *store);
                        const auto engines = startEngines(routers.front()->store());
                        waitForUpstreams(routers, engineCount);
                        check(send(urlOf(*routers.front()), "bad", deadlyBody).status_ == 502);
                        check(crashedEngines(engines) == routing::crashesBeforeRequestRefusal);
                        routers.push_back(std::make_unique<RouterFixture>("router-3", store->port()));
                        waitForUpstreams(routers, engineCount);
                        // The operators' bound is 3 s.
                        std::this_thread::sleep_for(1s);
                        for (const auto &router : routers) {
                            check(send(urlOf(*router), "again", deadlyBody).status_ == 503);
                        }
                        check(crashedEngines(engines) == routing::crashesBeforeRequestRefusal);
                    }),
            }),
    }};

} // namespace
