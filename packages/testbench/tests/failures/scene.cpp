#include "scene.h"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/expected_output.h"
#include "jasminewood/testbench/fake_booking.h"
#include "jasminewood/testkit/test_suite.h"
#include "manifest_text.h"

namespace jasminewood::testbench
{

namespace
{

using nlohmann::json;
using testkit::check;

// Delay between retries of a caller, as callers of the real service use.
constexpr auto callerRetryDelay = Milliseconds(100);
constexpr auto pollInterval = Milliseconds(20);
constexpr auto maximumRetries = 60;
constexpr auto maximumShownBytes = std::size_t(400);
// A caller gives up after this many errors with "may have run".
constexpr auto maximumUnresolved = 6;

const auto classTiers
    = std::map<std::string, Tier> {{"booking-confirmation", 0}, {"quote-draft", 1}, {"chat", 2}, {"batch", 3}};

auto newDirectory() -> std::string
{
    static auto scenes = std::atomic<int>(0);
    const auto name = fmt::format("jasminewood-failures-{}-{}", getpid(), ++scenes);
    return (std::filesystem::temp_directory_path() / name).string();
}

auto numberFlag(const std::string &name, double value) -> std::string
{
    return fmt::format("--{}={}", name, value);
}

auto deploymentOptions(const SceneOptions &options, const std::string &directory) -> DeploymentOptions
{
    const auto debug = std::vector<std::string> {"--node_log_level=debug"};
    return DeploymentOptions {.directory_ = directory,
        .manifest_ = manifestText("first"),
        .routerDataCentres_ = std::vector<std::string>(options.routers_, "dc-a"),
        .engineCount_ = options.engines_,
        .bookingCount_ = options.bookings_,
        .routerFlags_ = {"--node_log_level=debug", "--stop_notice=200ms"},
        .engineAgentFlags_ = debug,
        .bookingAgentFlags_ = debug,
        .engineFlags_ = {numberFlag("base_token_ms", options.tokenMs_), numberFlag("batch_slowdown", 0),
            fmt::format("--slots={}", options.engineSlots_)},
        .bookingFlags_
        = {fmt::format("--work_ms={}", options.bookingWork_.count()), "--history=" + directory + "/bookings.history"},
        .vmsFlags_ = options.vmsFlags_};
}

auto parseRunState(const std::string &name) -> std::optional<RunState>
{
    for (const auto state : {RunState::NotRun, RunState::MayHaveRun, RunState::Ran}) {
        if (toString(state) == name) {
            return state;
        }
    }
    return std::nullopt;
}

// Parses a chat response, a booking response or an error, also incrementally.
class ResponseParser
{
public:
    // Parses the complete server-sent events of a body that were not parsed yet.
    auto parseStream(const std::string &body) -> void
    {
        for (auto end = body.find("\n\n", parsedBytes_); end != std::string::npos;
             end = body.find("\n\n", parsedBytes_)) {
            const auto event = body.substr(parsedBytes_, end - parsedBytes_);
            parsedBytes_ = end + 2;
            const auto data = event.find("data: ");
            if (data == std::string::npos) {
                continue;
            }
            const auto value = event.substr(data + 6);
            if (value == "[DONE]") {
                complete_ = true;
                continue;
            }
            const auto parsed = json::parse(value, nullptr, false);
            if (event.starts_with("event: error")) {
                parseError(parsed);
            } else if (parsed.is_object() && !parsed.value("choices", json::array()).empty()) {
                text_ += parsed["choices"][0].value("delta", json::object()).value("content", "");
            }
        }
    }

    auto parseBody(int status, const std::string &body) -> void
    {
        const auto parsed = json::parse(body, nullptr, false);
        if (status != 200) {
            parseError(parsed);
        } else if (parsed.is_object() && parsed.contains("choices")) {
            complete_ = true;
            text_ = parsed["choices"][0]["message"].value("content", "");
        } else if (parsed.is_object() && parsed.contains("confirmation")) {
            complete_ = true;
            text_ = parsed.value("confirmation", "");
        }
    }

    auto parseError(const json &parsed) -> void
    {
        if (parsed.is_object() && parsed.contains("error")) {
            const auto &error = parsed["error"];
            runState_ = parseRunState(error.value("run_state", ""));
            step_ = error.value("step", "");
            requestId_ = error.value("request_id", "");
        }
    }

