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

// Returns a router with the sample manifest active.
auto configuredRouter() -> std::unique_ptr<RouterUnderTest>
{
    auto router = std::make_unique<RouterUnderTest>();
    router->setManifest(sampleManifest());
    return router;
}

// Checks the status and all documented members of the error object.
auto checkRejected(const http::ClientResponse &response, int status, const std::string &step, const std::string &reason)
    -> void
{
    check(response.status_ == status, "status " + std::to_string(response.status_) + ": " + response.body_);
    const auto json = nlohmann::json::parse(response.body_, nullptr, false);
    check(json.is_object() && json.contains("error"), "no error object: " + response.body_);
    const auto &error = json["error"];
    for (const auto *member :
        {"message", "type", "code", "step", "peer", "run_state", "retry_after_ms", "request_id"}) {
        check(error.contains(member), std::string("no member ") + member);
    }
    check(error["step"] == step, "step " + error["step"].dump());
    check(error["run_state"] == "not_run", "run state " + error["run_state"].dump());
    check(error["message"].get<std::string>().find(reason) != std::string::npos, "message " + error["message"].dump());
    check(response.headers_.at("x-request-id") == error["request_id"], "the header has another request id");
}

// Sends the beginning of a request and half-closes the connection within the body.
auto sendIncompleteRequest(std::uint16_t port) -> void
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
    // The router closes its side when it has dropped the request.
    auto rest = std::array<char, 256>();
    while (recv(socket, rest.data(), rest.size(), 0) > 0) {}
    close(socket);
}

// Guards against errors that callers cannot handle because the status, run state or reason is missing or wrong.
const testkit::TestSuite rejectedRequests = {"a request that the router cannot serve",
    {
        section("because its body is invalid",
            {
                test("is rejected if it is not JSON",
                    [] {
                        checkRejected(configuredRouter()->call("POST", chatPath, "{\"model\":"), 400, "validate", "");
                    }),
                test("is rejected if it is JSON but not an object",
                    [] {
                        checkRejected(configuredRouter()->call("POST", chatPath, "[1, 2]"), 400, "validate", "");
                    }),
                test("is rejected if it has no messages",
                    [] {
                        checkRejected(configuredRouter()->call("POST", chatPath, R"({"model":"film-chat"})"), 400,
                            "validate", "messages");
                    }),
                test("is rejected with 413 if it is too large",
                    [] {
                        const auto response
                            = configuredRouter()->call("POST", chatPath, std::string(maximumBody + 1, 'x'));
                        check(response.status_ == 413, "status " + std::to_string(response.status_));
                        const auto json = nlohmann::json::parse(response.body_, nullptr, false);
                        check(json.is_object() && json["error"]["run_state"] == "not_run", response.body_);
                    }),
                test("is dropped if the caller disconnects within the body, and the next one is served",
                    [] {
                        const auto router = configuredRouter();
                        sendIncompleteRequest(router->callersPort());
                        check(router->call("GET", "/v1/models").status_ == 200);
                        const auto metrics = router->administer("GET", "/metrics").body_;
                        check(metrics.find("jasminewood_requests_total") == std::string::npos,
                            "an incomplete request was counted: " + metrics);
                    }),
            }),
        section("because of the account, the class or the model",
            {
                test("is rejected if the bearer key is unknown",
                    [] {
                        checkRejected(configuredRouter()->call("POST", chatPath, chatBody("film-chat"),
                                          {{.name_ = "Authorization", .value_ = "Bearer other"}}),
                            401, "authenticate", "unknown");
                    }),
                test("is rejected if there is no bearer key",
                    [] {
                        checkRejected(configuredRouter()->call("GET", "/v1/models", "",
                                          {{.name_ = "Authorization", .value_ = "Basic b3RoZXI="}}),
                            401, "authenticate", "unknown");
                    }),
                test("is rejected if the account may not use the class",
                    [] {
                        checkRejected(configuredRouter()->call("POST", chatPath, chatBody("film-chat"),
                                          {{.name_ = "X-Request-Class", .value_ = "batch"}}),
                            400, "classify", "batch");
                    }),
                test("is rejected if the manifest has no such class",
                    [] {
                        checkRejected(configuredRouter()->call("POST", chatPath, chatBody("film-chat"),
                                          {{.name_ = "X-Request-Class", .value_ = "ghost"}}),
                            400, "classify", "ghost");
                    }),
                test("is rejected if the model is unknown",
                    [] {
                        checkRejected(
                            configuredRouter()->call("POST", chatPath, chatBody("ghost")), 404, "classify", "ghost");
                    }),
            }),
        section("because of its path, method or headers, or the router's state",
            {
                test("is rejected if it is non-idempotent and has no Idempotency-Key",
                    [] {
                        checkRejected(
                            configuredRouter()->call("POST", bookingsPath, "{}"), 400, "classify", "Idempotency-Key");
                    }),
                test("is rejected if no service has the path",
                    [] {
                        checkRejected(configuredRouter()->call("GET", "/services/ghost"), 404, "classify", "path");
                    }),
                test("is rejected with the allowed method if the method is not allowed",
                    [] {
                        const auto router = configuredRouter();
                        const auto chat = router->call("GET", chatPath);
                        checkRejected(chat, 405, "classify", "POST");
                        check(chat.headers_.at("allow") == "POST");
                        checkRejected(router->call("POST", "/v1/models", "{}"), 405, "classify", "GET");
                    }),
                test("is rejected with a retry time while there is no manifest",
                    [] {
                        const auto router = RouterUnderTest();
                        const auto response = router.call("POST", chatPath, chatBody("film-chat"));
                        checkRejected(response, 503, "configure", "manifest");
                        check(response.headers_.count("retry-after") == 1, "no Retry-After");
                    }),
                test("is rejected with a retry time while no upstream is connected",
                    [] {
                        const auto response = configuredRouter()->call("POST", chatPath, chatBody("film-chat"));
                        checkRejected(response, 503, "choose", "");
                        check(response.headers_.count("retry-after") == 1, "no Retry-After");
                    }),
                test("is rejected with a retry time if it is a booking and the key-value service is unreachable",
                    [] {
                        const auto response = configuredRouter()->call(
                            "POST", bookingsPath, "{}", {{.name_ = "Idempotency-Key", .value_ = "k"}});
                        check(response.status_ == 503, response.body_);
                        check(response.headers_.count("retry-after") == 1, "no Retry-After");
                    }),
            }),
    }};

