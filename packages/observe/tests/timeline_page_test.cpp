#include "jasminewood/observe/timeline_page.h"
#include "jasminewood/testkit/test_suite.h"

#include <algorithm>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto merged(std::int64_t micros, const std::string &process, const std::string &detail) -> observe::MergedEvent
{
    return observe::MergedEvent {.alignedMicros_ = micros,
        .event_ = {.wallMicros_ = micros,
            .process_ = process,
            .sequence_ = 1,
            .request_ = "r",
            .attempt_ = 1,
            .step_ = "dispatch",
            .peer_ = "",
            .detail_ = detail}};
}

const testkit::TestSuite suite = {"a timeline page",
    {
        section("with a caller's text in an event",
            {
                // Guards against script injection from a caller's text into an operator's browser.
                test("escapes it",
                    [] {
                        const auto page = observe::htmlPage({merged(5, "a@1", "\"><script>x</script>&'")}, "<b>");
                        check(page.find("<script") == std::string::npos && page.find("<b>") == std::string::npos);
                        check(page.find("&quot;&gt;&lt;script&gt;x&lt;/script&gt;&amp;&#39;") != std::string::npos);
                    }),
                // Guards against forged rows in the text table.
                test("keeps it on one line of the text table",
                    [] {
                        const auto table = observe::textTable({merged(5, "a@1", "x\n9 forged")});
                        check(std::count(table.begin(), table.end(), '\n') == 2);
                    }),
            }),
        section("with several processes",
            {
                // Guards against a wrong scale of the axis and against links to other hosts.
                test("has a row for each and no external resources",
                    [] {
                        const auto page = observe::htmlPage(
                            {merged(1000, "a@1", ""), merged(2000, "b@1", ""), merged(5000, "a@1", "")}, "t");
                        check(page.find("left:25.000%") != std::string::npos);
                        check(page.find("left:100.000%") != std::string::npos);
                        check(page.find("http") == std::string::npos && page.find("src=") == std::string::npos);
                        check(!observe::htmlPage({}, "empty").empty());
                    }),
            }),
    }};

} // namespace
