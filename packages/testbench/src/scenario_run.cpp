#include "scenario_run.h"

#include <algorithm>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/http/client.h"
#include "jasminewood/testbench/deployment.h"
#include "process_usage.h"

namespace jasminewood::testbench::internal
{

namespace
{

constexpr std::uint64_t planSeed = 20'261;
constexpr auto ownPolicy = "jasminewood";
constexpr auto allRequests = "all";

auto startDeployment(const ComparedPolicy &policy, const std::string &directory,
    const std::vector<std::string> &engineFlags) -> Result<std::shared_ptr<Deployment>>
{
    auto flags
        = std::vector<std::string> {fmt::format("--time_scale={}", timeScale), fmt::format("--slots={}", engineSlots)};
    flags.insert(flags.end(), engineFlags.begin(), engineFlags.end());
    return Deployment::start({.directory_ = directory,
        .manifest_ = measuredManifest(policy.hedge_),
        .routerDataCentres_ = {"lj-a", "lj-b", "lj-c"},
        .engineCount_ = engineCount,
        .bookingCount_ = 0,
        .routerFlags_ = {"--routing_policy=" + policy.routing_},
        .engineAgentFlags_ = {"--gate_order=" + policy.order_},
        .engineFlags_ = flags});
}

auto routerUrls(const Deployment &system) -> std::vector<std::string>
{
    auto urls = std::vector<std::string>();
    for (const auto &router : system.routers()) {
        urls.push_back(system.url(router));
    }
    return urls;
}

// Sums the engines' counters of generated tokens. A crash resets an engine's counter, so it is read before the crash.
class TokenCounter
{
public:
    explicit TokenCounter(const Deployment &system)
        : system_(system)
    {
    }

    auto onBeforeCrash(const std::string &engine) -> void
    {
        beforeCrashes_ += read(engine);
    }

    auto total() const -> std::uint64_t
    {
        auto sum = beforeCrashes_;
        for (const auto &engine : system_.engines()) {
            sum += read(engine);
        }
        return sum;
    }

private:
    auto read(const std::string &engine) const -> std::uint64_t
    {
        const auto response = http::fetch({.url_ = system_.url(engine) + "/metrics"});
        auto lines = std::istringstream(response ? response->body_ : std::string());
        for (auto line = std::string(); std::getline(lines, line);) {
            if (line.starts_with("vllm:generation_tokens_total")) {
                return std::stoull(line.substr(line.rfind(' ') + 1));
            }
        }
        return 0;
    }

