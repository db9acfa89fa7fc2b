#include "kv_values.h"

namespace jasminewood::testbench::internal
{

auto contains(const KvKeyRange &keyRange, const std::string &key) -> bool
{
    if (keyRange.end_.empty()) {
        return key == keyRange.start_;
    }
    return key >= keyRange.start_ && (keyRange.end_ == std::string(1, '\0') || key < keyRange.end_);
}

} // namespace jasminewood::testbench::internal