    auto result(int status, bool retryAfter, const std::string &body) const -> CallResult
    {
        return CallResult {.completed_ = complete_ && !runState_,
            .status_ = status,
            .runState_ = runState_,
            .step_ = step_,
            .retryAfter_ = retryAfter,
            .text_ = text_,
            .body_ = complete_ ? "" : body};
    }

    std::string text_;
    std::string requestId_;

private:
    std::size_t parsedBytes_ = 0;
    bool complete_ = false;
    std::optional<RunState> runState_;
    std::string step_;
};

// Returns the end of a long body, because an error is the last event of a stream.
auto tail(const std::string &body) -> std::string
{
    return body.substr(body.size() - std::min(body.size(), maximumShownBytes));
}

auto requestHeaders(const std::string &requestClass) -> std::vector<http::HeaderField>
{
    return {{.name_ = "Authorization", .value_ = std::string("Bearer ") + firstKey},
        {.name_ = "Content-Type", .value_ = "application/json"}, {.name_ = "X-Request-Class", .value_ = requestClass}};
}

} // namespace

auto Counter::add() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ++count_;
    changed_.notify_all();
}

auto Counter::waitFor(std::size_t count) -> void
{
    auto lock = std::unique_lock(mutex_);
    const auto reached = changed_.wait_for(lock, testTimeout, [&]() -> bool {
        return count_ >= count;
    });
    check(reached, fmt::format("{} of {} events before the timeout", count_, count));
}

auto Counter::count() -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return count_;
}

auto toString(const CallResult &end) -> std::string
{
    return fmt::format("status {}, run state {}, step \"{}\", {} tokens, body {}", end.status_,
        end.runState_ ? toString(*end.runState_) : "none", end.step_, countTokens(end.text_), tail(end.body_));
}

Scene::Scene(const SceneOptions &options)
    : origin_(std::chrono::system_clock::now())
    , directory_(newDirectory())
{
    const auto started = Deployment::start(deploymentOptions(options, directory_));
    check(bool(started), started ? "" : toString(started.failure()));
    system_ = *started;
}

Scene::~Scene()
{
    system_.reset();
    if (!keepFiles_) {
        auto errorCode = std::error_code();
        std::filesystem::remove_all(directory_, errorCode);
    }
}

auto Scene::system() -> Deployment &
{
    return *system_;
}

auto Scene::record(const decltype(HistoryEvent::event_) &what) -> void
{
    const auto time = std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now() - origin_);
    const auto lock = std::scoped_lock(mutex_);
    history_.push_back(HistoryEvent {.time_ = time, .event_ = what});
}

auto Scene::nextCall() -> std::string
{
    return fmt::format("call-{}", ++calls_);
}

auto Scene::recordOutcome(const std::string &call, const CallResult &end, const std::string &requestId) -> void
{
    if (end.completed_) {
        record(ResponseReceived {.callId_ = call, .text_ = end.text_});
    } else {
        record(ErrorReceived {
            .callId_ = call, .requestId_ = requestId, .runState_ = end.runState_, .partialResponse_ = end.text_});
    }
}

auto Scene::chat(const ChatCall &call) -> CallResult
{
    const auto id = nextCall();
    const auto tokens = expectedTokens(call.message_, std::nullopt);
    record(RequestSent {.callId_ = id,
        .requestClass_ = call.requestClass_,
        .expectedResponse_ = expectedText(call.message_, 0, tokens)});
    const auto body = json {{"model", "film-chat"}, {"stream", call.stream_},
        {"messages", json::array({{{"role", "user"}, {"content", call.message_}}})}};
    auto received = std::string();
    auto status = 0;
    auto retryAfter = false;
    auto parser = ResponseParser();
    static_cast<void>(http::StreamCall().perform(
        {.method_ = "POST",
            .url_ = system_->url(call.router_) + "/v1/chat/completions",
            .headers_ = requestHeaders(call.requestClass_),
            .body_ = body.dump()},
        [&](int code, const auto &headers) -> void {
            status = code;
            retryAfter = headers.count("retry-after") > 0;
        },
        [&](std::string_view data) -> bool {
            received += data;
            if (call.stream_ && status == 200) {
                parser.parseStream(received);
                call.onTokens_ ? call.onTokens_(countTokens(parser.text_)) : void();
            }
            return true;
        }));
    if (!call.stream_ || status != 200) {
        parser.parseBody(status, received);
    }
    const auto end = parser.result(status, retryAfter, received);
    recordOutcome(id, end, parser.requestId_);
    return end;
}

