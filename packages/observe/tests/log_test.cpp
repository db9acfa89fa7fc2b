#include "jasminewood/observe/log.h"
#include "jasminewood/testkit/property.h"

#include <array>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto node = NodeId {.name_ = "router-a", .incarnation_ = 7};

auto readAll(int descriptor) -> std::string
{
    auto text = std::string();
    auto buffer = std::array<char, 4096>();
    while (true) {
        const auto count = ::read(descriptor, buffer.data(), buffer.size());
        if (count <= 0) {
            return text;
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

const testkit::TestSuite suite = {"a log line",
    {
        section("with ordinary content",
            {
                // Guards against changed field names, which operators' tools parse.
                test("has the fixed fields, then the caller's fields in order",
                    [] {
                        const auto time
                            = std::chrono::system_clock::time_point(std::chrono::milliseconds(1'000'000'042));
                        const auto line = observe::formatLine(time, observe::Level::Warning, node, "late",
                            observe::concatenate(observe::fieldsOf(AttemptId {.requestId_ = "r1", .number_ = 2}),
                                {{.key_ = "share", .value_ = 0.5}, {.key_ = "hedged", .value_ = true}}));
                        check(line
                                == "{\"ts\":\"1970-01-12T13:46:40.042Z\",\"level\":\"warning\",\"process\":\"router-"
                                   "a\","
                                   "\"incarnation\":7,\"message\":\"late\",\"request\":\"r1\",\"attempt\":2,"
                                   "\"share\":0.5,\"hedged\":true}\n",
                            line);
                    }),
            }),
        section("with arbitrary bytes",
            {
                // Guards against message text that forges log lines or breaks their JSON.
                property("is one line of valid JSON",
                    [](const std::string &message, const std::string &value) {
                        const auto line = observe::formatLine(
                            {}, observe::Level::Info, node, message, {{.key_ = "value", .value_ = value}});
                        RC_ASSERT(line.find('\n') == line.size() - 1);
                        RC_ASSERT(!nlohmann::json::parse(line, nullptr, false).is_discarded());
                    }),
            }),
        section("written to a full pipe",
            {
                // Guards against requests that block because nothing reads the log.
                test("is dropped and counted in the next line",
                    [] {
                        auto ends = std::array<int, 2>();
                        check(::pipe(ends.data()) == 0);
                        const auto log = observe::Log(node, observe::Level::Info, ends[1], observe::Overflow::Drop);
                        // A pipe holds 64 KiB.
                        for (auto line = 0; line < 1'000; ++line) {
                            log.info(std::string(100, 'x'));
                        }
                        auto buffer = std::array<char, 65'536>();
                        check(::read(ends[0], buffer.data(), buffer.size()) > 0);
                        log.info("after");
                        ::close(ends[1]);
                        const auto rest = readAll(ends[0]);
                        check(
                            rest.find("after") != std::string::npos && rest.find("\"dropped\":") != std::string::npos);
                        ::close(ends[0]);
                    }),
            }),
        section("written by several threads",
            {
                // Guards against interleaved lines and against lines below the minimum level.
                test("is not interleaved with others",
                    [] {
                        constexpr int threadCount = 4;
                        constexpr int linesEach = 100;
                        auto ends = std::array<int, 2>();
                        check(::pipe(ends.data()) == 0);
                        auto text = std::string();
                        auto reader = std::thread([&] {
                            text = readAll(ends[0]);
                        });
                        {
                            const auto log = observe::Log(node, observe::Level::Info, ends[1]);
                            auto writers = std::vector<std::thread>();
                            for (auto index = 0; index < threadCount; ++index) {
                                writers.emplace_back([handle = log.with({{.key_ = "thread", .value_ = index}})] {
                                    for (auto line = 0; line < linesEach; ++line) {
                                        handle.debug("hidden");
                                        handle.info(std::string(200, 'x'));
                                    }
                                });
                            }
                            for (auto &writer : writers) {
                                writer.join();
                            }
                        }
                        ::close(ends[1]);
                        reader.join();
                        ::close(ends[0]);
                        auto lines = 0;
                        auto stream = std::istringstream(text);
                        for (auto line = std::string(); std::getline(stream, line); ++lines) {
                            check(nlohmann::json::parse(line).at("message").get<std::string>().size() == 200);
                        }
                        check(lines == threadCount * linesEach);
                    }),
            }),
    }};

} // namespace
