#include "jasminewood/kernel/service_registry.h"

#include <algorithm>

namespace jasminewood::kernel
{

auto ServiceRegistry::startAll() -> Status
{
    for (; started_ < entries_.size(); ++started_) {
        const auto &entry = entries_[started_];
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
    while (started_ > 0) {
        --started_;
        entries_[started_].stop_();
    }
}

auto ServiceRegistry::lookUp(const std::string &name) const -> const Entry *
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&name](const Entry &entry) {
        return entry.name_ == name;
    });
    return found == entries_.end() ? nullptr : &*found;
}

} // namespace jasminewood::kernel
