#include "jasminewood/routes/route_table.h"

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routes;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto routeTo(const std::string &service, const std::string &host, const std::string &prefix) -> Route
{
    return {.name_ = service, .host_ = host, .pathPrefix_ = prefix, .weightedServices_ = {{.service_ = service}}};
}

auto sample() -> Configuration
{
    return {.version_ = 3,
        .routes_ = {routeTo("all", "shop.example", "/"), routeTo("films", "shop.example", "/films/"),
            routeTo("quotes", "shop.example", "/films/quotes/"), routeTo("other", "else.example", "/films/")},
        .services_ = {{.name_ = "films", .healthPath_ = "/health"}},
        .access_ = AccountAccess {.accounts_ = {{.name_ = "installer", .keys_ = {"k1", "k2"}, .priority_ = 1}}}};
}

const testkit::TestSuite story = {"a route table",
    {
        section("with several prefixes of one host",
            {
                // Guards against routing a request to the service of a shorter prefix.
                test("matches the longest one",
                    [] {
                        const auto table = RouteTable(sample());
                        check(table.matchRoute("shop.example", "/films/quotes/7")->name_ == "quotes");
                        check(table.matchRoute("Shop.Example:8080", "/films/quotes?x=1")->name_ == "films");
                        check(table.matchRoute("shop.example", "/filmsx/")->name_ == "all");
                        check(table.matchRoute("else.example", "/") == nullptr);
                        check(table.matchRoute("unknown.example", "/") == nullptr);
                    }),
            }),
        section("with accounts",
            {
                // Guards against accepting an unknown key, or a key as that of another account.
                test("finds an account only by its own keys",
                    [] {
                        const auto table = RouteTable(sample());
                        check(table.findAccount("k2")->name_ == "installer");
                        check(table.findAccount("k3") == nullptr && table.findAccount("") == nullptr);
                    }),
                // Guards against requests without a key that are taken for those of an account.
                test("finds none by an empty key, even if an account holds it",
                    [] {
                        const auto table = RouteTable(
                            {.access_ = AccountAccess {.accounts_ = {{.name_ = "installer", .keys_ = {"", "k1"}}}}});
                        check(table.findAccount("") == nullptr && table.findAccount("k1") != nullptr);
                    }),
            }),
        section("with priorities of accounts and routes",
            {
                // Guards against an engine that preempts a request for a less urgent one of an account of equal
                // priority.
                test("orders by the account's priority, then by the route's",
                    [] {
                        const auto first
                            = Route {.name_ = "chat", .priority_ = 0, .weightedServices_ = {{.service_ = "s"}}};
                        const auto second
                            = Route {.name_ = "scan", .priority_ = 1, .weightedServices_ = {{.service_ = "s"}}};
                        const auto high = Account {.name_ = "high", .priority_ = 0};
                        const auto low = Account {.name_ = "low", .priority_ = 1};
                        const auto table = RouteTable(
                            {.routes_ = {first, second}, .access_ = AccountAccess {.accounts_ = {high, low}}});
                        check(table.enginePriority(first, &high) < table.enginePriority(second, &high));
                        check(table.enginePriority(second, &high) < table.enginePriority(first, &low));
                        check(table.enginePriority(first, &low) < table.enginePriority(second, &low));
                        check(table.enginePriority(first, nullptr) == table.enginePriority(first, &high));
                        check(table.enginePriorityCount() == 4);
                    }),
                // Guards against a priority outside the range that engines accept.
                test("stays within the engine levels for any number of priorities",
                    [] {
                        auto routes = std::vector<Route>();
                        for (auto priority = 0U; priority < 40; ++priority) {
                            routes.push_back({.priority_ = priority, .weightedServices_ = {{.service_ = "s"}}});
                        }
                        const auto table = RouteTable({.routes_ = routes});
                        check(table.enginePriority(routes.front(), nullptr) == 0);
                        check(table.enginePriority(routes.back(), nullptr) == enginePriorityLevels - 1);
                        check(table.enginePriorityCount() == enginePriorityLevels);
                    }),
            }),
        section("with a route to several weighted services",
            {
                // Guards against a service of weight 0 that receives requests, and against shares that do not follow
                // the weights.
                property("chooses each service in proportion to its weight",
                    [](std::uint32_t first, std::uint32_t second) {
                        const auto a = first % 100;
                        const auto b = second % 100 + 1;
                        const auto route = Route {
                            .weightedServices_ = {{.service_ = "a", .weight_ = a}, {.service_ = "b", .weight_ = b}}};
                        auto toFirst = std::uint32_t(0);
                        for (auto draw = std::uint64_t(0); draw < a + b; ++draw) {
                            toFirst += chooseService(route, draw) == "a" ? 1 : 0;
                        }
                        RC_ASSERT(toFirst == a);
                    }),
            }),
    }};

} // namespace
