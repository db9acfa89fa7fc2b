#pragma once

#include <map>
#include <string>

#include "jasminewood/core/clock.h"

// The share that each request class has in recently started work, with exponential decay.
//
//     window.addWork("chat", 200, now);
//     if (window.share("chat") < minimumShare) { ... }

namespace jasminewood::scheduling
{

// Short enough that a class below its minimum share is served again well within the 5 s in which every class must
// complete work.
constexpr Milliseconds shareHalfLife = Milliseconds(2000);

// Not thread-safe. Memory grows with the number of classes that have recent work.
class WorkShareWindow
{
public:
    // Adds work in output tokens. Precondition: now is not earlier than in the previous call.
    auto addWork(const std::string &requestClass, double work, TimePoint now) -> void;

    // Adds work, or subtracts it if negative, without advancing the decay time. Used to correct estimates.
    auto adjustWork(const std::string &requestClass, double work) -> void;

    // Returns the class's fraction of the recent work of all classes, 0 to 1; 0 if there is no recent work.
    auto share(const std::string &requestClass) const -> double;

private:
    auto decay(TimePoint now) -> void;

    std::map<std::string, double> workByClass_;
    TimePoint decayedAt_;
};

} // namespace jasminewood::scheduling
