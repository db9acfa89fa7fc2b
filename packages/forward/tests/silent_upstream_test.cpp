#include <future>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/testkit/test_suite.h"
#include "silent_upstream_fixture.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// A listener that neither accepts nor refuses a connection: its queue is full.
class FullListener
{
public:
    FullListener()
    {
        auto size = socklen_t(sizeof(address_));
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        check(bind(listener_, reinterpret_cast<const sockaddr *>(&address_), size) == 0 && listen(listener_, 0) == 0);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address_), &size);
        for (const auto caller : callers_) {
            static_cast<void>(connect(caller, reinterpret_cast<const sockaddr *>(&address_), size));
        }
    }

    ~FullListener()
    {
        close(listener_);
        for (const auto caller : callers_) {
            close(caller);
        }
    }

    FullListener(const FullListener &) = delete;
    auto operator=(const FullListener &) -> FullListener & = delete;

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port));
    }

private:
    static auto makeSocket() -> int
    {
        return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    }

    const int listener_ = makeSocket();
    const std::vector<int> callers_ = {makeSocket(), makeSocket(), makeSocket()};
    sockaddr_in address_ = {};
};

// Guards against a stream that ends although its upstream only paused and no other one can continue it.
auto completes(const std::string &name, SecondUpstream second, const FrontendOptions &options = {},
    const StreamParts &parts = {}) -> testkit::TestSuiteEntry
{
    return test(name, [second, options, parts] {
        auto fixture = FrontendFixture(engineSample(), std::nullopt, options);
        const auto runs = addUpstreams(fixture, second, parts);
        checkComplete(fixture, getStream(fixture));
        check(runs->firstCompleted_, "the first upstream completed the stream");
    });
}

// An event of which the second half follows after the silence.
const auto splitEvent = StreamParts {.before_ = event(1) + "id: 2\nda", .after_ = "ta: piece\n\n"};

const testkit::TestSuite suite = {"a stream whose upstream falls silent and goes on",
    {
        section("is completed by that upstream",
            {
                completes("if there is no other one", SecondUpstream::Absent),
                completes("if the other one refuses it", SecondUpstream::Refuses),
                completes("if the other one fails", SecondUpstream::Fails),
                completes("if it goes on while the other one is asked", SecondUpstream::WakesFirst),
                completes("if the retry budget is exhausted", SecondUpstream::Continues,
                    FrontendOptions {.retryBudget_ = {.fraction_ = 0, .slack_ = 0}}),
                // Guards against an exhausted retry budget although nothing was sent.
                test("at no cost to the retry budget if there is no other one",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs = addUpstreams(fixture, SecondUpstream::Absent);
                        checkComplete(fixture, getStream(fixture));
                        check(fixture.metrics().find("jasminewood_forward_retries_total 0\n") != std::string::npos);
                    }),
                // Guards against an event that loses its first half while another upstream is asked.
                completes("if it fell silent inside an event", SecondUpstream::Refuses, {}, splitEvent),
                completes("if it fell silent inside an event, and goes on while the other one is asked",
                    SecondUpstream::WakesFirst, {}, splitEvent),
                test("if it has sent no event with an id",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs
                            = addUpstreams(fixture, SecondUpstream::Continues, {.before_ = "data: piece\n\n"});
                        checkComplete(fixture, getStream(fixture), "data: piece\n\n" + event(2));
                        check(runs->second_ == 0, "nothing was sent to another upstream");
                    }),
                // Guards against a stream that is given up for an upstream that has not even got the request.
                test("if the other one accepts no connection",
                    [] {
                        const auto listener = FullListener();
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs = addUpstreams(fixture, SecondUpstream::Absent);
                        auto change = std::async(std::launch::async, [&fixture, &runs, &listener] {
                            waitUntil(
                                [&runs] {
                                    return runs->first_ == 1;
                                },
                                "the stream runs");
                            fixture.registerUpstream("b", listener.address(), "ready");
                        });
                        checkComplete(fixture, getStream(fixture));
                        change.get();
                        check(runs->firstCompleted_, "the first upstream completed the stream");
                    }),
                // Guards against a stream that ends because a newer configuration no longer admits its request.
                test("if the newest configuration no longer has its route",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs = addUpstreams(fixture, SecondUpstream::Continues);
                        auto change = std::async(std::launch::async, [&fixture, &runs] {
                            waitUntil(
                                [&runs] {
                                    return runs->first_ == 1;
                                },
                                "the stream runs");
                            fixture.publishWithoutRoutes(2);
                        });
                        checkComplete(fixture, getStream(fixture));
                        change.get();
                        check(runs->second_ == 0, "nothing was sent to another upstream");
                    }),
            }),
        section("is resumed by another one",
            {
                // Guards against an event that is joined from halves of two upstreams.
                test("without the half event that the first one had sent",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs = addUpstreams(fixture, SecondUpstream::Continues, splitEvent);
                        runs->silence_ = longSilence;
                        const auto response = getStream(fixture);
                        runs->wake_.set_value();
                        checkComplete(fixture, response);
                    }),
                // Guards against a stream that runs at two upstreams at once.
                test("that begins to respond, and closed at the first one",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs = addUpstreams(fixture, SecondUpstream::Continues);
                        runs->silence_ = longSilence;
                        const auto response = getStream(fixture);
                        waitUntil(runs->firstClosed_, "the first upstream's connection is closed");
                        check(runs->second_ == 1 && !runs->firstCompleted_);
                        runs->wake_.set_value();
                        checkComplete(fixture, response);
                    }),
                // Guards against a stream that ends because the upstream that continues it pauses, too.
                test("that falls silent itself, and completed there",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto runs = addUpstreams(fixture, SecondUpstream::FallsSilent);
                        checkComplete(fixture, getStream(fixture));
                        check(runs->second_ == 1);
                    }),
            }),
    }};

} // namespace
