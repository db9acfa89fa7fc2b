#include "jasminewood/duties/usage_ledger.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::duties;
using testkit::check;
using testkit::section;
using testkit::test;

const auto counts = AccountCounts {{"huka", 412}, {"puhu", 7}};

const testkit::TestSuite suite = {"the ledger of windows",
    {
        section("in the store",
            {
                test("is read as it was written",
                    [] {
                        const auto ledger = UsageLedger().withFixed(1, {}).withFixed(2, counts).withAccepted(1);
                        check(*parseLedger(formatLedger(ledger)) == ledger);
                    }),
                test("has the newest windows, and the accepted ones without counts",
                    [] {
                        auto ledger = UsageLedger();
                        for (auto number = WindowNumber(1); number <= 6; ++number) {
                            ledger = ledger.withFixed(number, counts);
                        }
                        const auto stored = *parseLedger(formatLedger(ledger.withAccepted(5)));
                        check(stored.windows().size() == storedWindows && stored.newest() == 6);
                        check(stored.windows().at(5) == FixedWindow {.accepted_ = true});
                        check(stored.windows().at(6) == FixedWindow {.counts_ = counts});
                    }),
                // Guards against a router that stops at a value of another writer.
                test("is not read from another text",
                    [] {
                        for (const auto *text : {"", "[]", "{}", R"({"windows":[{"number":-1,"accepted":true}]})",
                                 R"({"windows":[{"number":1,"accepted":false,"counts":{"a":1.5}}]})"}) {
                            check(!parseLedger(text), text);
                        }
                    }),
            }),
        section("after the store came back from an older copy",
            {
                // Guards against a second report of a window with other counts.
                test("keeps what was fixed and is no longer in the store",
                    [] {
                        const auto remembered = UsageLedger().withFixed(1, counts).withFixed(2, counts);
                        const auto restored = UsageLedger().withFixed(1, counts);
                        check(remembered.merged(restored) == remembered && restored.merged(remembered) == remembered);
                        check(!contradict(remembered, restored));
                        check(contradict(remembered, UsageLedger().withFixed(2, {{"huka", 1}})));
                    }),
            }),
    }};

} // namespace