auto Scene::book(const BookingCall &call) -> CallResult
{
    const auto id = nextCall();
    const auto body = json {{"slot", call.key_}}.dump();
    record(RequestSent {.callId_ = id,
        .requestClass_ = "booking-confirmation",
        .expectedResponse_ = expectedConfirmation(call.key_, body)});
    auto headers = requestHeaders("booking-confirmation");
    headers.push_back({.name_ = "Idempotency-Key", .value_ = call.key_});
    const auto response = http::fetch({.method_ = "POST",
        .url_ = system_->url(call.router_) + "/services/booking/bookings",
        .headers_ = headers,
        .body_ = body});
    auto parser = ResponseParser();
    if (response) {
        parser.parseBody(response->status_, response->body_);
    }
    const auto retryAfter = response && response->headers_.count("retry-after") > 0;
    const auto end = parser.result(
        response ? response->status_ : 0, retryAfter, response ? response->body_ : toString(response.failure()));
    recordOutcome(id, end, parser.requestId_);
    return end;
}

auto Scene::bookUntilResolved(const std::string &key, std::size_t first) -> CallResult
{
    const auto routers = system_->routers();
    auto unresolved = 0;
    for (auto retry = std::size_t(0);; ++retry) {
        const auto end = book({.router_ = routers[(first + retry) % routers.size()], .key_ = key});
        unresolved += end.runState_ == RunState::MayHaveRun ? 1 : 0;
        if (end.completed_ || unresolved >= maximumUnresolved || retry >= maximumRetries) {
            return end;
        }
        std::this_thread::sleep_for(callerRetryDelay);
    }
}

auto Scene::fault(const std::string &name, const std::string &text) -> void
{
    const auto failure = system_->injectFault(name, text);
    check(!failure, failure ? toString(*failure) : "");
}

auto Scene::markEnded(const std::string &name) -> void
{
    const auto time = std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now() - origin_);
    const auto lock = std::scoped_lock(mutex_);
    ended_.emplace_back(time, name);
}

auto Scene::kill(const std::string &name) -> void
{
    markEnded(name);
    system_->kill(name);
}

auto Scene::restart(const std::string &name) -> void
{
    const auto failure = system_->restart(name);
    check(!failure, failure ? toString(*failure) : "");
}

auto Scene::storeCalls() -> std::size_t
{
    const auto response = http::fetch({.url_ = system_->url("kv") + "/calls"});
    check(response && response->status_ == 200, "the key-value service counts its calls");
    const auto counts = json::parse(response->body_);
    auto sum = std::size_t(0);
    for (const auto &[kind, count] : counts.items()) {
        sum += count.get<std::size_t>();
    }
    return sum;
}

auto Scene::routersStoreCalls() -> std::size_t
{
    constexpr auto name = std::string_view("\njasminewood_key_value_calls");
    auto sum = std::size_t(0);
    for (const auto &router : system_->routers()) {
        const auto response = http::fetch({.url_ = system_->adminUrl(router) + "/metrics"});
        check(response && response->status_ == 200, "a router exports its metrics");
        const auto line = response->body_.find(name);
        check(line != std::string::npos, "a router counts its calls to the key-value service");
        sum += std::size_t(std::stod(response->body_.substr(response->body_.find(' ', line))));
    }
    return sum;
}

auto Scene::loggedSteps(const std::string &name, const std::string &step) -> std::size_t
{
    return countLogged(system_->logPath(name), step);
}

auto Scene::awaitLogged(const std::string &name, const std::string &step, std::size_t count) -> void
{
    const auto end = Clock::now() + testTimeout;
    while (loggedSteps(name, step) < count) {
        check(Clock::now() < end, fmt::format("{} does not log {} {} times before the timeout", name, step, count));
        std::this_thread::sleep_for(pollInterval);
    }
}

auto Scene::awaitPeers() -> void
{
    const auto routers = system_->routers();
    const auto end = Clock::now() + testTimeout;
    for (const auto &router : routers) {
        while (loggedSteps(router, "router connected") + 1 < routers.size()) {
            check(Clock::now() < end, router + " does not connect to the other routers before the timeout");
            std::this_thread::sleep_for(pollInterval);
        }
    }
}

