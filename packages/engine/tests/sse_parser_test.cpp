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

auto parse(std::string_view bytes) -> Events
{
    return SseParser().feed(bytes);
}

// Parses the bytes in pieces of random lengths.
auto parseInPieces(std::string_view bytes) -> Events
{
    auto parser = SseParser();
    auto events = Events();
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        for (const auto &event : parser.feed(bytes.substr(0, size))) {
            events.push_back(event);
        }
        bytes.remove_prefix(size);
    }
    return events;
}

// Generates a stream from fragments that are significant to the parser, in any order.
auto generateStream() -> std::string
{
    const auto fragments = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "data: a", "data:", "data", "\r\n", "\n", "\r", ": comment", "event: x", " ", "b"));
    auto stream = std::string();
    for (const auto &fragment : fragments) {
        stream += fragment;
    }
    return stream;
}

const testkit::TestSuite suite = {"the parser of server-sent events",
    {
        section("given complete events",
            {
                // Guards against tokens that are lost with some of the line ends that engines use.
                test("returns their data for every kind of line end",
                    [] {
                        check(parse("data: one\n\ndata: two\n\n") == Events {"one", "two"});
                        check(parse("data: one\r\n\r\ndata: two\r\n\r\n") == Events {"one", "two"});
                        check(parse("data: one\r\rdata: two\r\r") == Events {"one", "two"});
                    }),
                test("joins the data lines of one event and preserves inner spaces",
                    [] {
                        check(parse("data:one\ndata:  two\ndata\n\n") == Events {"one\n two\n"});
                    }),
                test("ignores comments, other fields and a byte order mark",
                    [] {
                        check(parse("\xEF\xBB\xBF"
                                    "data: a\n\n: keep-alive\n\nevent: x\nid: 1\n\ndatas: b\n\n")
                            == Events {"a"});
                    }),
            }),
        section("given an event without the terminating empty line",
            {
                // Guards against an incomplete chunk that is taken for a complete one when the engine crashes.
                test("returns nothing",
                    [] {
                        check(parse("data: one\n").empty());
                    }),
            }),
        section("given a stream split at arbitrary bytes",
            {
                // Guards against events that depend on how the network segments the stream.
                property("returns the same events",
                    [] {
                        const auto stream = generateStream();
                        RC_ASSERT(parseInPieces(stream) == parse(stream));
                    }),
            }),
        section("given an unbounded line or event",
            {
                // Guards against memory that grows with a faulty engine's output.
                test("stops with a failure",
                    [] {
                        auto parser = SseParser();
                        check(parser.feed("data: one\n\n").size() == 1 && !parser.failure());
                        const auto piece = std::string(engine::maximumEventBytes / 2, 'x');
                        check(parser.feed(piece).empty() && !parser.failure());
                        check(parser.feed(piece).empty() && !parser.failure());
                        check(parser.feed(piece).empty() && parser.failure() && parser.failure()->step_ == "read");
                        check(parser.feed("\n\ndata: two\n\n").empty());
                    }),
                test("stops with a failure after many short lines",
                    [] {
                        auto parser = SseParser();
                        const auto line = "data: " + std::string(1000, 'x') + "\n";
                        for (auto count = 0; count < 2000; ++count) {
                            parser.feed(line);
                        }
                        check(parser.failure().has_value());
                    }),
            }),
    }};

} // namespace
