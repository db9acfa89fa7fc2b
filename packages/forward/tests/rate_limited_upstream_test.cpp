#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "frontend_fixture.h"
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

constexpr std::size_t routerCount = 4;
constexpr auto requestInterval = 100ms;
// The operators' bound: in any window, one and a half times what the limit allows, and some more.
constexpr auto boundWindow = 4'000ms;
constexpr std::size_t boundFor1PerSecond = 11;

// An upstream that names a limit with its responses while it has one, and remembers when requests arrived.
class LimitedUpstream
{
public:
    explicit LimitedUpstream(const std::string &limit)
        : limit_(limit)
        , server_(*http::Server::start({}, [this](const http::Request &request) {
            return respond(request);
        }))
    {
    }

    ~LimitedUpstream()
    {
        server_->stop();
    }

    LimitedUpstream(const LimitedUpstream &) = delete;
    auto operator=(const LimitedUpstream &) -> LimitedUpstream & = delete;

    auto address() const -> std::string
    {
        return fmt::format("127.0.0.1:{}", server_->port());
    }

    auto setLimit(const std::string &limit) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        limit_ = limit;
    }

    // Returns the most requests that arrived within one window, of those from the given time on.
    auto mostInWindow(TimePoint from) const -> std::size_t
    {
        const auto lock = std::scoped_lock(mutex_);
        auto most = std::size_t(0);
        for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
            const auto end = std::upper_bound(first, arrivals_.end(), *first + boundWindow);
            most = *first < from ? most : std::max(most, std::size_t(end - first));
        }
        return most;
    }

private:
    auto respond(const http::Request &request) -> http::Response
    {
        const auto lock = std::scoped_lock(mutex_);
        arrivals_.push_back(Clock::now());
        const auto response = authenticResponse(request, 200, "");
        auto fields = response.headers_;
        if (!limit_.empty()) {
            fields.push_back({.name_ = "Rate-Limit", .value_ = limit_});
        }
        return http::BufferedResponse {.status_ = response.status_, .headers_ = fields};
    }

    mutable std::mutex mutex_;
    std::string limit_;
    std::vector<TimePoint> arrivals_;
    std::shared_ptr<http::Server> server_;
};

// Registers the upstreams as "u0", "u1" and so on, and waits until the routers know them.
auto registerUpstreams(const Routers &routers, const std::vector<const LimitedUpstream *> &upstreams) -> void
{
    auto &client = routers.front()->store();
    check(bool(client.put(configurationKey, "1")));
    for (auto index = std::size_t(0); index < upstreams.size(); ++index) {
        check(bool(client.put(upstreamPrefix + ("u" + std::to_string(index)), upstreams[index]->address() + " ready")));
    }
    waitForUpstreams(routers, upstreams.size());
}

// Sends requests to all routers at a steady rate for the given time. Returns how many were answered with another status
// than 200.
auto sendRequests(const Routers &routers, Milliseconds time) -> int
{
    auto failures = std::atomic<int>(0);
    auto callers = std::vector<std::thread>();
    for (const auto &router : routers) {
        callers.emplace_back([&failures, time, port = router->frontend().port()] {
            const auto end = Clock::now() + time;
            for (auto number = 0; Clock::now() < end; ++number) {
                const auto response = http::fetch({.method_ = "POST",
                    .url_ = fmt::format("http://127.0.0.1:{}/once/", port),
                    .headers_ = FrontendFixture::requestFields(fmt::format("{}-{}", port, number)),
                    .retryable_ = false});
                failures += response && response->status_ == 200 ? 0 : 1;
                std::this_thread::sleep_for(requestInterval);
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    return failures;
}

const testkit::TestSuite suite = {"an upstream that names a request rate for all routers together",
    {
        section("beside one that names none",
            {
                // Guards against an upstream in need that gets its full share of the requests, since its word is not
                // read or each router takes it for its own.
                test("gets no more than that, and the callers notice nothing",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto limited = LimitedUpstream("1");
                        const auto other = LimitedUpstream("");
                        const auto routers = startRouters(routerCount, *store);
                        registerUpstreams(routers, {&limited, &other});
                        const auto start = Clock::now();
                        check(sendRequests(routers, 7'000ms) == 0);
                        const auto most = limited.mostInWindow(start + 1'000ms);
                        check(most <= boundFor1PerSecond, std::to_string(most));
                    }),
                // Guards against an upstream that is spared although it is no longer in need.
                test("gets its part of all requests again once it names none",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto limited = LimitedUpstream("1");
                        const auto other = LimitedUpstream("");
                        const auto routers = startRouters(routerCount, *store);
                        registerUpstreams(routers, {&limited, &other});
                        check(sendRequests(routers, 1'000ms) == 0);
                        limited.setLimit("");
                        const auto end = Clock::now();
                        check(sendRequests(routers, 8'000ms) == 0);
                        const auto most = limited.mostInWindow(end);
                        check(most > boundFor1PerSecond, std::to_string(most));
                    }),
            }),
    }};

} // namespace
