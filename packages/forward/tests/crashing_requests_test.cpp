#include "jasminewood/forward/crashing_requests.h"

#include <algorithm>
#include <atomic>
#include <thread>

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
constexpr std::size_t engineCount = 6;

// Returns the value of a header field of a request head; empty if there is none.
auto fieldOf(const std::string &head, const std::string &name) -> std::string
{
    const auto start = head.find("\r\n" + name + ": ");
    const auto value = start + name.size() + 4;
    return start == std::string::npos ? "" : head.substr(value, head.find('\r', value) - value);
}

// Returns the address in a URL of the form "http://ADDRESS/".
auto addressOf(const std::string &url) -> std::string
{
    const auto start = std::string("http://").size();
    return url.substr(start, url.find('/', start) - start);
}

// An engine whose process ends as soon as it begins to respond to a prompt with the deadly segment.
class FragileEngine
{
public:
    FragileEngine()
        : server_(std::make_unique<testbench::RawServer>([this](int socket) {
            serve(socket);
        }))
        , address_(addressOf(server_->url()))
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
        for (auto head = testbench::readUntil(socket, "\r\n\r\n"); !head.empty();
             head = testbench::readUntil(socket, "\r\n\r\n")) {
            if ((" " + fieldOf(head, "Prompt") + " ").find(std::string(" ") + deadlySegment + " ")
                != std::string::npos) {
                crash();
                // The end of a process closes its listener first.
                std::this_thread::sleep_for(100ms);
                return;
            }
            testbench::sendText(socket,
                "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: " + fieldOf(head, "Request-Id")
                    + "\r\nContent-Length: 4\r\n\r\ndone");
        }
    }

    std::atomic<bool> crashed_ = false;
    std::unique_ptr<testbench::RawServer> server_;
    const std::string address_;
    std::thread crasher_;
};

auto send(const FrontendFixture &fixture, const std::string &id, const std::string &prompt)
    -> Result<http::ClientResponse>
{
    auto fields = FrontendFixture::requestFields(id);
    fields.push_back({.name_ = "Prompt", .value_ = prompt});
    return http::fetch({.method_ = "POST", .url_ = fixture.url("/once/"), .headers_ = fields, .retryable_ = false});
}

auto startEngines(FrontendFixture &fixture) -> std::vector<std::unique_ptr<FragileEngine>>
{
    auto engines = std::vector<std::unique_ptr<FragileEngine>>();
    for (auto index = std::size_t(0); index < engineCount; ++index) {
        engines.push_back(std::make_unique<FragileEngine>());
        fixture.registerUpstream("e" + std::to_string(index), engines.back()->address(), "ready");
    }
    return engines;
}

auto crashedEngines(const std::vector<std::unique_ptr<FragileEngine>> &engines) -> std::size_t
{
    return std::size_t(std::count_if(engines.begin(), engines.end(), [](const auto &engine) {
        return engine->hasCrashed();
    }));
}

const testkit::TestSuite suite = {"a prompt segment that crashes each engine",
    {
        section("in requests of which no two are alike",
            {
                // Guards against engines that crash one after the other, and against sound requests that are refused
                // for a segment which they share with the deadly ones.
                test("is refused as not run after three crashes, and sound requests go on",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto engines = startEngines(fixture);
                        for (auto request = 0; request < 8; ++request) {
                            const auto id = std::to_string(request);
                            const auto response
                                = send(fixture, "bad" + id, std::string("1 ") + deadlySegment + " 9" + id);
                            check(bool(response), response ? "" : toString(response.failure()));
                            check(response->status_ == (request < 3 ? 502 : 503), std::to_string(response->status_));
                            check(request < 3 || response->headers_.contains("retry-after"));
                            std::this_thread::sleep_for(routing::commonCauseTime + 50ms);
                        }
                        check(crashedEngines(engines) == routing::crashesBeforeSegmentRefusal);
                        const auto sound = send(fixture, "good", "1 2 3");
                        check(sound && sound->status_ == 200 && sound->body_ == "done");
                    }),
            }),
        section("seen by several routers",
            {
                // Guards against a limit that each router applies for itself, and against a router that has started
                // since and knows nothing.
                test("is refused by all of them, also by one that starts later",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto routers = std::vector<std::unique_ptr<RouterFixture>>();
                        for (const auto *name : {"router-0", "router-1", "router-2"}) {
                            routers.push_back(std::make_unique<RouterFixture>(name, store->port()));
                        }
                        waitUntil(
                            [&routers] {
                                return std::all_of(routers.begin(), routers.end(), [&routers](const auto &router) {
                                    return router->network().peerCount() + 1 == routers.size();
                                });
                            },
                            "the routers know each other");
                        for (auto index = std::size_t(0); index < routers.size(); ++index) {
                            const auto engine = "e" + std::to_string(index);
                            routers[index]->crashingRequests().recordCrash({.id_ = engine}, {1, 66});
                            std::this_thread::sleep_for(routing::commonCauseTime + 50ms);
                        }
                        routers.push_back(std::make_unique<RouterFixture>("router-3", store->port()));
                        for (const auto &router : routers) {
                            waitUntil(
                                [&router] {
                                    return router->crashingRequests().admit({66}).has_value();
                                },
                                "the router refuses the segment");
                            check(!router->crashingRequests().admit({1}));
                        }
                    }),
            }),
    }};

} // namespace
