#include <algorithm>
#include <barrier>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/http/client.h"
#include "jasminewood/testkit/test_suite.h"
#include "manifest_text.h"
#include "scene.h"

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

auto operatorCall(Scene &scene, const std::string &router, const std::string &method, const std::string &path,
    const std::string &body = "") -> Result<http::ClientResponse>
{
    return http::fetch({.method_ = method,
        .url_ = scene.system().adminUrl(router) + path,
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + scene.system().adminKey()}},
        .body_ = body});
}

// Submits a manifest that is based on a revision, and records its acceptance.
auto submit(Scene &scene, const std::string &router, const std::string &submission, std::uint64_t base) -> OperatorReply
{
    auto reply = parseReply(operatorCall(scene, router, "PUT",
        fmt::format("/admin/manifest?submission={}&base={}", submission, base), manifestText(submission)));
    if (reply.outcome_ == "accepted") {
        scene.record(ManifestAccepted {reply.revision_});
    }
    return reply;
}

// Returns the revision of the active manifest of a router.
auto activeRevision(Scene &scene, const std::string &router) -> std::uint64_t
{
    const auto response = operatorCall(scene, router, "GET", "/admin/manifest");
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
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1});
                        auto base = activeRevision(scene, "router-1");
                        for (auto round = 0; round < rounds; ++round) {
                            auto reply = std::array<std::unique_ptr<OperatorReply>, 2>();
                            auto together = std::barrier(2);
                            auto operators = Callers(2, [&](std::size_t number) {
                                together.arrive_and_wait();
                                reply.at(number) = std::make_unique<OperatorReply>(submit(scene,
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
                        scene.awaitManifest(scene.processes(), base);
                        scene.checkHistory();
                    }),
            }),
        section("whose acceptance response is lost",
            {
                // Guards against a wrong outcome in the response to an operator, and against a change that is submitted
                // twice.
                test("is resolved to the actual outcome",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1});
                        auto base = activeRevision(scene, "router-1");
                        for (auto losses = 1; losses <= 4; ++losses) {
                            scene.fault("kv", fmt::format(R"({{"lose_answers": {}}})", losses));
                            const auto id = fmt::format("lost-{}", losses);
                            const auto reply = submit(scene, "router-2", id, base);
                            const auto status
                                = parseReply(operatorCall(scene, "router-3", "GET", "/admin/submissions/" + id));
                            check(reply.outcome_ == "accepted" || reply.outcome_ == "unknown"
                                    || reply.outcome_ == "conflict",
                                reply.outcome_);
                            if (reply.outcome_ == "accepted") {
                                check(status.outcome_ == "accepted" && status.revision_ == reply.revision_,
                                    status.outcome_);
                            }
                            check(reply.outcome_ != "conflict", "nobody else submitted");
                            base = status.outcome_ == "accepted" ? status.revision_ : base;
                            scene.fault("kv", R"({"lose_answers": 0})");
                        }
                        check(parseReply(operatorCall(scene, "router-3", "GET", "/admin/submissions/lost-1")).outcome_
                                == "accepted",
                            "one lost response was not resolved");
                        scene.awaitManifest(scene.processes(), base);
                        scene.checkHistory();
                    }),
            }),
        section("accepted immediately before an outage of the key-value service",
            {
                // Guards against processes that receive a manifest only from the key-value service.
                test("is active on all routers and agents within 5 s",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 2});
                        scene.awaitPeers();
                        for (auto round = 0; round < 5; ++round) {
                            const auto reply = submit(scene, fmt::format("router-{}", round % 3 + 1),
                                fmt::format("before-outage-{}", round), activeRevision(scene, "router-1"));
                            scene.system().suspend("kv");
                            check(reply.outcome_ == "accepted", reply.outcome_);
                            scene.awaitManifest(scene.processes(), reply.revision_);
                            scene.system().resume("kv");
                        }
                        scene.checkHistory();
                    }),
                // Guards against a router that needs the key-value service to start.
                test("reaches a router that starts during the outage from its peers",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1});
                        scene.kill("router-3");
                        const auto reply = submit(scene, "router-1", "before-start", activeRevision(scene, "router-1"));
                        check(reply.outcome_ == "accepted", reply.outcome_);
                        scene.system().kill("kv");
                        scene.restart("router-3");
                        scene.awaitManifest({"router-3"}, reply.revision_);
                        const auto ready = scene.system().waitReady(testTimeout);
                        check(!ready, ready ? toString(*ready) : "");
                        check(scene.chat({.router_ = "router-3", .message_ = "hello [tokens=5]"}).completed_);
                        scene.checkHistory();
                    }),
            }),
        section("while processes restart",
            {
                // Guards against an old manifest that is distributed again by a restarted process.
                test("never reverts to an older revision, whatever the order of restarts",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 1});
                        auto random = std::mt19937_64(restartOrderSeed);
                        auto order = scene.processes();
                        std::shuffle(order.begin(), order.end(), random);
                        auto base = activeRevision(scene, "router-1");
                        auto number = 0;
                        for (const auto &name : order) {
                            scene.kill(name);
                            const auto router = name == "router-1" ? "router-2" : "router-1";
                            base = activeRevision(scene, router);
                            const auto reply = submit(scene, router, fmt::format("restart-{}", ++number), base);
                            check(reply.outcome_ == "accepted", reply.outcome_);
                            base = reply.revision_;
                            scene.restart(name);
                        }
                        scene.awaitManifest(scene.processes(), base);
                        for (const auto &router : scene.system().routers()) {
                            check(activeRevision(scene, router) == base);
                        }
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
