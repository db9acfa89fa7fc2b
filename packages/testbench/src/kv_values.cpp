#include "kv_values.h"

namespace jasminewood::testbench::internal
{

auto contains(const KvSpan &span, const std::string &key) -> bool
{
    if (span.end_.empty()) {
        return key == span.start_;
    }
    return key >= span.start_ && (span.end_ == std::string(1, '\0') || key < span.end_);
}

} // namespace jasminewood::testbench::internal
