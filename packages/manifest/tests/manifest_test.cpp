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

const testkit::TestSuite suite = {"a manifest",
    {
        section("looked up for a caller",
            {
                // Guards against a caller who has the permissions of another account or class.
                test("returns the account of a key and its allowed classes and models",
                    [] {
                        const auto manifest = sample::parseValid(sample::text());
                        const auto *account = manifest->accountByKeyHash(sample::hashA);
                        check(account != nullptr && account->name_ == "shop");
                        check(manifest->accountByKeyHash(std::string(64, 'b')) == nullptr);
                        check(manifest::isAllowed(*account, "book") && !manifest::isAllowed(*account, "chat"));
                        const auto *quote = manifest->classNamed("quote");
                        check(manifest::isAllowed(*quote, "film", "2") && manifest::isAllowed(*quote, "film", ""));
                        check(!manifest::isAllowed(*quote, "film", "1") && !manifest::isAllowed(*quote, "foil", ""));
                    }),
            }),
        section("looked up for a call of a service",
            {
                // Guards against a booking that is retried because its path matched the route of another path.
                test("selects the longest path prefix that ends at a slash",
                    [] {
                        const auto manifest = sample::parseValid(sample::text()
                            + "[route list]\npool = booking\nmethod = POST\npath = /services/booking\nidempotent = "
                              "yes\n"
                              "class = book\n");
                        check(manifest->routeFor("POST", "/services/booking/confirm/7")->name_ == "confirm");
                        check(manifest->routeFor("POST", "/services/booking/confirmed")->name_ == "list");
                        check(manifest->routeFor("GET", "/services/booking") == nullptr);
                        check(manifest->serviceFor("/services/booking/x")->name_ == "booking");
                        check(manifest->serviceFor("/services/bookings") == nullptr);
                    }),
                // Guards against a retry of a call without a route that may not be idempotent.
                test("allows retries of a call without a route only if its method is safe",
                    [] {
                        const auto manifest = sample::parseValid(sample::text());
                        check(manifest::isIdempotent(*manifest, "GET", "/services/booking/7"));
                        check(!manifest::isIdempotent(*manifest, "PUT", "/services/booking/7"));
                        check(!manifest::isIdempotent(*manifest, "POST", "/services/booking/confirm"));
                    }),
            }),
    }};

} // namespace
