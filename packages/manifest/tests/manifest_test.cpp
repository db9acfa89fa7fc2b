#include "jasminewood/manifest/manifest.h"
#include "jasminewood/testkit/test_suite.h"
#include "sample.h"

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
namespace sample = jasminewood::manifest::sample;

namespace
{

const testkit::TestSuite story = {"a manifest",
    {
        section("asked for a caller",
            {
                // Guards against a caller who gets the rights of another account or class.
                test("knows the account of a key and its classes and models",
                    [] {
                        const auto manifest = sample::parsed(sample::text());
                        const auto *account = manifest->accountByKeyHash(sample::hashA);
                        check(account != nullptr && account->name_ == "shop");
                        check(manifest->accountByKeyHash(std::string(64, 'b')) == nullptr);
                        check(manifest::isAllowed(*account, "book") && !manifest::isAllowed(*account, "chat"));
                        const auto *quote = manifest->classNamed("quote");
                        check(manifest::isAllowed(*quote, "film", "2") && manifest::isAllowed(*quote, "film", ""));
                        check(!manifest::isAllowed(*quote, "film", "1") && !manifest::isAllowed(*quote, "foil", ""));
                    }),
            }),
        section("asked for a call of a service",
            {
                // Guards against a booking that is repeated because its path was taken for another.
                test("takes the longest prefix that ends at a slash",
                    [] {
                        const auto manifest = sample::parsed(sample::text()
                            + "[route list]\npool = booking\nmethod = POST\npath = /services/booking\nidempotent = "
                              "yes\n"
                              "class = book\n");
                        check(manifest->routeFor("POST", "/services/booking/confirm/7")->name_ == "confirm");
                        check(manifest->routeFor("POST", "/services/booking/confirmed")->name_ == "list");
                        check(manifest->routeFor("GET", "/services/booking") == nullptr);
                        check(manifest->serviceFor("/services/booking/x")->name_ == "booking");
                        check(manifest->serviceFor("/services/bookings") == nullptr);
                    }),
                // Guards against a call without a route that is repeated although it may change something.
                test("repeats a call without a route only if its method is safe",
                    [] {
                        const auto manifest = sample::parsed(sample::text());
                        check(manifest::isIdempotent(*manifest, "GET", "/services/booking/7"));
                        check(!manifest::isIdempotent(*manifest, "PUT", "/services/booking/7"));
                        check(!manifest::isIdempotent(*manifest, "POST", "/services/booking/confirm"));
                    }),
            }),
    }};

} // namespace
