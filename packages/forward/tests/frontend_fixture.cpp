#include "frontend_fixture.h"

#include <thread>

#include <fmt/format.h>

#include "jasminewood/testkit/test_suite.h"

namespace jasminewood::forward
{

namespace
{

constexpr auto waitTimeout = std::chrono::seconds(30);
constexpr auto pollInterval = Milliseconds(5);
constexpr std::uint64_t seed = 7;
constexpr int misdirectedRequest = 421;
// Ends the value of a configuration without routes.
constexpr auto withoutRoutes = " without routes";

auto fieldOrEmpty(const std::vector<http::HeaderField> &fields, const char *name) -> std::string
{
    return http::findHeader(fields, name).value_or("");
}

auto splitWords(const std::string &text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    for (auto start = std::size_t(0); start <= text.size();) {
        const auto end = std::min(text.find(' ', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

auto parseUpstream(const platform::KeyValue &entry) -> Result<membership::UpstreamRecord>
{
    const auto &key = entry.key_;
    const auto parts = splitWords(entry.value_);
    if (parts.size() < 2 || parts.size() > 4) {
        return Failure {.step_ = "decode", .peer_ = key, .reason_ = "not two to four words"};
    }
    return membership::UpstreamRecord {.id_ = key.substr(std::string(upstreamPrefix).size()),
        .service_ = "pool",
        .address_ = parts[0],
        .slots_ = 4,
        .leaving_ = parts[1] == "leaving",
        .incarnation_ = parts.size() > 2 ? std::stoll(parts[2]) : 0,
        .version_ = parts.size() > 3 ? parts[3] : "v1"};
}

// Returns the prompt of a request whose field "Prompt" lists the ids of its segments, separated by spaces.
auto parsePrompt(const http::Request &request) -> std::optional<PromptInfo>
{
    const auto text = fieldOrEmpty(request.fields_, "Prompt");
    if (text.empty()) {
        return std::nullopt;
    }
    auto segments = std::vector<routing::PromptSegment>();
    for (const auto &id : splitWords(text)) {
        segments.push_back({.id_ = std::stoull(id), .tokens_ = 100});
    }
    return std::optional<PromptInfo>(PromptInfo {.segments_ = segments});
}

auto parseRequestMetadata(const http::Request &request) -> RequestMetadata
{
    const auto remainingMs = fieldOrEmpty(request.fields_, "Patience-Ms");
    return {.requestId_ = fieldOrEmpty(request.fields_, "Request-Id"),
        .host_ = fieldOrEmpty(request.fields_, "Host"),
        .apiKey_ = fieldOrEmpty(request.fields_, "Key"),
        .remainingTime_ = remainingMs.empty() ? std::nullopt : std::optional(Milliseconds(std::stoll(remainingMs))),
        .prompt_ = parsePrompt(request),
        .lastEventId_ = fieldOrEmpty(request.fields_, "Last-Event-Id"),
        .resumedRequestId_ = fieldOrEmpty(request.fields_, "Resumes")};
}

auto makeUpstreamHeaders(const std::vector<http::HeaderField> &fields, const UpstreamRequestMetadata &metadata)
    -> std::vector<http::HeaderField>
{
    auto upstreamHeaders = fields;
    upstreamHeaders.push_back({.name_ = "Upstream", .value_ = metadata.upstreamId_});
    upstreamHeaders.push_back({.name_ = "Remaining-Ms", .value_ = std::to_string(metadata.remainingTime_.count())});
    if (metadata.hasEnginePriority_) {
        upstreamHeaders.push_back({.name_ = "Urgency", .value_ = std::to_string(metadata.enginePriority_)});
    }
    upstreamHeaders.push_back({.name_ = "Resume-After", .value_ = metadata.lastEventId_});
    return upstreamHeaders;
}

auto parseResponseMetadata(const http::ResponseHead &head) -> ResponseMetadata
{
    const auto waitMs = fieldOrEmpty(head.fields_, "Wait-Ms");
    const auto rateLimit = fieldOrEmpty(head.fields_, "Rate-Limit");
    return {.requestId_ = fieldOrEmpty(head.fields_, "Request-Id"),
        .hasSignature_ = !fieldOrEmpty(head.fields_, "Genuine").empty(),
        .notRun_ = !fieldOrEmpty(head.fields_, "Not-Run").empty(),
        .misdirected_ = head.status_ == misdirectedRequest,
        .leaving_ = !fieldOrEmpty(head.fields_, "Leaving").empty(),
        .retryAfter_ = waitMs.empty() ? std::nullopt : std::optional(Milliseconds(std::stoll(waitMs))),
        .rateLimit_ = rateLimit.empty() ? routing::RateLimitStatement(routing::NoRateLimit {})
                                        : routing::RateLimit {.perSecond_ = std::stod(rateLimit)},
        .isEventStream_ = fieldOrEmpty(head.fields_, "Content-Type") == "text/event-stream"};
}

auto makeRoute(const std::string &name, routes::RetrySafety repetition, std::uint32_t attempts) -> routes::Route
{
    return {.name_ = name,
        .host_ = "shop",
        .pathPrefix_ = "/" + name + "/",
        .retrySafety_ = repetition,
        .timeout_ = Milliseconds(20'000),
        .eventGapTarget_ = name == "patient" ? std::optional(Milliseconds(800)) : std::nullopt,
        .weightedServices_ = {{.service_ = "pool"}},
        .maximumAttempts_ = attempts,
        .resumable_ = name == "resumable" || name == "patient"};
}

} // namespace

auto testProtocolAdapter(const routes::Configuration &sample) -> ProtocolAdapter
{
    return {.configurationKey_ = configurationKey,
        .upstreamPrefix_ = upstreamPrefix,
        .readinessPath_ = "/ready",
        .parseConfiguration_ = [sample](const std::string &value) -> Result<routes::Configuration> {
            return routes::Configuration {.version_ = std::stoll(value),
                .routes_ = value.ends_with(withoutRoutes) ? std::vector<routes::Route>() : sample.routes_,
                .services_ = sample.services_,
                .access_ = sample.access_,
                .callerLimits_ = sample.callerLimits_};
        },
        .parseUpstream_ = &parseUpstream,
        .parseRequestMetadata_ = &parseRequestMetadata,
        .makeUpstreamHeaders_ = &makeUpstreamHeaders,
        .parseResponseMetadata_ = &parseResponseMetadata};
}

auto testFeedOptions() -> StoreFeedOptions
{
    return {.keyPrefix_ = "/", .watchTimeout_ = Milliseconds(50), .batchDelay_ = Milliseconds(0)};
}

auto testOriginsOptions() -> StreamOriginsOptions
{
    return {.keyPrefix_ = "/jasminewood/",
        .maximumProposalDelay_ = Milliseconds(20),
        .recordInterval_ = Milliseconds(20),
        .retryInterval_ = Milliseconds(100)};
}

auto testUsageOptions() -> UsageReportingOptions
{
    return {
        .holder_ = {.schedule_
            = {.windowLength_ = Milliseconds(1'000), .due_ = Milliseconds(10'000), .earliestFix_ = Milliseconds(200)},
            .leaseTime_ = Milliseconds(1'000),
            .keyPrefix_ = "/usage/"},
        .tellInterval_ = Milliseconds(100)};
}

auto sampleConfiguration() -> routes::Configuration
{
    return {.version_ = 1,
        .routes_ = {makeRoute("once", routes::RetrySafety::AtMostOnce, 1),
            makeRoute("again", routes::RetrySafety::Idempotent, 2), makeRoute("stream", routes::RetrySafety::Stream, 1),
            makeRoute("resumable", routes::RetrySafety::Stream, 2),
            makeRoute("patient", routes::RetrySafety::Stream, 2)},
        .services_ = {{.name_ = "pool"}},
        .access_ = routes::AccountAccess {.accounts_ = {{.name_ = "installer", .keys_ = {sampleApiKey}}}}};
}

FrontendFixture::FrontendFixture(const routes::Configuration &sample, std::optional<Milliseconds> keyTrustPeriod,
    const FrontendOptions &options, const duties::UsageCaller &usageCaller, observe::Level level,
    const StoreFeedOptions &feed)
    : environment_(
        std::make_shared<node::Environment>(node::createIdentity("front", wire::Role::Router, "local", ""), level))
    , store_(*testbench::FakeKv::start({}))
    , client_(std::make_shared<platform::KeyValueClient>(
          platform::KeyValueOptions {.url_ = fmt::format("http://127.0.0.1:{}", store_->port())}))
    , configuration_(std::make_shared<ConfigurationWatcher>(testProtocolAdapter(sample), keyTrustPeriod))
    , upstreams_(std::make_shared<UpstreamWatcher>(testProtocolAdapter(sample), "local", seed))
    , streamOrigins_(std::make_shared<StreamOrigins>(client_, testOriginsOptions()))
    , frontend_(std::make_shared<Frontend>(options, testProtocolAdapter(sample)))
    , probes_(std::make_shared<ProbeServer>(ProbeServerOptions {.readinessPath_ = "/ready"}))
{
    registry_.add("environment", environment_);
    registry_.add("configuration", configuration_);
    registry_.add("upstreams", upstreams_);
    registry_.add("stream-origins", streamOrigins_);
    if (usageCaller) {
        registry_.add("peer-network",
            std::make_shared<PeerNetwork>(client_,
                PeerNetworkOptions {.address_ = "127.0.0.1", .dataCentre_ = "local", .keyPrefix_ = "/routers/"}));
        registry_.add("usage-reporting", std::make_shared<UsageReporting>(client_, testUsageOptions(), usageCaller));
    }
    registry_.add("store-feed", std::make_shared<StoreFeed>(client_, feed));
    registry_.add("crashing-requests", std::make_shared<CrashingRequests>());
    registry_.add("front", frontend_);
    registry_.add("probes", probes_);
    const auto failure = registry_.startAll();
    testkit::check(!failure, failure ? toString(*failure) : "");
    if (sample.version_ > 0) {
        publish(sample.version_);
    }
}

FrontendFixture::~FrontendFixture()
{
    registry_.stopAll();
}

auto FrontendFixture::publish(std::int64_t version) -> void
{
    publishValue(version, std::to_string(version));
}

auto FrontendFixture::publishWithoutRoutes(std::int64_t version) -> void
{
    publishValue(version, std::to_string(version) + withoutRoutes);
}

auto FrontendFixture::publishValue(std::int64_t version, const std::string &value) -> void
{
    testkit::check(bool(client_->put(configurationKey, value)), "the configuration was written");
    waitUntil(
        [this, version] {
            const auto table = configuration_->current();
            return table && table->configuration().version_ >= version;
        },
        "the configuration was read");
}

auto FrontendFixture::stopStore() -> void
{
    store_->stop();
}

auto FrontendFixture::addUpstream(const std::string &id, http::Handler handler, const std::string &state) -> void
{
    servers_.push_back(*http::Server::start({}, std::move(handler)));
    registerUpstream(id, fmt::format("127.0.0.1:{}", servers_.back()->port()), state);
}

auto FrontendFixture::registerUpstream(const std::string &id, const std::string &address, const std::string &state)
    -> void
{
    const auto written = client_->put(upstreamPrefix + id, address + " " + state);
    testkit::check(bool(written), "the upstream was registered");
    waitUntil(
        [this, &id, &state] {
            return upstreams_->pool().contains(id) == state.starts_with("ready");
        },
        "the pool reflects the state of the upstream");
}

auto FrontendFixture::url(const std::string &path) const -> std::string
{
    return fmt::format("http://127.0.0.1:{}{}", port(), path);
}

auto FrontendFixture::port() const -> std::uint16_t
{
    return frontend_->port();
}

auto FrontendFixture::requestFields(const std::string &id) -> std::vector<http::HeaderField>
{
    return {{.name_ = "Host", .value_ = "shop"}, {.name_ = "Request-Id", .value_ = id},
        {.name_ = "Key", .value_ = sampleApiKey}};
}

auto FrontendFixture::frontend() -> Frontend &
{
    return *frontend_;
}

auto FrontendFixture::configuration() -> ConfigurationWatcher &
{
    return *configuration_;
}

auto FrontendFixture::upstreams() -> UpstreamWatcher &
{
    return *upstreams_;
}

auto FrontendFixture::probes() -> ProbeServer &
{
    return *probes_;
}

auto FrontendFixture::streamOrigins() -> StreamOrigins &
{
    return *streamOrigins_;
}

auto FrontendFixture::store() -> testbench::FakeKv &
{
    return *store_;
}

auto FrontendFixture::metrics() const -> std::string
{
    return environment_->metrics().text();
}

auto authenticResponse(const http::Request &request, int status, const std::string &body) -> http::BufferedResponse
{
    return {.status_ = status,
        .headers_ = {{.name_ = "Request-Id", .value_ = fieldOrEmpty(request.fields_, "Request-Id")},
            {.name_ = "Genuine", .value_ = "1"}},
        .body_ = body};
}

auto waitUntil(const std::function<auto()->bool> &condition, const std::string &description) -> void
{
    const auto deadline = Clock::now() + waitTimeout;
    while (!condition()) {
        testkit::check(Clock::now() < deadline, description);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace jasminewood::forward
