#include "jasminewood/deadlines/deadline_class.h"

#include <algorithm>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::deadlines
{

namespace
{

// Each of the first ranks, up to the returned number, has two levels of urgency.
auto splitRanks(std::uint32_t rankCount) -> std::uint32_t
{
    const auto spareLevels = urgencyLevels - std::min(rankCount, urgencyLevels);
    return std::min(rankCount, spareLevels);
}

} // namespace

auto toString(const DeadlineClass &deadlineClass) -> std::string
{
    return std::visit(Overloaded {[](const InTime &) -> std::string {
                                      return "in time";
                                  },
                          [](const Late &) -> std::string {
                              return "late";
                          },
                          [](const Hopeless &) -> std::string {
                              return "hopeless";
                          }},
        deadlineClass);
}

auto isInTime(const DeadlineClass &deadlineClass) -> bool
{
    return std::holds_alternative<InTime>(deadlineClass);
}

auto classify(const FirstTokenEstimate &estimate, const TimeLeft &timeLeft) -> DeadlineClass
{
    if (!timeLeft.untilDue_ || estimate.inTime_ + firstTokenMargin <= *timeLeft.untilDue_) {
        return InTime {};
    }
    return estimate.behindAll_ <= timeLeft.untilTimeout_ ? DeadlineClass(Late {}) : Hopeless {};
}

auto engineUrgency(std::uint32_t rank, std::uint32_t rankCount, const DeadlineClass &deadlineClass) -> std::uint32_t
{
    const auto split = splitRanks(rankCount);
    if (rank >= split) {
        return std::min(rank + split, urgencyLevels - 1);
    }
    return 2 * rank + (isInTime(deadlineClass) ? 0 : 1);
}

} // namespace jasminewood::deadlines
