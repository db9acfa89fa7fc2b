#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/engine/chat_chunk.h"
#include "jasminewood/engine/sse_parser.h"
#include "jasminewood/http/client.h"
#include "jasminewood/testbench/child_process.h"
#include "jasminewood/testbench/deployment.h"
#include "jasminewood/testbench/expected_output.h"
#include "jasminewood/testbench/fake_booking.h"

// demo MANIFEST DIRECTORY: starts 3 routers, 12 engines and 3 booking services with their agents, sends a streamed
// quote, a chat and a booking, prints the responses and the time line of the booking, and stops all processes. The exit
// status is 0 only if all three responses were complete and all processes exited with status 0.

using namespace jasminewood;

namespace
{

using nlohmann::json;
using testbench::Deployment;

constexpr int usageExitStatus = 2;
constexpr auto commandTimeout = Milliseconds(60'000);
constexpr auto account = "folije-ljubljana";
constexpr auto bookingKey = "demo-booking-1";
constexpr auto bookingBody = R"({"customer":"Stritarjeva 5, Celje","slot":"Tuesday 9:00"})";

// The outcome of one of the three requests.
struct Outcome
{
    const bool complete_ = false;
    const std::string requestId_;
    const std::string response_;

    auto operator<=>(const Outcome &) const = default;
};

auto printOutcome(const std::string &title, const Outcome &outcome) -> bool
{
    fmt::print("\n{}, request {}: {}\n  {}\n", title, outcome.requestId_, outcome.complete_ ? "whole" : "NOT WHOLE",
        outcome.response_);
    return outcome.complete_;
}

auto printOutcome(const Failure &failure) -> bool
{
    fmt::print("{}\n", toString(failure));
    return false;
}

auto post(const std::string &url, const std::string &body, const std::vector<http::HeaderField> &additionalHeaders)
    -> http::ClientResponse
{
    auto headers = std::vector<http::HeaderField> {{.name_ = "Content-Type", .value_ = "application/json"},
        {.name_ = "Authorization", .value_ = std::string("Bearer demo-key-") + account}};
    for (const auto &header : additionalHeaders) {
        headers.push_back(header);
    }
    const auto response
        = http::fetch(http::ClientRequest {.method_ = "POST", .url_ = url, .headers_ = headers, .body_ = body});
    return response ? *response : http::ClientResponse {.body_ = toString(response.failure())};
}

auto requestIdOf(const http::ClientResponse &response) -> std::string
{
    const auto found = response.headers_.find("x-request-id");
    return found == response.headers_.end() ? std::string() : found->second;
}

auto chatBody(const std::string &model, const std::string &message, bool stream) -> std::string
{
    return json {{"model", model}, {"stream", stream}, {"messages", {{{"role", "user"}, {"content", message}}}}}.dump();
}

auto expectedResponse(const std::string &message) -> std::string
{
    return testbench::expectedText(message, 0, testbench::expectedTokenCount(message, std::nullopt));
}

// Returns the text of a stream; std::nullopt if the end marker is missing or the stream has an error event.
auto streamedText(const std::string &body) -> std::optional<std::string>
{
    auto reader = engine::SseParser();
    auto text = std::string();
    for (const auto &event : reader.feed(body)) {
        if (event == engine::doneMarker) {
            return text;
        }
        const auto chunk = engine::parseChunk(event);
        if (!chunk) {
            return std::nullopt;
        }
        text += chunk->text_;
    }
    return std::nullopt;
}

auto streamQuote(const Deployment &system) -> Outcome
{
    const auto message = std::string("Quote 12 square metres of film 70 for a shop window");
    const auto response = post(system.url("router-1") + "/v1/chat/completions", chatBody("film-quote", message, true),
        {{.name_ = "X-Request-Class", .value_ = "quote-draft"}});
    const auto text = streamedText(response.body_);
    return Outcome {.complete_ = response.status_ == 200 && text == expectedResponse(message),
        .requestId_ = requestIdOf(response),
        .response_ = text.value_or(response.body_)};
}

auto chat(const Deployment &system) -> Outcome
{
    const auto message = std::string("Which film keeps the heat out?");
    const auto response = post(system.url("router-2") + "/v1/chat/completions", chatBody("film-chat", message, false),
        {{.name_ = "X-Request-Class", .value_ = "chat"}});
    const auto parsed = json::parse(response.body_, nullptr, false);
    const auto pointer = json::json_pointer("/choices/0/message/content");
    const auto text = parsed.is_object() && parsed.contains(pointer) ? parsed[pointer].get<std::string>() : "";
    return Outcome {.complete_ = response.status_ == 200 && text == expectedResponse(message),
        .requestId_ = requestIdOf(response),
        .response_ = text.empty() ? response.body_ : text};
}

auto book(const Deployment &system) -> Outcome
{
    const auto response = post(system.url("router-3") + "/services/booking/bookings", bookingBody,
        {{.name_ = "Idempotency-Key", .value_ = bookingKey}});
    const auto parsed = json::parse(response.body_, nullptr, false);
    const auto expected = testbench::expectedConfirmation(bookingKey, bookingBody);
    return Outcome {.complete_ = parsed.is_object() && parsed.value("confirmation", "") == expected,
        .requestId_ = requestIdOf(response),
        .response_ = response.body_};
}

auto readFile(const std::string &path) -> std::string
{
    auto file = std::ifstream(path);
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

// Runs an operator command of jasminewood-router against a router and returns its output; std::nullopt unless its exit
// status is 0.
auto runOperatorCommand(const Deployment &system, const std::string &router, const std::string &directory,
    const std::vector<std::string> &command) -> std::optional<std::string>
{
    auto arguments = command;
    arguments.push_back("--admin_url=" + system.adminUrl(router));
    arguments.push_back("--admin_key=" + system.adminKey());
    const auto child = testbench::ChildProcess::start({.name_ = "operator-" + command.front(),
        .program_ = "jasminewood-router",
        .arguments_ = arguments,
        .directory_ = directory});
    const auto status = child ? (*child)->waitExit(commandTimeout) : Result<int>(child.failure());
    const auto output = readFile(directory + "/operator-" + command.front() + ".out");
    if (!status || *status != 0) {
        fmt::print("jasminewood-router {}: {}\n{}", command.front(),
            status ? fmt::format("exit status {}", *status) : toString(status.failure()), output);
        return std::nullopt;
    }
    return output;
}

// Returns whether the table lists the steps of a claimed request in their order.
auto isComplete(const std::string &table) -> bool
{
    auto position = std::size_t(0);
    for (const auto *step : {" claim ", " dispatch ", " receive ", " start ", " finish ", " answer "}) {
        position = table.find(step, position);
        if (position == std::string::npos) {
            fmt::print("the time line lacks the step{}or has it out of order\n", step);
            return false;
        }
    }
    return true;
}

auto showTimeline(const Deployment &system, const std::string &directory, const std::string &request) -> bool
{
    // router-1 did not process the request, which was sent to router-3.
    const auto table = runOperatorCommand(system, "router-1", directory, {"timeline", request});
    fmt::print("\nTime line of the booking, as router-1 shows it:\n{}", table.value_or(""));
    return table && isComplete(*table);
}

auto sendRequests(const Deployment &system, const std::string &directory) -> bool
{
    const auto quoted = printOutcome("Streamed quote through router-1 in lj-a", streamQuote(system));
    const auto chatted = printOutcome("Chat through router-2 in lj-b", chat(system));
    const auto booking = book(system);
    const auto booked = printOutcome("Booking through router-3 in lj-c", booking);
    return showTimeline(system, directory, booking.requestId_) && quoted && chatted && booked;
}

auto stopProcesses(Deployment &system, const std::vector<std::string> &names) -> bool
{
    for (const auto &name : names) {
        system.terminate(name);
    }
    auto clean = true;
    for (const auto &name : names) {
        const auto status = system.waitExit(name);
        if (!status || *status != 0) {
            fmt::print("{} did not stop cleanly: {}\n", name,
                status ? fmt::format("exit status {}", *status) : toString(status.failure()));
            clean = false;
        }
    }
    return clean;
}

auto stopAll(Deployment &system) -> bool
{
    auto clean = true;
    auto stopped = std::size_t(0);
    for (const auto &group : {system.routers(), system.agents(), system.engines(), system.bookingServices(),
             std::vector<std::string> {"vms", "kv"}}) {
        clean = stopProcesses(system, group) && clean;
        stopped += group.size();
    }
    fmt::print("\nStopped {} processes {}.\n", stopped, clean ? "with exit status 0" : "UNCLEANLY");
    return clean;
}

auto run(const std::string &manifest, const std::string &directory) -> bool
{
    const auto started = Deployment::start({.directory_ = directory,
        .routerDataCentres_ = {"lj-a", "lj-b", "lj-c"},
        .engineCount_ = 12,
        .bookingCount_ = 3,
        .routerFlags_ = {"--stop_notice=200ms"}});
    if (!started) {
        return printOutcome(started.failure());
    }
    auto &system = **started;
    fmt::print(
        "Started {} routers and {} agents with their upstreams.\n", system.routers().size(), system.agents().size());
    const auto submitted = runOperatorCommand(system, "router-1", directory, {"submit", manifest});
    if (!submitted) {
        return false;
    }
    fmt::print("Submitted {}:\n{}", manifest, *submitted);
    if (const auto failure = system.waitReady(commandTimeout)) {
        return printOutcome(*failure);
    }
    const auto succeeded = sendRequests(system, directory);
    return stopAll(system) && succeeded;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 3) {
        fmt::print(stderr, "usage: demo MANIFEST DIRECTORY\n");
        return usageExitStatus;
    }
    const auto succeeded = run(argv[1], argv[2]);
    fmt::print("{}\n", succeeded ? "All three answers were whole." : "The demonstration failed.");
    return succeeded ? 0 : 1;
}
