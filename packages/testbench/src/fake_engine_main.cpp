#include <cstdlib>

#include <gflags/gflags.h>

#include "jasminewood/testbench/fake_engine.h"
#include "program.h"

DEFINE_uint32(port, 0, "Port on 127.0.0.1; 0 lets the system choose.");
DEFINE_string(model, "fake-model", "Name of the model.");
DEFINE_uint32(slots, 8, "Number of sequences that run at the same time.");
DEFINE_double(base_token_ms, 20.0, "Time per token of a sequence that runs alone, in ms.");
DEFINE_double(batch_slowdown, 0.02, "Relative increase of the time per token by each running sequence.");
DEFINE_double(prefill_us_per_byte, 20.0, "Prefill time of a prompt byte that is not cached, in microseconds.");
DEFINE_uint32(cache_blocks, 4096, "Capacity of the prefix cache in blocks of 256 bytes.");
DEFINE_double(time_scale, 1.0, "Factor by which all times are multiplied.");
DEFINE_uint32(report_lag_ms, 0, "Age of the load values in /metrics, in ms.");

auto main(int argc, char **argv) -> int
{
    using namespace jasminewood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    testbench::internal::blockTermination();
    const auto engine = testbench::FakeEngine::start({.port_ = std::uint16_t(FLAGS_port),
        .model_ = FLAGS_model,
        .slots_ = FLAGS_slots,
        .baseTokenMs_ = FLAGS_base_token_ms,
        .batchSlowdown_ = FLAGS_batch_slowdown,
        .prefillMicrosecondsPerByte_ = FLAGS_prefill_us_per_byte,
        .cacheBlocks_ = FLAGS_cache_blocks,
        .timeScale_ = FLAGS_time_scale,
        .reportLag_ = Milliseconds(FLAGS_report_lag_ms),
        .onCrash_ = [] {
            std::_Exit(EXIT_FAILURE);
        }});
    if (!engine) {
        return testbench::internal::reportFailure(engine.failure());
    }
    testbench::internal::waitForTermination((*engine)->port());
    (*engine)->stop();
    return 0;
}
