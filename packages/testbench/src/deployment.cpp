#include "jasminewood/testbench/deployment.h"

#include <csignal>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "deployed_node.h"
#include "jasminewood/http/client.h"
#include "operator_client.h"

namespace jasminewood::testbench
{

namespace
{

using internal::AgentProgram;
using internal::DeployedNode;
using internal::FakeProgram;
using internal::NodeOptions;
using internal::Program;
using internal::RouterProgram;
using nlohmann::json;

constexpr auto readinessInterval = Milliseconds(20);

auto concatenate(std::vector<std::string> first, const std::vector<std::string> &second) -> std::vector<std::string>
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

class Deployment::State
{
public:
    explicit State(const DeploymentOptions &options)
        : options_(options)
    {
    }

    ~State()
    {
        // Routers are killed before the fakes, so that they don't log lost connections.
        for (const auto &name : routers_) {
            nodes_.at(name)->process().signal(SIGKILL);
        }
    }

    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    auto startAll() -> Status
    {
        auto errorCode = std::error_code();
        std::filesystem::create_directories(options_.directory_, errorCode);
        if (errorCode) {
            return Failure {.step_ = "start", .peer_ = options_.directory_, .reason_ = errorCode.message()};
        }
        if (const auto failure = add("kv", FakeProgram {.file_ = "fake-kv"}, "", {})) {
            return failure;
        }
        if (const auto failure = add("vms", FakeProgram {.file_ = "fake-vms"}, "", options_.vmsFlags_)) {
            return failure;
        }
        if (const auto failure = addUpstreams()) {
            return failure;
        }
        if (const auto failure = putVmList()) {
            return failure;
        }
        if (const auto failure = addRouters()) {
            return failure;
        }
        if (const auto failure = putVmList(); failure || options_.manifest_.empty()) {
            return failure;
        }
        if (const auto failure = submit(routers_.front(), options_.manifest_, "deployment")) {
            return failure;
        }
        return waitReady(options_.startTimeout_);
    }

    auto node(const std::string &name) const -> DeployedNode &
    {
        return *nodes_.at(name);
    }

    auto url(const std::string &name) const -> std::string
    {
        return fmt::format("http://127.0.0.1:{}", node(name).ports().service_);
    }

    auto adminUrl(const std::string &name) const -> std::string
    {
        return fmt::format("http://127.0.0.1:{}", node(name).ports().admin_);
    }

    auto linkAddress(const std::string &name) const -> std::string
    {
        return fmt::format("127.0.0.1:{}", node(name).ports().link_);
    }

    auto restart(const std::string &name) -> Status
    {
        node(name).process().signal(SIGKILL);
        if (const auto ended = node(name).process().waitExit(options_.startTimeout_); !ended) {
            return ended.failure();
        }
        if (const auto failure = node(name).start()) {
            return failure;
        }
        // The fake VM list keeps its entries only in memory, so a restart loses them.
        return name == "vms" ? putVmList() : std::nullopt;
    }

    auto setListing(const std::string &name, VmListing listing) -> Status
    {
        {
            const auto lock = std::scoped_lock(listMutex_);
            listings_.insert_or_assign(name, listing);
        }
        return putVmList();
    }

    auto submit(const std::string &router, const std::string &manifest, const std::string &submission) -> Status
    {
        return internal::submitManifest(adminUrl(router), manifest, submission);
    }

    auto waitReady(Milliseconds timeout) const -> Status
    {
        const auto end = Clock::now() + timeout;
        for (const auto &router : routers_) {
            while (!seesAllAgents(router)) {
                if (Clock::now() > end) {
                    return Failure {.step_ = "wait",
                        .peer_ = router,
                        .reason_ = "not ready, or not all agents live, before the timeout"};
                }
                std::this_thread::sleep_for(readinessInterval);
            }
        }
        return std::nullopt;
    }

    std::vector<std::string> routers_;
    std::vector<std::string> engines_;
    std::vector<std::string> bookings_;
    std::vector<std::string> agents_;

private:
    auto add(const std::string &name, const Program &program, const std::string &dataCentre,
        const std::vector<std::string> &flags) -> Status
    {
        auto added = std::make_unique<DeployedNode>(NodeOptions {.name_ = name,
            .program_ = program,
            .dataCentre_ = dataCentre,
            .flags_ = flags,
            .directory_ = options_.directory_,
            .deadline_ = options_.startTimeout_});
        const auto failure = added->start();
        if (!failure) {
            nodes_.emplace(name, std::move(added));
        }
        return failure;
    }

    auto addUpstreams() -> Status
    {
        for (auto number = std::size_t(1); number <= options_.engineCount_; ++number) {
            const auto name = fmt::format("engine-{}", number);
            const auto failure = addUpstream(name, {.file_ = "fake-engine"}, number, options_.engineFlags_,
                concatenate(
                    {"--upstream_kind=engine", "--upstream_pool=" + options_.enginePool_}, options_.engineAgentFlags_));
            if (failure) {
                return failure;
            }
            engines_.push_back(name);
        }
        for (auto number = std::size_t(1); number <= options_.bookingCount_; ++number) {
            const auto name = fmt::format("booking-{}", number);
            const auto failure = addUpstream(name, {.file_ = "fake-booking"}, number, options_.bookingFlags_,
                concatenate({"--upstream_kind=service", "--upstream_pool=" + options_.bookingPool_},
                    options_.bookingAgentFlags_));
            if (failure) {
                return failure;
            }
            bookings_.push_back(name);
        }
        return std::nullopt;
    }

