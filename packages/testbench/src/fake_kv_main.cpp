#include <gflags/gflags.h>

#include "jasminewood/testbench/fake_kv.h"
#include "program.h"

DEFINE_uint32(port, 0, "Port on 127.0.0.1; 0 lets the system choose.");

auto main(int argc, char **argv) -> int
{
    using namespace jasminewood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    testbench::internal::blockTermination();
    const auto store = testbench::FakeKv::start({.port_ = std::uint16_t(FLAGS_port)});
    if (!store) {
        return testbench::internal::reportFailure(store.failure());
    }
    testbench::internal::waitForTermination((*store)->port());
    (*store)->stop();
    return 0;
}
