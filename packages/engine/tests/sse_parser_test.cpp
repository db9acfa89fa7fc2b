#include "jasminewood/engine/sse_parser.h"

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using jasminewood::engine::SseParser;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

using Events = std::vector<std::string>;

auto read(std::string_view bytes) -> Events
{
    return SseParser().feed(bytes);
}

// Reads the bytes in pieces of random lengths.
auto readInPieces(std::string_view bytes) -> Events
{
    auto reader = SseParser();
    auto events = Events();
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        for (const auto &event : reader.feed(bytes.substr(0, size))) {
            events.push_back(event);
        }
        bytes.remove_prefix(size);
    }
    return events;
}

// A stream of pieces that matter to the reader, in any order.
auto anyStream() -> std::string
{
    const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "data: a", "data:", "data", "\r\n", "\n", "\r", ": comment", "event: x", " ", "b"));
    auto stream = std::string();
    for (const auto &part : parts) {
        stream += part;
    }
    return stream;
}

const testkit::TestSuite story = {"the reader of server-sent events",
    {
        section("given whole events",
            {
                // Guards against tokens that are lost with one of the line ends that engines use.
                test("returns their data for every kind of line end",
                    [] {
                        check(read("data: one\n\ndata: two\n\n") == Events {"one", "two"});
                        check(read("data: one\r\n\r\ndata: two\r\n\r\n") == Events {"one", "two"});
                        check(read("data: one\r\rdata: two\r\r") == Events {"one", "two"});
                    }),
                test("joins the data lines of one event and keeps inner spaces",
                    [] {
                        check(read("data:one\ndata:  two\ndata\n\n") == Events {"one\n two\n"});
                    }),
                test("passes over comments, other fields and a byte order mark",
                    [] {
                        check(read("\xEF\xBB\xBF"
                                   "data: a\n\n: keep-alive\n\nevent: x\nid: 1\n\ndatas: b\n\n")
                            == Events {"a"});
                    }),
            }),
        section("given an event without its empty line",
            {
                // Guards against half a chunk that is taken for a whole one when the engine dies.
                test("returns nothing",
                    [] {
                        check(read("data: one\n").empty());
                    }),
            }),
        section("given any split of a stream",
            {
                // Guards against events that depend on how the network cuts the bytes.
                property("returns the same events",
                    [] {
                        const auto stream = anyStream();
                        RC_ASSERT(readInPieces(stream) == read(stream));
                    }),
            }),
        section("given a line or an event without end",
            {
                // Guards against memory that grows with a faulty engine's output.
                test("stops with a fault",
                    [] {
                        auto reader = SseParser();
                        check(reader.feed("data: one\n\n").size() == 1 && !reader.failure());
                        const auto piece = std::string(engine::maximumEventBytes / 2, 'x');
                        check(reader.feed(piece).empty() && !reader.failure());
                        check(reader.feed(piece).empty() && !reader.failure());
                        check(reader.feed(piece).empty() && reader.failure() && reader.failure()->step_ == "read");
                        check(reader.feed("\n\ndata: two\n\n").empty());
                    }),
                test("stops with a fault for many short lines too",
                    [] {
                        auto reader = SseParser();
                        const auto line = "data: " + std::string(1000, 'x') + "\n";
                        for (auto count = 0; count < 2000; ++count) {
                            reader.feed(line);
                        }
                        check(reader.failure().has_value());
                    }),
            }),
    }};

} // namespace
