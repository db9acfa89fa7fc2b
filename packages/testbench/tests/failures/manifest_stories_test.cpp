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

// What an operator was told.
struct Told
{
    const int status_ = 0;
    const std::string outcome_;
    const std::uint64_t revision_ = 0;
    const std::string winner_;

    auto operator<=>(const Told &) const = default;
};

auto toldBy(const Result<http::ClientResponse> &answer) -> Told
{
    if (!answer) {
        return Told {.outcome_ = toString(answer.failure())};
    }
    const auto body = json::parse(answer->body_, nullptr, false);
    if (!body.is_object()) {
        return Told {.status_ = answer->status_, .outcome_ = answer->body_};
    }
    return Told {.status_ = answer->status_,
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
auto submit(Scene &scene, const std::string &router, const std::string &submission, std::uint64_t base) -> Told
{
    auto told = toldBy(operatorCall(scene, router, "PUT",
        fmt::format("/admin/manifest?submission={}&base={}", submission, base), manifestText(submission)));
    if (told.outcome_ == "accepted") {
        scene.record(ManifestAccepted {told.revision_});
    }
    return told;
}

// The revision in force in a router.
auto revisionAt(Scene &scene, const std::string &router) -> std::uint64_t
{
    const auto answer = operatorCall(scene, router, "GET", "/admin/manifest");
    check(answer && answer->status_ == 200, "a router shows its manifest");
    return json::parse(answer->body_).value("revision", std::uint64_t(0));
}

const testkit::TestSuite story = {"a manifest",
    {
        section("submitted by two operators at the same moment",
            {
                // Guards against two accepted submissions of which one is lost, and against a loser who is not told.
                test("is accepted from exactly one, and the other is told the winner",
                    [] {
                        constexpr auto rounds = 30;
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1});
                        auto base = revisionAt(scene, "router-1");
                        for (auto round = 0; round < rounds; ++round) {
                            auto told = std::array<std::unique_ptr<Told>, 2>();
                            auto together = std::barrier(2);
                            auto operators = Callers(2, [&](std::size_t number) {
                                together.arrive_and_wait();
                                told.at(number) = std::make_unique<Told>(submit(scene,
                                    fmt::format("router-{}", number + 1), fmt::format("s-{}-{}", round, number), base));
                            });
                            operators.join();
                            const auto winner = std::size_t(told[0]->outcome_ == "accepted" ? 0 : 1);
                            const auto &won = *told.at(winner);
                            const auto &lost = *told.at(1 - winner);
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
        section("whose acceptance is lost on the way back",
            {
                // Guards against an operator who is told a wrong outcome, or who submits the same change twice.
                test("is resolved to what really happened",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1});
                        auto base = revisionAt(scene, "router-1");
                        for (auto losses = 1; losses <= 4; ++losses) {
                            scene.fault("kv", fmt::format(R"({{"lose_answers": {}}})", losses));
                            const auto id = fmt::format("lost-{}", losses);
                            const auto told = submit(scene, "router-2", id, base);
                            const auto status
                                = toldBy(operatorCall(scene, "router-3", "GET", "/admin/submissions/" + id));
                            check(told.outcome_ == "accepted" || told.outcome_ == "unknown"
                                    || told.outcome_ == "conflict",
                                told.outcome_);
                            if (told.outcome_ == "accepted") {
                                check(status.outcome_ == "accepted" && status.revision_ == told.revision_,
                                    status.outcome_);
                            }
                            check(told.outcome_ != "conflict", "nobody else submitted");
                            base = status.outcome_ == "accepted" ? status.revision_ : base;
                            scene.fault("kv", R"({"lose_answers": 0})");
                        }
                        check(toldBy(operatorCall(scene, "router-3", "GET", "/admin/submissions/lost-1")).outcome_
                                == "accepted",
                            "one lost answer was not resolved");
                        scene.awaitManifest(scene.processes(), base);
                        scene.checkHistory();
                    }),
            }),
        section("accepted right before the key-value service goes down",
            {
                // Guards against processes that only learn of a manifest from the key-value service.
                test("is in force on all routers and agents within 5 s",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 2});
                        scene.awaitPeers();
                        for (auto round = 0; round < 5; ++round) {
                            const auto told = submit(scene, fmt::format("router-{}", round % 3 + 1),
                                fmt::format("before-outage-{}", round), revisionAt(scene, "router-1"));
                            scene.system().suspend("kv");
                            check(told.outcome_ == "accepted", told.outcome_);
                            scene.awaitManifest(scene.processes(), told.revision_);
                            scene.system().resume("kv");
                        }
                        scene.checkHistory();
                    }),
                // Guards against a router that needs the key-value service to start.
                test("reaches a router that starts during the outage from its peers",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1});
                        scene.kill("router-3");
                        const auto told = submit(scene, "router-1", "before-start", revisionAt(scene, "router-1"));
                        check(told.outcome_ == "accepted", told.outcome_);
                        scene.system().kill("kv");
                        scene.restart("router-3");
                        scene.awaitManifest({"router-3"}, told.revision_);
                        const auto ready = scene.system().waitReady(storyDeadline);
                        check(!ready, ready ? toString(*ready) : "");
                        check(scene.chat({.router_ = "router-3", .message_ = "hello [tokens=5]"}).answered_);
                        scene.checkHistory();
                    }),
            }),
        section("while processes restart",
            {
                // Guards against an old manifest that comes back from a process that was away.
                test("never goes back, in whatever order they restart",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 1});
                        auto random = std::mt19937_64(restartOrderSeed);
                        auto order = scene.processes();
                        std::shuffle(order.begin(), order.end(), random);
                        auto base = revisionAt(scene, "router-1");
                        auto number = 0;
                        for (const auto &name : order) {
                            scene.kill(name);
                            const auto router = name == "router-1" ? "router-2" : "router-1";
                            base = revisionAt(scene, router);
                            const auto told = submit(scene, router, fmt::format("restart-{}", ++number), base);
                            check(told.outcome_ == "accepted", told.outcome_);
                            base = told.revision_;
                            scene.restart(name);
                        }
                        scene.awaitManifest(scene.processes(), base);
                        for (const auto &router : scene.system().routers()) {
                            check(revisionAt(scene, router) == base);
                        }
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
