#include "jasminewood/testbench/fake_booking.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

auto book(const FakeBooking &booking, const std::string &key, const std::string &body) -> Result<http::ClientResponse>
{
    return http::fetch({.method_ = "POST",
        .url_ = "http://127.0.0.1:" + std::to_string(booking.port()) + "/bookings",
        .headers_ = {{.name_ = "Idempotency-Key", .value_ = key}},
        .body_ = body});
}

auto linesOf(const std::string &path) -> std::vector<json>
{
    auto lines = std::vector<json>();
    auto file = std::ifstream(path);
    for (auto line = std::string(); std::getline(file, line);) {
        lines.push_back(json::parse(line));
    }
    return lines;
}

const testkit::TestSuite suite = {"a fake booking app",
    {
        section("called twice with the same key",
            {
                // Guards against a fake that deduplicates calls, which would make every at-most-once test pass.
                test("runs twice and records both runs",
                    [] {
                        const auto path
                            = (std::filesystem::temp_directory_path() / fmt::format("history-{}", getpid())).string();
                        const auto booking = FakeBooking::start({.historyPath_ = path});
                        const auto first = book(**booking, "k-1", "{\"slot\":1}");
                        const auto second = book(**booking, "k-1", "{\"slot\":1}");
                        const auto other = book(**booking, "k-2", "{\"slot\":1}");
                        check(json::parse(first->body_)["run"] == 1 && json::parse(second->body_)["run"] == 2);
                        check(
                            json::parse(second->body_)["confirmation"] == expectedConfirmation("k-1", "{\"slot\":1}"));
                        check(json::parse(other->body_)["confirmation"] != expectedConfirmation("k-1", "{\"slot\":1}"));
                        const auto runs = http::fetch(
                            {.url_ = "http://127.0.0.1:" + std::to_string((*booking)->port()) + "/bookings/runs"});
                        check(json::parse(runs->body_) == json({{"k-1", 2}, {"k-2", 1}}));
                        const auto lines = linesOf(path);
                        check(lines.size() == 3 && lines[1]["key"] == "k-1" && lines[1]["run"] == 2);
                        std::remove(path.c_str());
                    }),
            }),
        section("called with a body that is not JSON",
            {
                // Guards against a run that is counted for a rejected call.
                test("rejects the call without counting a run",
                    [] {
                        const auto booking = FakeBooking::start({});
                        check(book(**booking, "k-1", "{")->status_ == 400);
                        check(json::parse(book(**booking, "k-1", "{}")->body_)["run"] == 1);
                    }),
            }),
    }};

} // namespace
