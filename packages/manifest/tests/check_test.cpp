#include "jasminewood/manifest/check.h"
#include "jasminewood/testkit/property.h"
#include "sample.h"

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
namespace sample = jasminewood::manifest::sample;

namespace
{

// Checks that a change of the sample gives exactly one fault.
auto givesFault(const std::string &from, const std::string &to, const std::string &expected) -> void
{
    const auto faults = sample::faultsOf(sample::changed(from, to));
    check(faults == std::vector<std::string> {expected}, faults.empty() ? "no fault" : faults.front());
}

auto fileText(const std::string &name) -> std::string
{
    auto stream = std::ifstream(std::string(EXAMPLES_DIRECTORY) + "/" + name);
    auto text = std::ostringstream();
    text << stream.rdbuf();
    return text.str();
}

auto checkExample(const std::string &name, const std::string &account, const std::string &keyHash) -> void
{
    const auto faults = sample::faultsOf(fileText(name));
    check(faults.empty(), faults.empty() ? "" : faults.front());
    const auto manifest = sample::parsed(fileText(name));
    check(manifest->accounts_.size() == 10 && manifest->classes_.size() == 4);
    const auto *found = manifest->accountByKeyHash(keyHash);
    check(found != nullptr && found->name_ == account);
    check(!manifest::isIdempotent(*manifest, "POST", "/services/booking/confirm"));
}

const testkit::TestSuite story = {"the check of a manifest",
    {
        section("that is valid",
            {
                // Guards against defaults and values that get lost on the way into the manifest.
                test("yields all its parts",
                    [] {
                        const auto manifest = sample::parsed(sample::text());
                        const auto &pool = manifest->pools_.at("gpu");
                        check(pool.longLaneSlots_ == 1 && pool.queueLimit_ == 256 && pool.longTokens_ == 1000);
                        const auto &quote = manifest->classes_.at("quote");
                        check(quote.maximumWait_ == Milliseconds(5000) && !quote.hedge_ && quote.costEstimate_ == 256);
                        check(quote.models_.front() == manifest::AllowedModel {.model_ = "film", .version_ = "2"});
                        check(manifest->accounts_.at("shop").workPerSecond_ == 900);
                        check(manifest->routes_.at("confirm").method_ == "POST");
                    }),
                // Guards against example files that no longer fit the check, and against wrong key hashes in them.
                test("accepts the examples of both users",
                    [] {
                        checkExample("folijastvo.ini", "folije-ljubljana",
                            "161ba87d0c0d23afe6a5d86bdfcda7037116c919c1e855213ae0db4056a40102");
                        checkExample("steinpleie.ini", "granittsliperi",
                            "97ffd63a70a47c7490a0171b1a73388d21bc2859135b006808f3d1aabb046102");
                    }),
            }),
        section("with one fault",
            {
                // Guards against faults that name another line, key or reason than the operator has to correct.
                test("names the wrong value",
                    [] {
                        givesFault("tier = 0", "tier = 4",
                            "m.ini:13: [class quote] tier: expected a number from 0 to 3, found \"4\"");
                        givesFault("kind = engine", "kind = gpu",
                            "m.ini:2: [pool gpu] kind: expected one of engine, service, found \"gpu\"");
                        givesFault("long_lane = 1", "long_lane = 4",
                            "m.ini:4: [pool gpu] long_lane: expected a number from 0 to 3, found \"4\"");
                        givesFault(sample::hashA, "abc",
                            "m.ini:23: [account shop] key_sha256: expected 64 lower-case hex digits, found \"abc\"");
                        givesFault("path = /services/booking\n", "path = booking/\n",
                            "m.ini:8: [pool booking] path: expected a URL path such as /services/booking, found "
                            "\"booking/\"");
                    }),
                // Guards against misspelled keys and sections that are silently ignored.
                test("names unknown, repeated and missing parts",
                    [] {
                        givesFault("tier = 0", "tier = 0\ntear = 1",
                            "m.ini:14: [class quote] tear: expected a known key, found \"tear\"");
                        givesFault("tier = 0", "tier = 0\ntier = 1",
                            "m.ini:14: [class quote] tier: expected each key once, found a duplicate of line 13");
                        givesFault("tier = 0\n", "",
                            "m.ini:12: [class quote] tier: expected a number from 0 to 3, found nothing (the key is "
                            "required)");
                        givesFault("[pool gpu]", "[pools x]\n[pool gpu]",
                            "m.ini:1: [pools x]: expected account, class, model, pool or route, found \"pools\"");
                        givesFault("[model film]", "[model film]\nversions = 1, 2\npool = gpu\n[model film]",
                            "m.ini:12: [model film]: expected each name once, found a duplicate of line 9");
                    }),
                // Guards against references into nothing, which would fail only when a request arrives.
                test("names the wrong reference",
                    [] {
                        givesFault("models = film:2", "models = film:3",
                            "m.ini:15: [class quote] models: expected a version of model film, found \"3\"");
                        givesFault("models = film:2", "models = film, foil",
                            "m.ini:15: [class quote] models: expected names of models, found \"foil\"");
                        givesFault("classes = quote, book", "classes = quote, chat",
                            "m.ini:25: [account shop] classes: expected the name of a class, found \"chat\"");
                        givesFault("classes = quote, book", "classes = book",
                            "m.ini:24: [account shop] default_class: expected one of the account's classes, found "
                            "\"quote\"");
                        givesFault("versions = 1, 2\npool = gpu", "versions = 1, 2\npool = gpu2",
                            "m.ini:11: [model film] pool: expected the name of a pool of kind engine, found \"gpu2\"");
                        givesFault("path = /services/booking/confirm", "path = /services/bookings",
                            "m.ini:31: [route confirm] path: expected a path below /services/booking, found "
                            "\"/services/bookings\"");
                        givesFault("class = book\n", "class = quote\n",
                            "m.ini:33: [route confirm] class: expected the name of a class of pool booking, found "
                            "\"quote\"");
                    }),
                // Guards against two callers that count as one, and against shares that leave nothing to the tiers.
                test("names what two sections claim",
                    [] {
                        const auto second = "[account second]\nkey_sha256 = " + sample::hashA
                            + "\ndefault_class = quote\nrequests_per_second = 1\nwork_per_second = 1\n[route confirm]";
                        givesFault("[route confirm]", second,
                            "m.ini:29: [account second] key_sha256: expected a key of this account only, found a key "
                            "of account shop");
                        givesFault("tier = 1", "tier = 1\nminimum_share = 21",
                            "m.ini:20: [class book] minimum_share: expected a sum over all classes of at most 50, "
                            "found a sum of 51");
                    }),
            }),
        section("with several faults",
            {
                // Guards against an operator who must submit once for each fault.
                test("lists all of them in the order of lines",
                    [] {
                        const auto faults
                            = sample::faultsOf("[pool p]\nkind = x\nconcurrency = 1\n[class c]\ntier = 9\n"
                                               "[class \"\"]\n[route r]\n");
                        check(faults.size() == 10, std::to_string(faults.size()));
                        const auto place = std::string("m.ini:N:").size();
                        check(
                            std::is_sorted(faults.begin(), faults.end(), [place](const auto &a, const auto &b) -> bool {
                                return a.substr(0, place) < b.substr(0, place);
                            }));
                    }),
            }),
        section("that is not a manifest at all",
            {
                // Guards against a crash or a silent acceptance of damaged text.
                test("fails on syntax errors and on size",
                    [] {
                        check(sample::faultsOf("[pool gpu\n").front().starts_with("m.ini:1: expected INI text"));
                        check(sample::faultsOf(std::string(manifest::maximumTextSize + 1, ';')).front()
                            == "m.ini: expected at most 1000000 bytes, found 1000001 bytes");
                    }),
                property("never accepts the sample without one of its lines",
                    [] {
                        const auto text = sample::text();
                        auto lines = std::vector<std::string>();
                        auto stream = std::istringstream(text);
                        for (auto line = std::string(); std::getline(stream, line);) {
                            lines.push_back(line + "\n");
                        }
                        const auto dropped = *rc::gen::inRange<std::size_t>(0, lines.size());
                        auto rest = std::string();
                        for (auto index = std::size_t(0); index < lines.size(); ++index) {
                            rest += index == dropped ? "" : lines[index];
                        }
                        // Optional keys, and the headings of parts that nothing refers to, may be missing.
                        RC_PRE(!lines[dropped].starts_with("long_lane") && !lines[dropped].starts_with("minimum_share")
                            && !lines[dropped].starts_with("classes"));
                        RC_ASSERT(!sample::faultsOf(rest).empty());
                    }),
            }),
    }};

} // namespace
