#include <gflags/gflags.h>

#include "jasminewood/testbench/fake_booking.h"
#include "program.h"

DEFINE_uint32(port, 0, "Port on 127.0.0.1; 0 lets the system choose.");
DEFINE_uint32(work_ms, 0, "Duration of one booking, in ms.");
DEFINE_string(history, "", "File to which one JSON line is appended for each run.");

auto main(int argc, char **argv) -> int
{
    using namespace jasminewood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    testbench::internal::blockTermination();
    const auto booking = testbench::FakeBooking::start({.port_ = std::uint16_t(FLAGS_port),
        .serviceTime_ = Milliseconds(FLAGS_work_ms),
        .historyPath_ = FLAGS_history});
    if (!booking) {
        return testbench::internal::reportFailure(booking.failure());
    }
    testbench::internal::waitForTermination((*booking)->port());
    (*booking)->stop();
    return 0;
}
