#include "jasminewood/core/ids.h"

#include <fmt/format.h>

namespace jasminewood
{

auto toString(const AttemptId &attempt) -> std::string
{
    return fmt::format("{}#{}", attempt.requestId_, attempt.number_);
}

auto toString(const NodeId &node) -> std::string
{
    return fmt::format("{}@{:x}", node.name_, node.incarnation_);
}

} // namespace jasminewood
