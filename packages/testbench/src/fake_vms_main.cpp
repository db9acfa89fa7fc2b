#include <gflags/gflags.h>

#include "jasminewood/testbench/fake_vm_list.h"
#include "program.h"

DEFINE_uint32(port, 0, "Port on 127.0.0.1; 0 lets the system choose.");
DEFINE_uint32(lag_ms, 0, "Time after which a new list becomes visible, in ms.");

auto main(int argc, char **argv) -> int
{
    using namespace jasminewood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    testbench::internal::blockTermination();
    const auto list
        = testbench::FakeVmList::start({.port_ = std::uint16_t(FLAGS_port), .lag_ = Milliseconds(FLAGS_lag_ms)});
    if (!list) {
        return testbench::internal::reportFailure(list.failure());
    }
    testbench::internal::waitForTermination((*list)->port());
    (*list)->stop();
    return 0;
}