auto Scene::processes() -> std::vector<std::string>
{
    auto names = system_->routers();
    const auto agents = system_->agents();
    names.insert(names.end(), agents.begin(), agents.end());
    return names;
}

auto Scene::awaitManifest(const std::vector<std::string> &names, std::uint64_t revision) -> void
{
    const auto end = Clock::now() + testTimeout;
    for (const auto &name : names) {
        const auto seen = [&](const HistoryEvent &event) -> bool {
            const auto *manifest = std::get_if<ManifestActive>(&event.event_);
            return manifest != nullptr && manifest->revision_ >= revision;
        };
        auto history = lastRun(historyOfLog(system_->logPath(name), origin_, classTiers));
        while (std::none_of(history.begin(), history.end(), seen)) {
            check(
                Clock::now() < end, fmt::format("{} does not activate revision {} before the timeout", name, revision));
            std::this_thread::sleep_for(pollInterval);
            history = lastRun(historyOfLog(system_->logPath(name), origin_, classTiers));
        }
    }
}

auto Scene::redirect(const std::string &agent, const std::string &address) -> void
{
    const auto url = system_->url("vms") + "/v1/targets";
    const auto listed = http::fetch({.url_ = url});
    check(listed && listed->status_ == 200, "the VM list responds");
    auto list = json::parse(listed->body_);
    for (auto &entry : list) {
        if (entry["labels"]["name"] == agent) {
            entry["targets"] = json::array({address});
        }
    }
    const auto response = http::fetch({.method_ = "PUT", .url_ = url, .body_ = list.dump()});
    check(response && response->status_ == 200, "the VM list accepts a new list");
}

auto Scene::processNamed(const History &logs, const std::string &name, Microseconds time) const -> std::string
{
    auto found = std::string();
    for (const auto &event : logs) {
        const auto *started = std::get_if<ProcessStarted>(&event.event_);
        if (started != nullptr && event.time_ <= time && started->process_.starts_with(name + "@")) {
            found = started->process_;
        }
    }
    return found;
}

auto Scene::collect() -> History
{
    auto logs = History();
    for (const auto &name : processes()) {
        const auto own = historyOfLog(system_->logPath(name), origin_, classTiers);
        std::copy(own.begin(), own.end(), std::back_inserter(logs));
    }
    const auto bookings = historyOfBookings(directory_ + "/bookings.history", origin_);
    for (const auto &engine : system_->engines()) {
        const auto response = http::fetch({.url_ = system_->url(engine) + "/runs", .timeout_ = Milliseconds(2'000)});
        if (response && response->status_ == 200) {
            const auto runs = json::parse(response->body_);
            for (const auto &[request, count] : runs.items()) {
                for (auto run = std::size_t(0); run < count.get<std::size_t>(); ++run) {
                    record(RunRecorded {.requestId_ = request});
                }
            }
        }
    }
    const auto lock = std::scoped_lock(mutex_);
    auto all = history_;
    std::copy(logs.begin(), logs.end(), std::back_inserter(all));
    std::copy(bookings.begin(), bookings.end(), std::back_inserter(all));
    for (const auto &[time, name] : ended_) {
        all.push_back(HistoryEvent {.time_ = time, .event_ = ProcessEnded {processNamed(logs, name, time)}});
    }
    return all;
}

auto Scene::checkHistory(const HistoryLimits &limits) -> void
{
    const auto violations = findViolations(collect(), limits);
    auto text = std::string();
    for (const auto &violation : violations) {
        text += toString(violation) + "\n";
    }
    check(violations.empty(), "logs in " + directory_ + "\n" + text);
    keepFiles_ = false;
}

Callers::Callers(std::size_t count, const std::function<auto(std::size_t)->void> &body)
{
    for (auto number = std::size_t(0); number < count; ++number) {
        threads_.emplace_back([this, body, number] {
            try {
                body(number);
            } catch (const std::exception &exception) {
                const auto lock = std::scoped_lock(mutex_);
                failure_ = failure_.empty() ? exception.what() : failure_;
            }
        });
    }
}

Callers::~Callers()
{
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto Callers::join() -> void
{
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    check(failure_.empty(), failure_);
}

} // namespace jasminewood::testbench