    const Deployment &system_;
    std::uint64_t beforeCrashes_ = 0;
};

auto execute(Deployment &system, TokenCounter &tokens, const std::variant<Fault, Restart> &action) -> void
{
    std::visit(Overloaded {[&](const Fault &fault) -> void {
                               if (fault.json_.find("crash") != std::string::npos) {
                                   tokens.onBeforeCrash(fault.engine_);
                               }
                               static_cast<void>(system.injectFault(fault.engine_, fault.json_));
                           },
                   [&](const Restart &restart) -> void {
                       static_cast<void>(system.restart(restart.engine_));
                   }},
        action);
}

auto toJson(const RequestRecord &record) -> nlohmann::json
{
    auto line = nlohmann::json {{"group", record.group_}, {"class", record.requestClass_}, {"account", record.account_},
        {"request", record.requestId_}, {"arrival_us", record.arrival_.count()}, {"sent_us", record.sent_.count()},
        {"first_token_us", nullptr}, {"end_us", record.end_.count()}, {"tokens", record.tokens_}};
    if (record.firstToken_) {
        line["first_token_us"] = record.firstToken_->count();
    }
    std::visit(Overloaded {[&](const CompleteResponse & /*whole*/) -> void {
                               line["outcome"] = "whole";
                           },
                   [&](const WrongAnswer &wrong) -> void {
                       line["outcome"] = "wrong";
                       line["text"] = wrong.text_;
                   },
                   [&](const ErrorAnswer &error) -> void {
                       line["outcome"] = error.runState_;
                       line["status"] = error.status_;
                       line["message"] = error.message_;
                   },
                   [&](const TruncatedResponse &cut) -> void {
                       line["outcome"] = "cut";
                       line["message"] = cut.reason_;
                   }},
        record.outcome_);
    return line;
}

auto writeRecords(const std::string &path, const std::vector<RequestRecord> &records) -> void
{
    auto file = std::ofstream(path);
    for (const auto &record : records) {
        file << toJson(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    }
}

auto metric(const std::string &scenario, const std::string &measure, double value, const std::string &unit) -> Metric
{
    return Metric {.scenario_ = scenario,
        .policy_ = ownPolicy,
        .class_ = allRequests,
        .measure_ = measure,
        .value_ = value,
        .unit_ = unit};
}

auto millis(Microseconds time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Adds the memory and idle CPU use of the processes of one kind, as the maximum over these processes.
auto addIdleUsage(const Deployment &system, const std::vector<std::string> &names, const std::string &kind,
    std::vector<Metric> &metrics) -> void
{
    constexpr auto idleTime = std::chrono::seconds(10);
    constexpr auto percent = 100.0;
    auto before = std::vector<double>();
    for (const auto &name : names) {
        before.push_back(processorSeconds(system.processId(name)));
    }
    std::this_thread::sleep_for(idleTime);
    auto memory = 0.0;
    auto processor = 0.0;
    for (auto index = std::size_t(0); index < names.size(); ++index) {
        const auto pid = system.processId(names[index]);
        memory = std::max(memory, residentMegabytes(pid));
        processor = std::max(processor, processorSeconds(pid) - before[index]);
    }
    metrics.push_back(metric("unloaded", kind + "_memory", memory, "MB"));
    metrics.push_back(metric("unloaded", kind + "_idle_processor",
        percent * processor / std::chrono::duration<double>(idleTime).count(), "percent of a core"));
}

} // namespace

auto runScenario(const Scenario &scenario, const ComparedPolicy &policy, const std::string &directory)
    -> Result<std::vector<Metric>>
{
    const auto folder = fmt::format("{}/{}-{}", directory, scenario.name_, policy.name_);
    const auto started = startDeployment(policy, folder, scenario.engineFlags_);
    if (!started) {
        return started.failure();
    }
    auto &system = **started;
    const auto plan = planLoad(scenario.workloads_, scenario.duration_, planSeed);
    auto tokens = TokenCounter(system);
    const auto begin = Clock::now();
    auto actions = std::thread([&]() -> void {
        for (const auto &timed : scenario.actions_) {
            std::this_thread::sleep_until(begin + timed.time_);
            execute(system, tokens, timed.action_);
        }
    });
    const auto records = runLoad(plan, {.routers_ = routerUrls(system)});
    actions.join();
    writeRecords(folder + "/records.jsonl", records);
    return computeMetrics(LoadRun {.scenario_ = scenario.name_,
        .policy_ = policy.name_,
        .duration_ = scenario.duration_,
        .targets_ = classTargets(),
        .records_ = records,
        .generatedTokens_ = tokens.total()});
}

auto runCapacity(const std::string &directory) -> Result<std::vector<Metric>>
{
    // Tokens are counted only while all slots are busy, without the ramp-up and the tail of the closed loop.
    constexpr auto planned = Milliseconds(8'000);
    constexpr auto from = Milliseconds(1'500);
    constexpr auto until = Milliseconds(5'500);
    const auto started = startDeployment(comparedPolicies().back(), directory + "/capacity", {});
    if (!started) {
        return started.failure();
    }
    auto plan = std::vector<PlannedRequest>();
    for (const auto &request : planLoad(mixedLoad(modelCapacity(), 1.0, ConstantRate {}), planned, planSeed)) {
        plan.push_back(PlannedRequest {.arrival_ = Microseconds(0),
            .group_ = request.group_,
            .requestClass_ = request.requestClass_,
            .account_ = request.account_,
            .model_ = request.model_,
            .message_ = request.message_,
            .tokens_ = request.tokens_});
    }
    const auto tokens = TokenCounter(**started);
    const auto begin = Clock::now();
    auto counted = std::uint64_t(0);
    auto counter = std::thread([&]() -> void {
        std::this_thread::sleep_until(begin + from);
        const auto before = tokens.total();
        std::this_thread::sleep_until(begin + until);
        counted = tokens.total() - before;
    });
    runLoad(plan, {.routers_ = routerUrls(**started), .maximumInFlight_ = 2 * engineCount * engineSlots});
    counter.join();
    const auto seconds = std::chrono::duration<double>(until - from).count();
    return std::vector<Metric> {metric("capacity", "capacity_of_model", modelCapacity(), "tokens/s"),
        metric("capacity", "capacity_closed_loop", static_cast<double>(counted) / seconds, "tokens/s")};
}

auto runUnloaded(const std::string &directory) -> Result<std::vector<Metric>>
{
    constexpr auto rounds = 300;
    constexpr auto timeout = Milliseconds(10'000);
    const auto started = startDeployment(comparedPolicies().back(), directory + "/unloaded", {"--base_token_ms=2"});
    if (!started) {
        return started.failure();
    }
    const auto &system = **started;
    auto direct = std::vector<double>();
    auto routed = std::vector<double>();
    // Direct and routed requests alternate, so that other load on the machine affects both equally.
    for (auto round = 0; round < rounds; ++round) {
        const auto request = PlannedRequest {.arrival_ = Microseconds(0),
            .group_ = "quote-draft",
            .requestClass_ = "quote-draft",
            .account_ = "folije-ljubljana",
            .model_ = "film-quote",
            .message_ = fmt::format("request {} [tokens=1]", round),
            .tokens_ = 1};
        const auto engine = system.engines().front();
        direct.push_back(millis(sendRequest(system.url(engine), request, timeout).firstToken_.value_or(timeout)));
        routed.push_back(millis(sendRequest(system.url("router-1"), request, timeout).firstToken_.value_or(timeout)));
    }
    auto metrics = std::vector<Metric>();
    for (const auto &[name, fraction] : {std::pair("p50", 0.5), std::pair("p99", 0.99)}) {
        const auto without = quantile(direct, fraction);
        const auto with = quantile(routed, fraction);
        metrics.push_back(metric("unloaded", fmt::format("direct_first_token_{}", name), without, "ms"));
        metrics.push_back(metric("unloaded", fmt::format("routed_first_token_{}", name), with, "ms"));
        metrics.push_back(metric("unloaded", fmt::format("added_{}", name), with - without, "ms"));
    }
    addIdleUsage(system, system.routers(), "router", metrics);
    addIdleUsage(system, system.agents(), "agent", metrics);
    return metrics;
}

} // namespace jasminewood::testbench::internal