// A router with one agent and one engine.
struct EngineCluster
{
    EngineCluster()
        : engine_(testbench::FakeEngine::start({}))
        , vms_(testbench::FakeVmList::start({}))
        , agent_(agent::EngineUpstream {.baseUrl_ = localUrl((*engine_)->port())})
        , router_(PlatformUrls {.vmList_ = localUrl((*vms_)->port())})
    {
        const auto vmListPut = http::fetch(http::ClientRequest {
            .method_ = "PUT", .url_ = localUrl((*vms_)->port()) + "/v1/targets", .body_ = agent_.vmList()});
        check(bool(vmListPut), "the VM list was not accepted");
        router_.setManifest(sampleManifest());
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

// Returns a body that the router accepts and the engine rejects: the text of a content part is a number.
auto bodyRejectedByEngine(bool stream) -> std::string
{
    const auto part = nlohmann::json {{"type", "text"}, {"text", 5}};
    const auto message = nlohmann::json {{"role", "user"}, {"content", nlohmann::json::array({part})}};
    return nlohmann::json {{"model", "film-chat"}, {"stream", stream}, {"messages", nlohmann::json::array({message})}}
        .dump();
}

// Guards against an error of the engine that is returned to callers as model output.
const testkit::TestSuite rejectedByEngine = {"a request that the engine rejects",
    {
        test("returns the engine's status and body",
            [] {
                const auto cluster = EngineCluster();
                const auto response = cluster.router_.call("POST", chatPath, bodyRejectedByEngine(false));
                check(response.status_ == 400, std::to_string(response.status_) + " " + response.body_);
                check(response.body_.find("choices") == std::string::npos, response.body_);
            }),
        test("returns an error event and no [DONE] if it is streaming",
            [] {
                const auto cluster = EngineCluster();
                const auto response = cluster.router_.call("POST", chatPath, bodyRejectedByEngine(true));
                check(response.body_.find("event: error") != std::string::npos, response.body_);
                check(response.body_.find("[DONE]") == std::string::npos, response.body_);
            }),
    }};

// Guards against invalid calls of the administration API that succeed or get a misleading error.
const testkit::TestSuite rejectedAdminCalls = {"an invalid call of the administration API",
    {
        test("is rejected without the operators' key",
            [] {
                const auto router = RouterUnderTest();
                for (const auto *key : {"", "other", callersKey}) {
                    check(router.administer("GET", "/admin/upstreams", "", key).status_ == 401, key);
                }
                check(router.administer("GET", "/admin/upstreams").status_ == 200);
            }),
        test("is rejected if the path is unknown or the method is not allowed",
            [] {
                const auto router = RouterUnderTest();
                check(router.administer("GET", "/admin/ghost").status_ == 404);
                const auto response = router.administer("DELETE", "/admin/manifest");
                check(response.status_ == 405, response.body_);
                check(response.headers_.at("allow") == "GET, PUT");
                check(router.administer("GET", "/admin/upstreams/a/drain").status_ == 405);
            }),
        test("is rejected if a numeric parameter is not a number",
            [] {
                const auto router = RouterUnderTest();
                const auto response
                    = router.administer("PUT", "/admin/manifest?submission=s&base=12x", sampleManifest());
                check(response.status_ == 400 && response.body_.find("base") != std::string::npos, response.body_);
                check(router.administer("GET", "/admin/timeline?from_ms=x&to_ms=2").status_ == 400);
            }),
        test("is rejected if it selects neither a request nor a time span of the timeline",
            [] {
                const auto router = RouterUnderTest();
                check(router.administer("GET", "/admin/timeline").status_ == 400);
                check(router.administer("GET", "/admin/timeline?from_ms=5&to_ms=5").status_ == 400);
                check(router.administer("GET", "/admin/timeline?request=r").status_ == 200);
            }),
        test("is rejected with every configuration error and its line if the manifest is invalid",
            [] {
                const auto router = RouterUnderTest();
                const auto invalidManifest
                    = std::string("[pool engines]\nkind = motor\nconcurrency = 0\n\n"
                                  "[class chat]\ntier = 9\nmaximum_wait_ms = 5000\npool = ghost\n\n"
                                  "[oven a]\n");
                const auto response = router.administer("PUT", "/admin/manifest?submission=s&base=0", invalidManifest);
                check(response.status_ == 422, response.body_);
                auto lines = std::vector<int>();
                const auto json = nlohmann::json::parse(response.body_);
                for (const auto &configError : json["faults"]) {
                    lines.push_back(configError["line"].get<int>());
                    check(!configError["expected"].get<std::string>().empty()
                            && !configError["found"].get<std::string>().empty(),
                        configError.dump());
                }
                check(lines == std::vector<int>({2, 3, 6, 8, 10}), response.body_);
                check(router.administer("GET", "/admin/manifest").status_ == 404, "the manifest was accepted");
            }),
    }};

} // namespace

} // namespace jasminewood::router
