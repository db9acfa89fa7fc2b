#include <nlohmann/json.hpp>

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/testbench/fake_engine.h"
#include "jasminewood/testbench/fake_vm_list.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_under_test.h"

namespace jasminewood::router
{

namespace
{

using testkit::check;
using testkit::section;
using testkit::test;

constexpr auto chatPath = "/v1/chat/completions";
constexpr auto bookingsPath = "/services/booking/bookings";
constexpr std::size_t maximumBody = std::size_t(4) << 20U;

auto chatBody(const std::string &model) -> std::string
{
    return nlohmann::json {{"model", model}, {"messages", {{{"role", "user"}, {"content", "hello"}}}}}.dump();
}

// A router with the sample manifest in force.
auto configuredRouter() -> std::unique_ptr<RouterUnderTest>
{
    auto router = std::make_unique<RouterUnderTest>();
    router->offer(sampleManifest());
    return router;
}

// Checks the status and every member of the error object that the callers' page promises.
auto checkRefused(const http::ClientResponse &answer, int status, const std::string &step, const std::string &reason)
    -> void
{
    check(answer.status_ == status, "status " + std::to_string(answer.status_) + ": " + answer.body_);
    const auto json = nlohmann::json::parse(answer.body_, nullptr, false);
    check(json.is_object() && json.contains("error"), "no error object: " + answer.body_);
    const auto &error = json["error"];
    for (const auto *member :
        {"message", "type", "code", "step", "peer", "run_state", "retry_after_ms", "request_id"}) {
        check(error.contains(member), std::string("no member ") + member);
    }
    check(error["step"] == step, "step " + error["step"].dump());
    check(error["run_state"] == "not_run", "run state " + error["run_state"].dump());
    check(error["message"].get<std::string>().find(reason) != std::string::npos, "message " + error["message"].dump());
    check(answer.headers_.at("x-request-id") == error["request_id"], "the header has another request id");
}

// Sends the beginning of a request and closes the connection in the middle of the body.
auto sendHalf(std::uint16_t port) -> void
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    check(connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0, "no connection");
    const auto text = std::string("POST ") + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callersKey
        + "\r\nContent-Length: 1000\r\n\r\n{\"model\":";
    check(send(socket, text.data(), text.size(), MSG_NOSIGNAL) == ssize_t(text.size()), "not sent");
    shutdown(socket, SHUT_WR);
    // The end of the router's side shows that it has given the request up.
    auto rest = std::array<char, 256>();
    while (recv(socket, rest.data(), rest.size(), 0) > 0) {}
    close(socket);
}

// Guards against errors that callers cannot act on: a status, run state or reason that is missing or wrong.
const testkit::TestSuite refusedRequests = {"a request that the router cannot serve",
    {
        section("because its body is wrong",
            {
                test("is refused if it is not JSON",
                    [] {
                        checkRefused(configuredRouter()->call("POST", chatPath, "{\"model\":"), 400, "validate", "");
                    }),
                test("is refused if it is JSON of another form",
                    [] {
                        checkRefused(configuredRouter()->call("POST", chatPath, "[1, 2]"), 400, "validate", "");
                    }),
                test("is refused if it has no messages",
                    [] {
                        checkRefused(configuredRouter()->call("POST", chatPath, R"({"model":"film-chat"})"), 400,
                            "validate", "messages");
                    }),
                test("is refused with 413 if it is too large",
                    [] {
                        const auto answer
                            = configuredRouter()->call("POST", chatPath, std::string(maximumBody + 1, 'x'));
                        check(answer.status_ == 413, "status " + std::to_string(answer.status_));
                        const auto json = nlohmann::json::parse(answer.body_, nullptr, false);
                        check(json.is_object() && json["error"]["run_state"] == "not_run", answer.body_);
                    }),
                test("is dropped if the body stops half way, and the next one is served",
                    [] {
                        const auto router = configuredRouter();
                        sendHalf(router->callersPort());
                        check(router->call("GET", "/v1/models").status_ == 200);
                        const auto metrics = router->administer("GET", "/metrics").body_;
                        check(metrics.find("jasminewood_requests_total") == std::string::npos,
                            "half a request was counted: " + metrics);
                    }),
            }),
        section("because of the account, the class or the model",
            {
                test("is refused if the bearer key is unknown",
                    [] {
                        checkRefused(configuredRouter()->call("POST", chatPath, chatBody("film-chat"),
                                         {{.name_ = "Authorization", .value_ = "Bearer other"}}),
                            401, "authenticate", "unknown");
                    }),
                test("is refused if there is no bearer key",
                    [] {
                        checkRefused(configuredRouter()->call("GET", "/v1/models", "",
                                         {{.name_ = "Authorization", .value_ = "Basic b3RoZXI="}}),
                            401, "authenticate", "unknown");
                    }),
                test("is refused if the account may not use the class",
                    [] {
                        checkRefused(configuredRouter()->call("POST", chatPath, chatBody("film-chat"),
                                         {{.name_ = "X-Request-Class", .value_ = "batch"}}),
                            400, "classify", "batch");
                    }),
                test("is refused if the manifest has no such class",
                    [] {
                        checkRefused(configuredRouter()->call("POST", chatPath, chatBody("film-chat"),
                                         {{.name_ = "X-Request-Class", .value_ = "ghost"}}),
                            400, "classify", "ghost");
                    }),
                test("is refused if the model is unknown",
                    [] {
                        checkRefused(
                            configuredRouter()->call("POST", chatPath, chatBody("ghost")), 404, "classify", "ghost");
                    }),
            }),
        section("because of the call",
            {
                test("is refused if it is non-idempotent and has no Idempotency-Key",
                    [] {
                        checkRefused(
                            configuredRouter()->call("POST", bookingsPath, "{}"), 400, "classify", "Idempotency-Key");
                    }),
                test("is refused if no service has the path",
                    [] {
                        checkRefused(configuredRouter()->call("GET", "/services/ghost"), 404, "classify", "path");
                    }),
                test("is refused with the allowed method if the method is wrong",
                    [] {
                        const auto router = configuredRouter();
                        const auto chat = router->call("GET", chatPath);
                        checkRefused(chat, 405, "classify", "POST");
                        check(chat.headers_.at("allow") == "POST");
                        checkRefused(router->call("POST", "/v1/models", "{}"), 405, "classify", "GET");
                    }),
                test("is refused with a retry time while there is no manifest",
                    [] {
                        const auto router = RouterUnderTest();
                        const auto answer = router.call("POST", chatPath, chatBody("film-chat"));
                        checkRefused(answer, 503, "configure", "manifest");
                        check(answer.headers_.count("retry-after") == 1, "no Retry-After");
                    }),
                test("is refused with a retry time while no upstream is connected",
                    [] {
                        const auto answer = configuredRouter()->call("POST", chatPath, chatBody("film-chat"));
                        checkRefused(answer, 503, "choose", "");
                        check(answer.headers_.count("retry-after") == 1, "no Retry-After");
                    }),
                test("is refused as a booking while the key-value service is out",
                    [] {
                        const auto answer = configuredRouter()->call(
                            "POST", bookingsPath, "{}", {{.name_ = "Idempotency-Key", .value_ = "k"}});
                        check(answer.status_ == 503, answer.body_);
                        check(answer.headers_.count("retry-after") == 1, "no Retry-After");
                    }),
            }),
    }};

// A router with one agent and one engine.
struct Fleet
{
    Fleet()
        : engine_(testbench::FakeEngine::start({}))
        , vms_(testbench::FakeVmList::start({}))
        , agent_(agent::EngineUpstream {.baseUrl_ = localUrl((*engine_)->port())})
        , router_(PlatformUrls {.vmList_ = localUrl((*vms_)->port())})
    {
        const auto listed = http::fetch(http::ClientRequest {
            .method_ = "PUT", .url_ = localUrl((*vms_)->port()) + "/v1/targets", .body_ = agent_.vmList()});
        check(bool(listed), "the VM list was not taken");
        router_.offer(sampleManifest());
        router_.awaitReadiness(200, "ready");
    }

