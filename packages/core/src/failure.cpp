#include "jasminewood/core/failure.h"

#include <fmt/format.h>

namespace jasminewood
{

auto toString(RunState state) -> std::string_view
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::MayHaveRun:
        break;
    }
    return "may_have_run";
}

auto toString(const Failure &failure) -> std::string
{
    const auto location = failure.peer_.empty() ? std::string() : " at " + failure.peer_;
    return fmt::format("{}{}: {} ({})", failure.step_, location, failure.reason_, toString(failure.runState_));
}

} // namespace jasminewood
