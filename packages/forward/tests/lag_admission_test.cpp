#include "jasminewood/forward/lag_admission.h"

#include <atomic>
#include <thread>

#include "frontend_fixture.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Returns the sample with routes that have a latency target: "/quick/", and "/events/" whose response is a stream.
auto configurationWithTargets() -> routes::Configuration
{
    const auto base = sampleConfiguration();
    auto routes = base.routes_;
    for (const auto *name : {"quick", "events"}) {
        routes.push_back({.name_ = name,
            .host_ = "shop",
            .pathPrefix_ = std::string("/") + name + "/",
            .retrySafety_
            = routes.size() == base.routes_.size() ? routes::RetrySafety::Idempotent : routes::RetrySafety::Stream,
            .timeout_ = Milliseconds(20'000),
            .targetLatency_ = Milliseconds(400),
            .weightedServices_ = {{.service_ = "pool"}}});
    }
    return {.version_ = 1, .routes_ = routes, .services_ = base.services_, .access_ = base.access_};
}

// A router whose requests wait long before a thread handles them.
class LaggingRouter
{
public:
    LaggingRouter()
        : fixture_(configurationWithTargets())
    {
        fixture_.addUpstream("a", [this](const http::Request &request) -> http::Response {
            ++runs_;
            return authenticResponse(request, 200, "whole");
        });
        std::this_thread::sleep_for(congestion::startupTime);
    }

    // Makes the router hear of another one.
    auto addPeer() -> void
    {
        fixture_.upstreams().pool().applyPeerReport("other", {.isFullReport_ = true}, Clock::now());
    }

    auto send(const std::string &path, const std::string &lastEventId = {}) -> http::ClientResponse
    {
        // As many that are late as to allow the refusal of one more.
        for (auto request = 0; request < 20; ++request) {
            fixture_.frontend().recordLag(5s);
        }
        auto fields = FrontendFixture::requestFields("r1");
        if (!lastEventId.empty()) {
            fields.push_back({.name_ = "Last-Event-Id", .value_ = lastEventId});
        }
        const auto response = http::fetch({.url_ = fixture_.url(path), .headers_ = fields, .retryable_ = false});
        check(bool(response), response ? "" : toString(response.failure()));
        return *response;
    }

    auto runs() const -> int
    {
        return runs_;
    }

    auto metrics() const -> std::string
    {
        return fixture_.metrics();
    }

private:
    std::atomic<int> runs_ = 0;
    FrontendFixture fixture_;
};

const testkit::TestSuite suite = {"a router that lags behind",
    {
        section("beside another router",
            {
                // Guards against requests that wait at a router which is short of processor time while others are idle,
                // and against a refusal after which the request still runs.
                test("refuses what it cannot pass on in time, as not run and with a short retry delay",
                    [] {
                        auto router = LaggingRouter();
                        router.addPeer();
                        for (const auto *path : {"/quick/x", "/events/x"}) {
                            const auto response = router.send(path);
                            check(response.status_ == 503, std::to_string(response.status_));
                            check(
                                response.body_.find("\"run_state\":\"not_run\"") != std::string::npos, response.body_);
                            const auto retryAfter = std::stod(response.headers_.at("retry-after"));
                            check(retryAfter >= 0.05 && retryAfter <= 0.2, response.headers_.at("retry-after"));
                        }
                        check(router.runs() == 0);
                        check(router.metrics().find("jasminewood_forward_lag_refusals_total 2") != std::string::npos);
                    }),
                // Guards against a stream that its caller cannot finish.
                test("serves a request without a latency target, and admits one that resumes a stream",
                    [] {
                        auto router = LaggingRouter();
                        router.addPeer();
                        check(router.send("/again/x").status_ == 200 && router.runs() == 1);
                        check(router.send("/events/x", "7").body_.find("lagging") == std::string::npos);
                    }),
            }),
        section("that hears of no other router",
            {
                // Guards against refused callers that have nowhere else to go.
                test("serves all the same",
                    [] {
                        auto router = LaggingRouter();
                        check(router.send("/quick/x").status_ == 200 && router.runs() == 1);
                    }),
            }),
    }};

} // namespace
