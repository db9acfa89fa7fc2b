#include "jasminewood/kernel/service_registry.h"

#include <algorithm>

namespace jasminewood::kernel
{

auto ServiceRegistry::startAll() -> Status
{
    for (; startedCount_ < entries_.size(); ++startedCount_) {
        const auto &entry = entries_[startedCount_];
        const auto failure = entry.start_(*this);
        if (failure) {
            stopAll();
            const auto reason = failure->peer_.empty() ? failure->reason_ : failure->peer_ + ": " + failure->reason_;
            return Failure {.step_ = failure->step_, .peer_ = entry.name_, .reason_ = reason};
        }
    }
    return std::nullopt;
}

auto ServiceRegistry::stopAll() -> void
{
    while (startedCount_ > 0) {
        --startedCount_;
        entries_[startedCount_].stop_();
    }
}

auto ServiceRegistry::findEntry(const std::string &name) const -> const Entry *
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&name](const Entry &entry) {
        return entry.name_ == name;
    });
    return found == entries_.end() ? nullptr : &*found;
}

} // namespace jasminewood::kernel
