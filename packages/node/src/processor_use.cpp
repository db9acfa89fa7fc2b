#include "jasminewood/node/processor_use.h"

#include <ctime>
#include <utility>

namespace jasminewood::node
{

auto processorTime() -> Microseconds
{
    auto time = timespec {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Microseconds>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

ProcessorMeter::ProcessorMeter(double capacity)
    : capacity_(capacity)
{
}

auto ProcessorMeter::sample(TimePoint now) -> std::optional<double>
{
    const auto total = processorTime();
    const auto used = total - std::exchange(used_, total);
    const auto previous = sampledAt_;
    sampledAt_.emplace(now);
    if (!previous || *previous >= now || capacity_ <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration<double>(used) / std::chrono::duration<double>(now - *previous) / capacity_;
}

} // namespace jasminewood::node
