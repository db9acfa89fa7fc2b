#include <algorithm>
#include <barrier>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/http/client.h"
#include "jasminewood/testkit/test_suite.h"
#include "manifest_text.h"
#include "test_deployment.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

constexpr auto restartOrderSeed = std::uint64_t(20'261'204);

// The parsed response to an operator's call.
struct OperatorReply
{
    const int status_ = 0;
    const std::string outcome_;
    const std::uint64_t revision_ = 0;
    const std::string winner_;

    auto operator<=>(const OperatorReply &) const = default;
};

auto parseReply(const Result<http::ClientResponse> &response) -> OperatorReply
{
    if (!response) {
        return OperatorReply {.outcome_ = toString(response.failure())};
    }
    const auto body = json::parse(response->body_, nullptr, false);
    if (!body.is_object()) {
        return OperatorReply {.status_ = response->status_, .outcome_ = response->body_};
    }
    return OperatorReply {.status_ = response->status_,
        .outcome_ = body.value("outcome", ""),
        .revision_ = body.value("revision", std::uint64_t(0)),
        .winner_ = body.value("winner", "")};
}

auto operatorCall(TestDeployment &deployment, const std::string &router, const std::string &method,
    const std::string &path, const std::string &body = "") -> Result<http::ClientResponse>
{
    return http::fetch({.method_ = method,
        .url_ = deployment.system().adminUrl(router) + path,
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + deployment.system().adminKey()}},
        .body_ = body});
}

// Submits a manifest that is based on a revision, and records its acceptance.
auto submit(TestDeployment &deployment, const std::string &router, const std::string &submission, std::uint64_t base)
    -> OperatorReply
{
    auto reply = parseReply(operatorCall(deployment, router, "PUT",
        fmt::format("/admin/manifest?submission={}&base={}", submission, base), manifestText(submission)));
    if (reply.outcome_ == "accepted") {
        deployment.record(ManifestAccepted {reply.revision_});
    }
    return reply;
}

// Returns the revision of the active manifest of a router.
auto activeRevision(TestDeployment &deployment, const std::string &router) -> std::uint64_t
{
    const auto response = operatorCall(deployment, router, "GET", "/admin/manifest");
    check(response && response->status_ == 200, "a router returns its manifest");
    return json::parse(response->body_).value("revision", std::uint64_t(0));
}

