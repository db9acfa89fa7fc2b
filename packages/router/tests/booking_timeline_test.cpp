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
struct BookingCluster
{
    BookingCluster()
        : booking_(testbench::FakeBooking::start({}))
        , keyValues_(testbench::FakeKv::start({}))
        , vms_(testbench::FakeVmList::start({}))
        , agent_(agent::ServiceUpstream {.baseUrl_ = localUrl((*booking_)->port())})
        , router_(PlatformUrls {.keyValue_ = localUrl((*keyValues_)->port()), .vmList_ = localUrl((*vms_)->port())})
    {
        const auto vmListPut = http::fetch(http::ClientRequest {
            .method_ = "PUT", .url_ = localUrl((*vms_)->port()) + "/v1/targets", .body_ = agent_.vmList()});
        check(bool(vmListPut), "the VM list was not accepted");
        router_.setManifest(sampleManifest());
        router_.awaitReadiness(200, "ready");
    }

    // Sends a booking, always with the same idempotency key, and returns the timeline of the request.
    auto book() const -> std::string
    {
        const auto response = router_.call(
            "POST", "/services/booking/bookings", "{}", {{.name_ = "Idempotency-Key", .value_ = "order-17"}});
        check(response.status_ == 200, response.body_);
        return router_.administer("GET", "/admin/timeline?request=" + response.headers_.at("x-request-id")).body_;
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
        check(position != std::string::npos, "\"" + part + "\" is missing or out of order in:\n" + table);
    }
}

// Guards against a timeline that lacks the end of a request or, for a retried request, the attempt that ran.
const testkit::TestSuite bookingTimeline = {"the timeline of a booking",
    {
        test("shows the events of router and agent in order",
            [] {
                checkOrder(
                    BookingCluster().book(), {" claim ", " dispatch ", " receive ", " start ", " finish ", " answer "});
            }),
        test("shows the attempt that ran and the stored response if the booking is retried",
            [] {
                const auto cluster = BookingCluster();
                const auto first = cluster.book();
                const auto attempt = first.substr(first.find("router-"), first.find("#1") + 2 - first.find("router-"));
                checkOrder(cluster.book(), {" claim ", " claimed ", attempt, " answer ", "stored answer"});
            }),
    }};

} // namespace

} // namespace jasminewood::router
