#include "jasminewood/testbench/fake_booking.h"
#include "jasminewood/testbench/fake_kv.h"
#include "jasminewood/testbench/fake_vm_list.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_under_test.h"

namespace jasminewood::router
{

namespace
{

using testkit::check;
using testkit::test;

auto localUrl(std::uint16_t port) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(port);
}

// A router with one agent and one booking service.
struct BookingFleet
{
    BookingFleet()
        : booking_(testbench::FakeBooking::start({}))
        , keyValues_(testbench::FakeKv::start({}))
        , vms_(testbench::FakeVmList::start({}))
        , agent_(agent::ServiceUpstream {.baseUrl_ = localUrl((*booking_)->port())})
        , router_(PlatformUrls {.keyValue_ = localUrl((*keyValues_)->port()), .vmList_ = localUrl((*vms_)->port())})
    {
        const auto listed = http::fetch(http::ClientRequest {
            .method_ = "PUT", .url_ = localUrl((*vms_)->port()) + "/v1/targets", .body_ = agent_.vmList()});
        check(bool(listed), "the VM list was not taken");
        router_.offer(sampleManifest());
        router_.awaitReadiness(200, "ready");
    }

    // Makes the booking and returns the time line of the request.
    auto book() const -> std::string
    {
        const auto answer = router_.call(
            "POST", "/services/booking/bookings", "{}", {{.name_ = "Idempotency-Key", .value_ = "order-17"}});
        check(answer.status_ == 200, answer.body_);
        return router_.administer("GET", "/admin/timeline?request=" + answer.headers_.at("x-request-id")).body_;
    }

    const Result<std::shared_ptr<testbench::FakeBooking>> booking_;
    const Result<std::shared_ptr<testbench::FakeKv>> keyValues_;
    const Result<std::shared_ptr<testbench::FakeVmList>> vms_;
    AgentUnderTest agent_;
    RouterUnderTest router_;
};

auto checkOrder(const std::string &table, const std::vector<std::string> &parts) -> void
{
    auto position = std::size_t(0);
    for (const auto &part : parts) {
        position = table.find(part, position);
        check(position != std::string::npos, "\"" + part + "\" is not in its place in:\n" + table);
    }
}

// Guards against a request whose end or first attempt an operator cannot find.
const testkit::TestSuite bookingTimeline = {"the time line of a booking",
    {
        test("shows the events of router and agent in order",
            [] {
                checkOrder(
                    BookingFleet().book(), {" claim ", " dispatch ", " receive ", " start ", " finish ", " answer "});
            }),
        test("names the attempt that ran and the stored answer if it is repeated",
            [] {
                const auto fleet = BookingFleet();
                const auto first = fleet.book();
                const auto attempt = first.substr(first.find("router-"), first.find("#1") + 2 - first.find("router-"));
                checkOrder(fleet.book(), {" claim ", " claimed ", attempt, " answer ", "stored answer"});
            }),
    }};

} // namespace

} // namespace jasminewood::router