const testkit::TestSuite story = {"a manifest",
    {
        section("submitted by two operators at the same moment",
            {
                // Guards against two accepted submissions of which one is lost, and against a conflict that is not
                // reported.
                test("is accepted from exactly one, and the other receives a conflict with the winner",
                    [] {
                        constexpr auto rounds = 30;
                        auto deployment = TestDeployment({.engines_ = 1, .bookings_ = 1});
                        auto base = activeRevision(deployment, "router-1");
                        for (auto round = 0; round < rounds; ++round) {
                            auto reply = std::array<std::unique_ptr<OperatorReply>, 2>();
                            auto together = std::barrier(2);
                            auto operators = Callers(2, [&](std::size_t number) {
                                together.arrive_and_wait();
                                reply.at(number) = std::make_unique<OperatorReply>(submit(deployment,
                                    fmt::format("router-{}", number + 1), fmt::format("s-{}-{}", round, number), base));
                            });
                            operators.join();
                            const auto winner = std::size_t(reply[0]->outcome_ == "accepted" ? 0 : 1);
                            const auto &won = *reply.at(winner);
                            const auto &lost = *reply.at(1 - winner);
                            check(won.outcome_ == "accepted", won.outcome_);
                            check(lost.status_ == 409 && lost.outcome_ == "conflict", lost.outcome_);
                            check(lost.winner_ == fmt::format("s-{}-{}", round, winner), "winner " + lost.winner_);
                            check(won.revision_ > base);
                            base = won.revision_;
                        }
                        deployment.awaitManifest(deployment.processes(), base);
                        deployment.checkHistory();
                    }),
            }),
        section("whose acceptance response is lost",
            {
                // Guards against a wrong outcome in the response to an operator, and against a change that is submitted
                // twice.
                test("is resolved to the actual outcome",
                    [] {
                        auto deployment = TestDeployment({.engines_ = 1, .bookings_ = 1});
                        auto base = activeRevision(deployment, "router-1");
                        for (auto losses = 1; losses <= 4; ++losses) {
                            deployment.fault("kv", fmt::format(R"({{"lose_answers": {}}})", losses));
                            const auto id = fmt::format("lost-{}", losses);
                            const auto reply = submit(deployment, "router-2", id, base);
                            const auto status
                                = parseReply(operatorCall(deployment, "router-3", "GET", "/admin/submissions/" + id));
                            check(reply.outcome_ == "accepted" || reply.outcome_ == "unknown"
                                    || reply.outcome_ == "conflict",
                                reply.outcome_);
                            if (reply.outcome_ == "accepted") {
                                check(status.outcome_ == "accepted" && status.revision_ == reply.revision_,
                                    status.outcome_);
                            }
                            check(reply.outcome_ != "conflict", "nobody else submitted");
                            base = status.outcome_ == "accepted" ? status.revision_ : base;
                            deployment.fault("kv", R"({"lose_answers": 0})");
                        }
                        check(parseReply(operatorCall(deployment, "router-3", "GET", "/admin/submissions/lost-1"))
                                    .outcome_
                                == "accepted",
                            "one lost response was not resolved");
                        deployment.awaitManifest(deployment.processes(), base);
                        deployment.checkHistory();
                    }),
            }),
        section("accepted immediately before an outage of the key-value service",
            {
                // Guards against processes that receive a manifest only from the key-value service.
                test("is active on all routers and agents within 5 s",
                    [] {
                        auto deployment = TestDeployment({.engines_ = 2, .bookings_ = 2});
                        deployment.awaitPeers();
                        for (auto round = 0; round < 5; ++round) {
                            const auto reply = submit(deployment, fmt::format("router-{}", round % 3 + 1),
                                fmt::format("before-outage-{}", round), activeRevision(deployment, "router-1"));
                            deployment.system().suspend("kv");
                            check(reply.outcome_ == "accepted", reply.outcome_);
                            deployment.awaitManifest(deployment.processes(), reply.revision_);
                            deployment.system().resume("kv");
                        }
                        deployment.checkHistory();
                    }),
                // Guards against a router that needs the key-value service to start.
                test("reaches a router that starts during the outage from its peers",
                    [] {
                        auto deployment = TestDeployment({.engines_ = 1, .bookings_ = 1});
                        deployment.kill("router-3");
                        const auto reply
                            = submit(deployment, "router-1", "before-start", activeRevision(deployment, "router-1"));
                        check(reply.outcome_ == "accepted", reply.outcome_);
                        deployment.system().kill("kv");
                        deployment.restart("router-3");
                        deployment.awaitManifest({"router-3"}, reply.revision_);
                        const auto ready = deployment.system().waitReady(testTimeout);
                        check(!ready, ready ? toString(*ready) : "");
                        check(deployment.chat({.router_ = "router-3", .message_ = "hello [tokens=5]"}).completed_);
                        deployment.checkHistory();
                    }),
            }),
        section("while processes restart",
            {
                // Guards against an old manifest that is distributed again by a restarted process.
                test("never reverts to an older revision, whatever the order of restarts",
                    [] {
                        auto deployment = TestDeployment({.engines_ = 2, .bookings_ = 1});
                        auto random = std::mt19937_64(restartOrderSeed);
                        auto order = deployment.processes();
                        std::shuffle(order.begin(), order.end(), random);
                        auto base = activeRevision(deployment, "router-1");
                        auto number = 0;
                        for (const auto &name : order) {
                            deployment.kill(name);
                            const auto router = name == "router-1" ? "router-2" : "router-1";
                            base = activeRevision(deployment, router);
                            const auto reply = submit(deployment, router, fmt::format("restart-{}", ++number), base);
                            check(reply.outcome_ == "accepted", reply.outcome_);
                            base = reply.revision_;
                            deployment.restart(name);
                        }
                        deployment.awaitManifest(deployment.processes(), base);
                        for (const auto &router : deployment.system().routers()) {
                            check(activeRevision(deployment, router) == base);
                        }
                        deployment.checkHistory();
                    }),
            }),
    }};

} // namespace