    static auto localUrl(std::uint16_t port) -> std::string
    {
        return "http://127.0.0.1:" + std::to_string(port);
    }

    const Result<std::shared_ptr<testbench::FakeEngine>> engine_;
    const Result<std::shared_ptr<testbench::FakeVmList>> vms_;
    AgentUnderTest agent_;
    RouterUnderTest router_;
};

// A body that the router takes and the engine does not: the text of a part is a number.
auto refusedBody(bool stream) -> std::string
{
    const auto part = nlohmann::json {{"type", "text"}, {"text", 5}};
    const auto message = nlohmann::json {{"role", "user"}, {"content", nlohmann::json::array({part})}};
    return nlohmann::json {{"model", "film-chat"}, {"stream", stream}, {"messages", nlohmann::json::array({message})}}
        .dump();
}

// Guards against an error text of the engine that callers take for the model's answer.
const testkit::TestSuite refusedByEngine = {"a request that the engine refuses",
    {
        test("gets the engine's status and body",
            [] {
                const auto fleet = Fleet();
                const auto answer = fleet.router_.call("POST", chatPath, refusedBody(false));
                check(answer.status_ == 400, std::to_string(answer.status_) + " " + answer.body_);
                check(answer.body_.find("choices") == std::string::npos, answer.body_);
            }),
        test("gets an error event and no end mark in a stream",
            [] {
                const auto fleet = Fleet();
                const auto answer = fleet.router_.call("POST", chatPath, refusedBody(true));
                check(answer.body_.find("event: error") != std::string::npos, answer.body_);
                check(answer.body_.find("[DONE]") == std::string::npos, answer.body_);
            }),
    }};

// Guards against operators' mistakes that are taken for something else.
const testkit::TestSuite refusedCalls = {"an operator's call",
    {
        test("is refused without the operators' key",
            [] {
                const auto router = RouterUnderTest();
                for (const auto *key : {"", "other", callersKey}) {
                    check(router.administer("GET", "/admin/upstreams", "", key).status_ == 401, key);
                }
                check(router.administer("GET", "/admin/upstreams").status_ == 200);
            }),
        test("is refused if the path is unknown or the method is wrong",
            [] {
                const auto router = RouterUnderTest();
                check(router.administer("GET", "/admin/ghost").status_ == 404);
                const auto answer = router.administer("DELETE", "/admin/manifest");
                check(answer.status_ == 405, answer.body_);
                check(answer.headers_.at("allow") == "GET, PUT");
                check(router.administer("GET", "/admin/upstreams/a/drain").status_ == 405);
            }),
        test("is refused if a number is none",
            [] {
                const auto router = RouterUnderTest();
                const auto answer = router.administer("PUT", "/admin/manifest?submission=s&base=12x", sampleManifest());
                check(answer.status_ == 400 && answer.body_.find("base") != std::string::npos, answer.body_);
                check(router.administer("GET", "/admin/timeline?from_ms=x&to_ms=2").status_ == 400);
            }),
        test("is refused if it selects no part of the time line",
            [] {
                const auto router = RouterUnderTest();
                check(router.administer("GET", "/admin/timeline").status_ == 400);
                check(router.administer("GET", "/admin/timeline?from_ms=5&to_ms=5").status_ == 400);
                check(router.administer("GET", "/admin/timeline?request=r").status_ == 200);
            }),
        test("is refused with every fault and its line if the manifest has faults",
            [] {
                const auto router = RouterUnderTest();
                const auto faulty = std::string("[pool engines]\nkind = motor\nconcurrency = 0\n\n"
                                                "[class chat]\ntier = 9\nmaximum_wait_ms = 5000\npool = ghost\n\n"
                                                "[oven a]\n");
                const auto answer = router.administer("PUT", "/admin/manifest?submission=s&base=0", faulty);
                check(answer.status_ == 422, answer.body_);
                auto lines = std::vector<int>();
                const auto json = nlohmann::json::parse(answer.body_);
                for (const auto &fault : json["faults"]) {
                    lines.push_back(fault["line"].get<int>());
                    check(!fault["expected"].get<std::string>().empty() && !fault["found"].get<std::string>().empty(),
                        fault.dump());
                }
                check(lines == std::vector<int>({2, 3, 6, 8, 10}), answer.body_);
                check(router.administer("GET", "/admin/manifest").status_ == 404, "the manifest was taken");
            }),
    }};

} // namespace

} // namespace jasminewood::router