    auto addUpstream(const std::string &name, const FakeProgram &fake, std::size_t number,
        const std::vector<std::string> &fakeFlags, const std::vector<std::string> &agentFlags) -> Status
    {
        const auto &dataCentre = options_.routerDataCentres_[(number - 1) % options_.routerDataCentres_.size()];
        if (const auto failure = add(name, fake, dataCentre, fakeFlags)) {
            return failure;
        }
        const auto agent = name + "-agent";
        const auto pool = name.starts_with("engine") ? options_.enginePool_ : options_.bookingPool_;
        const auto failure = add(agent, AgentProgram {.pool_ = pool}, dataCentre,
            concatenate({"--node_name=" + agent, "--node_data_centre=" + dataCentre, "--upstream_url=" + url(name)},
                agentFlags));
        if (!failure) {
            agents_.push_back(agent);
        }
        return failure;
    }

    auto addRouters() -> Status
    {
        for (const auto &dataCentre : options_.routerDataCentres_) {
            const auto name = fmt::format("router-{}", routers_.size() + 1);
            const auto failure = add(name, RouterProgram {}, dataCentre,
                concatenate({"--node_name=" + name, "--node_data_centre=" + dataCentre,
                                std::string("--admin_key_sha256=") + internal::operatorKeyHash,
                                "--platform_key_value_url=" + url("kv"),
                                "--platform_vm_list_url=" + url("vms") + "/v1/targets"},
                    options_.routerFlags_));
            if (failure) {
                return failure;
            }
            routers_.push_back(name);
        }
        return std::nullopt;
    }

    auto putVmList() -> Status
    {
        const auto lock = std::scoped_lock(listMutex_);
        auto entries = json::array();
        for (const auto &names : {routers_, agents_}) {
            for (const auto &name : names) {
                const auto listed = listings_.find(name);
                const auto listing = listed == listings_.end() ? VmListing::Live : listed->second;
                if (listing != VmListing::Removed) {
                    entries.push_back(node(name).vmEntry(listing == VmListing::Leaving));
                }
            }
        }
        const auto response
            = http::fetch({.method_ = "PUT", .url_ = url("vms") + "/v1/targets", .body_ = entries.dump()});
        return internal::requireOk("list", "vms", response);
    }

    auto seesAllAgents(const std::string &router) const -> bool
    {
        return internal::isReady(adminUrl(router)) && internal::liveUpstreams(adminUrl(router)) == agents_.size();
    }

    const DeploymentOptions options_;
    // Guards listings_.
    std::mutex listMutex_;
    std::map<std::string, VmListing> listings_;
    std::map<std::string, std::unique_ptr<DeployedNode>> nodes_;
};

auto Deployment::start(const DeploymentOptions &options) -> Result<std::shared_ptr<Deployment>>
{
    auto state = std::make_unique<State>(options);
    if (const auto failure = state->startAll()) {
        return *failure;
    }
    return std::shared_ptr<Deployment>(new Deployment(std::move(state)));
}

Deployment::Deployment(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Deployment::~Deployment() = default;

auto Deployment::routers() const -> std::vector<std::string>
{
    return state_->routers_;
}

auto Deployment::engines() const -> std::vector<std::string>
{
    return state_->engines_;
}

auto Deployment::bookingServices() const -> std::vector<std::string>
{
    return state_->bookings_;
}

auto Deployment::agents() const -> std::vector<std::string>
{
    return state_->agents_;
}

auto Deployment::url(const std::string &name) const -> std::string
{
    return state_->url(name);
}

auto Deployment::port(const std::string &name) const -> std::uint16_t
{
    return state_->node(name).ports().service_;
}

auto Deployment::adminUrl(const std::string &router) const -> std::string
{
    return state_->adminUrl(router);
}

auto Deployment::adminKey() const -> std::string
{
    return internal::operatorKey;
}

auto Deployment::linkAddress(const std::string &name) const -> std::string
{
    return state_->linkAddress(name);
}

auto Deployment::processId(const std::string &name) const -> int
{
    return state_->node(name).process().pid();
}

auto Deployment::logPath(const std::string &name) const -> std::string
{
    return state_->node(name).options().directory_ + "/" + name + ".err";
}

auto Deployment::kill(const std::string &name) -> void
{
    state_->node(name).process().signal(SIGKILL);
    static_cast<void>(waitExit(name));
}

auto Deployment::terminate(const std::string &name) -> void
{
    state_->node(name).process().signal(SIGTERM);
}

auto Deployment::suspend(const std::string &name) -> void
{
    state_->node(name).process().signal(SIGSTOP);
}

auto Deployment::resume(const std::string &name) -> void
{
    state_->node(name).process().signal(SIGCONT);
}

auto Deployment::waitExit(const std::string &name, Milliseconds timeout) -> Result<int>
{
    return state_->node(name).process().waitExit(timeout);
}

auto Deployment::restart(const std::string &name) -> Status
{
    return state_->restart(name);
}

auto Deployment::injectFault(const std::string &name, const std::string &json) -> Status
{
    const auto response = http::fetch({.method_ = "POST", .url_ = url(name) + "/fault", .body_ = json});
    // A fault may terminate the process or close its connections before the response is sent.
    if (!response && response.failure().runState_ != RunState::NotRun) {
        return std::nullopt;
    }
    return internal::requireOk("fault", name, response);
}

auto Deployment::setVmListing(const std::string &name, VmListing listing) -> Status
{
    return state_->setListing(name, listing);
}

auto Deployment::submitManifest(const std::string &router, const std::string &manifest, const std::string &submission)
    -> Status
{
    return state_->submit(router, manifest, submission);
}

auto Deployment::waitReady(Milliseconds timeout) const -> Status
{
    return state_->waitReady(timeout);
}

} // namespace jasminewood::testbench
