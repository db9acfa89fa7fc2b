#include "front_under_test.h"

#include <thread>

#include <fmt/format.h>

#include "jasminewood/testkit/test_suite.h"

namespace jasminewood::forward
{

namespace
{

constexpr auto patience = std::chrono::seconds(30);
constexpr auto askInterval = Milliseconds(5);
constexpr std::uint64_t seed = 7;

auto field(const std::vector<http::HeaderField> &fields, const char *name) -> std::string
{
    return http::findHeader(fields, name).value_or("");
}

auto words(const std::string &text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    for (auto start = std::size_t(0); start <= text.size();) {
        const auto end = std::min(text.find(' ', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

auto readUpstream(const std::string &key, const std::string &value) -> Result<membership::UpstreamRecord>
{
    const auto parts = words(value);
    if (parts.size() != 2) {
        return Failure {.step_ = "decode", .peer_ = key, .reason_ = "not two words"};
    }
    return membership::UpstreamRecord {.id_ = key.substr(std::string(upstreamPrefix).size()),
        .service_ = "pool",
        .address_ = parts[0],
        .slots_ = 4,
        .leaving_ = parts[1] == "leaving"};
}

auto readDemand(const http::Request &request) -> RequestMetadata
{
    const auto stated = field(request.fields_, "Patience-Ms");
    return {.requestId_ = field(request.fields_, "Request-Id"),
        .host_ = field(request.fields_, "Host"),
        .apiKey_ = field(request.fields_, "Key"),
        .remainingTime_ = stated.empty() ? std::nullopt : std::optional(Milliseconds(std::stoll(stated)))};
}

auto writeOrder(const std::vector<http::HeaderField> &fields, const UpstreamRequestMetadata &order)
    -> std::vector<http::HeaderField>
{
    auto written = fields;
    written.push_back({.name_ = "Upstream", .value_ = order.upstreamId_});
    written.push_back({.name_ = "Remaining-Ms", .value_ = std::to_string(order.remainingTime_.count())});
    written.push_back({.name_ = "Resume-After", .value_ = order.lastEventId_});
    return written;
}

auto readFacts(const http::ResponseHead &head) -> ResponseMetadata
{
    return {.requestId_ = field(head.fields_, "Request-Id"),
        .authentic_ = !field(head.fields_, "Genuine").empty(),
        .notRun_ = !field(head.fields_, "Not-Run").empty(),
        .isEventStream_ = field(head.fields_, "Content-Type") == "text/event-stream"};
}

auto routeOf(const std::string &name, routes::RetrySafety repetition, std::uint32_t attempts) -> routes::Route
{
    return {.name_ = name,
        .host_ = "shop",
        .pathPrefix_ = "/" + name + "/",
        .retrySafety_ = repetition,
        .timeout_ = Milliseconds(20'000),
        .weightedServices_ = {{.service_ = "pool"}},
        .maximumAttempts_ = attempts,
        .resumable_ = name == "resumable"};
}

} // namespace

auto testDialect(const routes::Configuration &sample) -> ProtocolAdapter
{
    return {.configurationKey_ = configurationKey,
        .upstreamPrefix_ = upstreamPrefix,
        .readinessPath_ = "/ready",
        .parseConfiguration_ = [sample](const std::string &value) -> Result<routes::Configuration> {
            return routes::Configuration {.version_ = std::stoll(value),
                .routes_ = sample.routes_,
                .services_ = sample.services_,
                .accounts_ = sample.accounts_};
        },
        .parseUpstream_ = &readUpstream,
        .parseRequestMetadata_ = &readDemand,
        .makeUpstreamHeaders_ = &writeOrder,
        .parseResponseMetadata_ = &readFacts};
}

auto sampleConfiguration() -> routes::Configuration
{
    return {.version_ = 1,
        .routes_
        = {routeOf("once", routes::RetrySafety::AtMostOnce, 1), routeOf("again", routes::RetrySafety::Idempotent, 2),
            routeOf("stream", routes::RetrySafety::Stream, 1), routeOf("resumable", routes::RetrySafety::Stream, 2)},
        .services_ = {{.name_ = "pool"}},
        .accounts_ = {{.name_ = "installer", .keys_ = {sampleKey}}}};
}

FrontUnderTest::FrontUnderTest(const routes::Configuration &sample, std::optional<Milliseconds> trust)
    : environment_(std::make_shared<node::Environment>(
        node::createIdentity("front", wire::Role::Router, "local", ""), observe::Level::Error))
    , store_(*testbench::FakeKv::start({}))
    , client_(std::make_shared<platform::KeyValueClient>(
          platform::KeyValueOptions {.url_ = fmt::format("http://127.0.0.1:{}", store_->port())}))
    , configuration_(std::make_shared<ConfigurationWatcher>(client_, testDialect(sample), trust, seed))
    , upstreams_(std::make_shared<UpstreamWatcher>(client_, testDialect(sample), "local", seed))
    , front_(std::make_shared<Frontend>(FrontendOptions {}, testDialect(sample)))
{
    registry_.add("environment", environment_);
    registry_.add("configuration", configuration_);
    registry_.add("upstreams", upstreams_);
    registry_.add("front", front_);
    const auto failure = registry_.startAll();
    testkit::check(!failure, failure ? toString(*failure) : "");
    if (sample.version_ > 0) {
        publish(sample.version_);
    }
}

FrontUnderTest::~FrontUnderTest()
{
    registry_.stopAll();
}

auto FrontUnderTest::publish(std::int64_t version) -> void
{
    testkit::check(bool(client_->put(configurationKey, std::to_string(version))), "the configuration is written");
    await(
        [this, version] {
            const auto table = configuration_->current();
            return table && table->configuration().version_ >= version;
        },
        "the configuration arrives");
}

auto FrontUnderTest::addUpstream(const std::string &id, http::Handler handler) -> void
{
    servers_.push_back(*http::Server::start({}, std::move(handler)));
    registerUpstream(id, fmt::format("127.0.0.1:{}", servers_.back()->port()), "ready");
}

auto FrontUnderTest::registerUpstream(const std::string &id, const std::string &address, const std::string &state)
    -> void
{
    const auto written = client_->put(upstreamPrefix + id, address + " " + state);
    testkit::check(bool(written), "the upstream is registered");
    await(
        [this, &id, &state] {
            return upstreams_->pool().contains(id) == (state == "ready");
        },
        "the front knows the upstream");
}

auto FrontUnderTest::url(const std::string &path) const -> std::string
{
    return fmt::format("http://127.0.0.1:{}{}", port(), path);
}

auto FrontUnderTest::port() const -> std::uint16_t
{
    return front_->port();
}

auto FrontUnderTest::fields(const std::string &id) -> std::vector<http::HeaderField>
{
    return {{.name_ = "Host", .value_ = "shop"}, {.name_ = "Request-Id", .value_ = id},
        {.name_ = "Key", .value_ = sampleKey}};
}

auto FrontUnderTest::front() -> Frontend &
{
    return *front_;
}

auto FrontUnderTest::configuration() -> ConfigurationWatcher &
{
    return *configuration_;
}

auto FrontUnderTest::upstreams() -> UpstreamWatcher &
{
    return *upstreams_;
}

auto FrontUnderTest::store() -> testbench::FakeKv &
{
    return *store_;
}

auto FrontUnderTest::metrics() const -> std::string
{
    return environment_->metrics().text();
}

auto genuine(const http::Request &request, int status, const std::string &body) -> http::BufferedResponse
{
    return {.status_ = status,
        .headers_ = {{.name_ = "Request-Id", .value_ = field(request.fields_, "Request-Id")},
            {.name_ = "Genuine", .value_ = "1"}},
        .body_ = body};
}

auto await(const std::function<auto()->bool> &condition, const std::string &what) -> void
{
    const auto end = Clock::now() + patience;
    while (!condition()) {
        testkit::check(Clock::now() < end, what);
        std::this_thread::sleep_for(askInterval);
    }
}

} // namespace jasminewood::forward
