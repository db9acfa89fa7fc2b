#include "jasminewood/ini/scalar.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite suite = {"a single value",
    {
        section("that is a number",
            {
                // Guards against a text that is accepted although only its beginning is a number.
                test("is accepted only if the whole text is a number",
                    [] {
                        check(ini::parseInteger("-12") == -12);
                        check(!ini::parseInteger("12x") && !ini::parseInteger("") && !ini::parseInteger("1 2"));
                        check(!ini::parseInteger("99999999999999999999"));
                    }),
                // Guards against a fraction that is truncated to its integer part, and against infinite values.
                test("may have decimals if it is parsed as a decimal",
                    [] {
                        check(ini::parseDecimal("0.25") == 0.25 && ini::parseDecimal("54") == 54);
                        check(!ini::parseDecimal("0.2x") && !ini::parseDecimal("inf") && !ini::parseDecimal(""));
                    }),
                // Guards against mistaken units and against overflow.
                test("may have a unit of time",
                    [] {
                        check(ini::parseDuration("250ms") == 250ms && ini::parseDuration("3s") == 3s);
                        check(ini::parseDuration("2m") == 2min && ini::parseDuration("7") == 7ms);
                        check(!ini::parseDuration("-1s") && !ini::parseDuration("ms") && !ini::parseDuration("1d"));
                        check(!ini::parseDuration("9223372036854775807h"));
                    }),
            }),
        section("that is a list",
            {
                // Guards against empty names after a trailing comma.
                test("is parsed without whitespace and empty items",
                    [] {
                        check(ini::parseList(" a, b ,,c,") == std::vector<std::string> {"a", "b", "c"});
                        check(ini::parseList(" ").empty());
                    }),
            }),
    }};

} // namespace
