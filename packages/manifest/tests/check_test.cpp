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

// Checks that a change of the sample manifest causes exactly one error.
auto expectError(const std::string &from, const std::string &to, const std::string &expected) -> void
{
    const auto errors = sample::errorsOf(sample::withReplacement(from, to));
    check(errors == std::vector<std::string> {expected}, errors.empty() ? "no error" : errors.front());
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
    const auto errors = sample::errorsOf(fileText(name));
    check(errors.empty(), errors.empty() ? "" : errors.front());
    const auto manifest = sample::parseValid(fileText(name));
    check(manifest->accounts_.size() == 10 && manifest->classes_.size() == 4);
    const auto *found = manifest->accountByKeyHash(keyHash);
    check(found != nullptr && found->name_ == account);
    check(!manifest::isIdempotent(*manifest, "POST", "/services/booking/confirm"));
}

const testkit::TestSuite suite = {"the validation of a manifest",
    {
        section("that is valid",
            {
                // Guards against defaults and values that are lost when the manifest is built.
                test("returns all its settings",
                    [] {
                        const auto manifest = sample::parseValid(sample::text());
                        const auto &pool = manifest->pools_.at("gpu");
                        check(pool.longLaneSlots_ == 1 && pool.queueLimit_ == 256 && pool.longTokens_ == 1000);
                        const auto &quote = manifest->classes_.at("quote");
                        check(quote.maximumWait_ == Milliseconds(5000) && !quote.hedge_ && quote.costEstimate_ == 256);
                        check(quote.models_.front() == manifest::AllowedModel {.model_ = "film", .version_ = "2"});
                        check(manifest->accounts_.at("shop").workPerSecond_ == 900);
                        check(manifest->routes_.at("confirm").method_ == "POST");
                    }),
                // Guards against example files that are no longer valid, and against wrong key hashes in them.
                test("accepts the example files",
                    [] {
                        checkExample("folijastvo.ini", "folije-ljubljana",
                            "161ba87d0c0d23afe6a5d86bdfcda7037116c919c1e855213ae0db4056a40102");
                        checkExample("steinpleie.ini", "granittsliperi",
                            "97ffd63a70a47c7490a0171b1a73388d21bc2859135b006808f3d1aabb046102");
                    }),
            }),
        section("with one error",
            {
                // Guards against errors with another line, key or reason than the operator has to correct.
                test("reports the invalid value",
                    [] {
                        expectError("tier = 0", "tier = 4",
                            "m.ini:13: [class quote] tier: expected a number from 0 to 3, found \"4\"");
                        expectError("kind = engine", "kind = gpu",
                            "m.ini:2: [pool gpu] kind: expected one of engine, service, found \"gpu\"");
                        expectError("long_lane = 1", "long_lane = 4",
                            "m.ini:4: [pool gpu] long_lane: expected a number from 0 to 3, found \"4\"");
                        expectError(sample::hashA, "abc",
                            "m.ini:23: [account shop] key_sha256: expected 64 lower-case hex digits, found \"abc\"");
                        expectError("path = /services/booking\n", "path = booking/\n",
                            "m.ini:8: [pool booking] path: expected a URL path such as /services/booking, found "
                            "\"booking/\"");
                    }),
                // Guards against misspelled keys and sections that are silently ignored.
                test("reports unknown, duplicate and missing sections and keys",
                    [] {
                        expectError("tier = 0", "tier = 0\ntear = 1",
                            "m.ini:14: [class quote] tear: expected a known key, found \"tear\"");
                        expectError("tier = 0", "tier = 0\ntier = 1",
                            "m.ini:14: [class quote] tier: expected each key once, found a duplicate of line 13");
                        expectError("tier = 0\n", "",
                            "m.ini:12: [class quote] tier: expected a number from 0 to 3, found nothing (the key is "
                            "required)");
                        expectError("[pool gpu]", "[pools x]\n[pool gpu]",
                            "m.ini:1: [pools x]: expected account, class, model, pool or route, found \"pools\"");
                        expectError("[model film]", "[model film]\nversions = 1, 2\npool = gpu\n[model film]",
                            "m.ini:12: [model film]: expected each name once, found a duplicate of line 9");
                    }),
                // Guards against dangling references, which would fail only when a request arrives.
                test("reports the invalid reference",
                    [] {
                        expectError("models = film:2", "models = film:3",
                            "m.ini:15: [class quote] models: expected a version of model film, found \"3\"");
                        expectError("models = film:2", "models = film, foil",
                            "m.ini:15: [class quote] models: expected names of models, found \"foil\"");
                        expectError("classes = quote, book", "classes = quote, chat",
                            "m.ini:25: [account shop] classes: expected the name of a class, found \"chat\"");
                        expectError("classes = quote, book", "classes = book",
                            "m.ini:24: [account shop] default_class: expected one of the account's classes, found "
                            "\"quote\"");
                        expectError("versions = 1, 2\npool = gpu", "versions = 1, 2\npool = gpu2",
                            "m.ini:11: [model film] pool: expected the name of a pool of kind engine, found \"gpu2\"");
                        expectError("path = /services/booking/confirm", "path = /services/bookings",
                            "m.ini:31: [route confirm] path: expected a path below /services/booking, found "
                            "\"/services/bookings\"");
                        expectError("class = book\n", "class = quote\n",
                            "m.ini:33: [route confirm] class: expected the name of a class of pool booking, found "
                            "\"quote\"");
                    }),
                // Guards against two accounts with the same key, and against minimum shares that leave no capacity to
                // be assigned by tier.
                test("reports conflicts between sections",
                    [] {
                        const auto second = "[account second]\nkey_sha256 = " + sample::hashA
                            + "\ndefault_class = quote\nrequests_per_second = 1\nwork_per_second = 1\n[route confirm]";
                        expectError("[route confirm]", second,
                            "m.ini:29: [account second] key_sha256: expected a key of this account only, found a key "
                            "of account shop");
                        expectError("tier = 1", "tier = 1\nminimum_share = 21",
                            "m.ini:20: [class book] minimum_share: expected a sum over all classes of at most 50, "
                            "found a sum of 51");
                    }),
            }),
        section("with several errors",
            {
                // Guards against an operator who must submit again for each error.
                test("reports all of them in the order of their lines",
                    [] {
                        const auto errors
                            = sample::errorsOf("[pool p]\nkind = x\nconcurrency = 1\n[class c]\ntier = 9\n"
                                               "[class \"\"]\n[route r]\n");
                        check(errors.size() == 10, std::to_string(errors.size()));
                        const auto locationLength = std::string("m.ini:N:").size();
                        check(std::is_sorted(
                            errors.begin(), errors.end(), [locationLength](const auto &a, const auto &b) -> bool {
                                return a.substr(0, locationLength) < b.substr(0, locationLength);
                            }));
                    }),
            }),
        section("that is damaged or too large",
            {
                // Guards against a crash on damaged text or its silent acceptance.
                test("reports syntax errors and excessive size",
                    [] {
                        check(sample::errorsOf("[pool gpu\n").front().starts_with("m.ini:1: expected INI text"));
                        check(sample::errorsOf(std::string(manifest::maximumTextSize + 1, ';')).front()
                            == "m.ini: expected at most 1000000 bytes, found 1000001 bytes");
                    }),
                property("rejects the sample without one of its required lines",
                    [] {
                        const auto text = sample::text();
                        auto lines = std::vector<std::string>();
                        auto stream = std::istringstream(text);
                        for (auto line = std::string(); std::getline(stream, line);) {
                            lines.push_back(line + "\n");
                        }
                        const auto droppedLine = *rc::gen::inRange<std::size_t>(0, lines.size());
                        auto remainingText = std::string();
                        for (auto index = std::size_t(0); index < lines.size(); ++index) {
                            remainingText += index == droppedLine ? "" : lines[index];
                        }
                        // Optional keys, and the headings of sections that nothing refers to, may be missing.
                        RC_PRE(!lines[droppedLine].starts_with("long_lane")
                            && !lines[droppedLine].starts_with("minimum_share")
                            && !lines[droppedLine].starts_with("classes"));
                        RC_ASSERT(!sample::errorsOf(remainingText).empty());
                    }),
            }),
    }};

} // namespace
