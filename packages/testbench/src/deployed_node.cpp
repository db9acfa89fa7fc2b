#include "deployed_node.h"

#include <charconv>
#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::testbench::internal
{

namespace
{

auto executableName(const Program &program) -> std::string
{
    return std::visit(Overloaded {[](const FakeProgram &fake) -> std::string {
                                      return fake.file_;
                                  },
                          [](const RouterProgram & /*router*/) -> std::string {
                              return "jasminewood-router";
                          },
                          [](const AgentProgram & /*agent*/) -> std::string {
                              return "jasminewood-agent";
                          }},
        program);
}

auto listenFlag(const std::string &flag, std::uint16_t port) -> std::string
{
    return fmt::format("--{}_listen=127.0.0.1:{}", flag, port);
}

auto portFlags(const Program &program, const Ports &ports) -> std::vector<std::string>
{
    return std::visit(Overloaded {[&](const FakeProgram & /*fake*/) -> std::vector<std::string> {
                                      return {fmt::format("--port={}", ports.service_)};
                                  },
                          [&](const RouterProgram & /*router*/) -> std::vector<std::string> {
                              return {listenFlag("callers", ports.service_), listenFlag("admin", ports.admin_),
                                  listenFlag("peers", ports.link_)};
                          },
                          [&](const AgentProgram & /*agent*/) -> std::vector<std::string> {
                              return {listenFlag("metrics", ports.service_), listenFlag("links", ports.link_)};
                          }},
        program);
}

// Returns the digits at the end of the text.
auto trailingNumber(const std::string &text) -> std::uint16_t
{
    auto number = std::uint16_t(0);
    const auto begin = text.find_last_not_of("0123456789") + 1;
    std::from_chars(text.data() + begin, text.data() + text.size(), number);
    return number;
}

} // namespace

DeployedNode::DeployedNode(NodeOptions options)
    : options_(std::move(options))
{
}

auto DeployedNode::start() -> Status
{
    auto arguments = portFlags(options_.program_, ports_.value_or(Ports {}));
    arguments.insert(arguments.end(), options_.flags_.begin(), options_.flags_.end());
    const auto started = ChildProcess::start({.name_ = options_.name_,
        .program_ = executableName(options_.program_),
        .arguments_ = arguments,
        .directory_ = options_.directory_});
    if (!started) {
        return started.failure();
    }
    process_ = *started;
    const auto ports = std::visit(
        [this](const auto &program) -> Result<Ports> {
            return readPorts(program);
        },
        options_.program_);
    if (!ports) {
        return ports.failure();
    }
    ports_.emplace(*ports);
    return std::nullopt;
}

auto DeployedNode::options() const -> const NodeOptions &
{
    return options_;
}

auto DeployedNode::ports() const -> const Ports &
{
    return *ports_;
}

auto DeployedNode::process() const -> ChildProcess &
{
    return *process_;
}

auto DeployedNode::vmEntry(bool leaving) const -> nlohmann::json
{
    const auto *agent = std::get_if<AgentProgram>(&options_.program_);
    return {{"targets", {fmt::format("127.0.0.1:{}", ports().link_)}},
        {"labels",
            {{"role", agent == nullptr ? "router" : "agent"}, {"name", options_.name_},
                {"pool", agent == nullptr ? "" : agent->pool_}, {"data_centre", options_.dataCentre_},
                {"state", leaving ? "leaving" : "live"}}}};
}

auto DeployedNode::readPorts(const FakeProgram & /*program*/) -> Result<Ports>
{
    const auto line = process_->waitLine("listening ", options_.deadline_);
    if (!line) {
        return line.failure();
    }
    return Ports {.service_ = trailingNumber(*line)};
}

auto DeployedNode::readPorts(const RouterProgram & /*program*/) -> Result<Ports>
{
    const auto link = loggedPort("listening for routers");
    const auto admin = link ? loggedPort("listening for operators") : link;
    const auto callers = admin ? loggedPort("listening for callers") : admin;
    if (!callers) {
        return callers.failure();
    }
    return Ports {.service_ = *callers, .admin_ = *admin, .link_ = *link};
}

auto DeployedNode::readPorts(const AgentProgram & /*program*/) -> Result<Ports>
{
    const auto link = loggedPort("listening for routers");
    const auto metrics = link ? loggedPort("listening for metrics") : link;
    if (!metrics) {
        return metrics.failure();
    }
    return Ports {.service_ = *metrics, .link_ = *link};
}

auto DeployedNode::loggedPort(const std::string &message) -> Result<std::uint16_t>
{
    const auto line = process_->waitLine('"' + message + '"', options_.deadline_);
    if (!line) {
        return line.failure();
    }
    const auto json = nlohmann::json::parse(*line, nullptr, false);
    if (!json.is_object()) {
        return Failure {.step_ = "wait", .peer_ = options_.name_, .reason_ = "the log line is not JSON: " + *line};
    }
    return json.contains("port") ? json.value("port", std::uint16_t(0)) : trailingNumber(json.value("address", ""));
}

} // namespace jasminewood::testbench::internal
