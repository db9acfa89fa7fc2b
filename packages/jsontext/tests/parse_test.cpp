#include "jasminewood/jsontext/parse.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

auto isRejected(const std::string &text) -> bool
{
    const auto document = jsontext::parse(text);
    return !document && document.failure().step_ == "decode" && document.failure().reason_.size() < 300;
}

auto numberOf(const std::string &text) -> std::optional<std::int64_t>
{
    return jsontext::wholeNumber(*jsontext::parse(text), 0, jsontext::maximumInteger);
}

const testkit::TestSuite suite = {"a JSON text of another writer",
    {
        section("nested too deeply",
            {
                // Guards against a recursive copy of the document that overflows the stack of a thread.
                test("is rejected above the limit",
                    [] {
                        check(bool(jsontext::parse(nested(jsontext::maximumDepth))));
                        check(isRejected(nested(jsontext::maximumDepth + 1)));
                        check(isRejected(nested(500'000)));
                        check(isRejected(R"({"a":")" + std::string(100, '\\') + R"(")" + nested(100)));
                    }),
                test("only in a string, or beside other values, is accepted",
                    [] {
                        check(bool(jsontext::parse(R"({"a":"\")" + std::string(100, '[') + R"(","b":[]})")));
                        auto wide = std::string("[[]");
                        for (auto count = 0; count < 1000; ++count) {
                            wide += ",[{}]";
                        }
                        check(bool(jsontext::parse(wide + "]")));
                    }),
            }),
        section("that is malformed",
            {
                // Guards against an exception for input that no parser accepts, and against a log line of many MB.
                test("is rejected with a short reason",
                    [] {
                        for (const auto *text : {"", "{", "\xff\xfe", "{\"a\":\"\xc3\"}", "1e400", "nul", "]]]"}) {
                            check(isRejected(text), text);
                        }
                        check(isRejected(std::string("[\0]", 3)));
                        check(isRejected(std::string(1'000'000, '7')));
                    }),
                // Guards against an exception for a member of another type.
                test("in a member is rejected",
                    [] {
                        const auto read = [](const nlohmann::json &document) {
                            return document.at("a").get<std::string>();
                        };
                        check(*jsontext::decode(R"({"a":"b"})", read) == "b");
                        check(!jsontext::decode(R"({"a":1})", read) && !jsontext::decode("[]", read));
                    }),
            }),
        section("with a number",
            {
                // Guards against a conversion out of range, whose result depends on the machine.
                test("yields only whole numbers within the bounds",
                    [] {
                        check(numberOf("0") == 0 && numberOf("8.0") == 8 && numberOf("9007199254740992") > 0);
                        for (const auto *text : {"-1", "3.7", "true", "null", "\"8\"", "1e300", "-1e300",
                                 "9007199254740993", "9007199254740994.0", "18446744073709551615", "9.3e18", "[]"}) {
                            check(!numberOf(text), text);
                        }
                    }),
            }),
    }};

} // namespace
