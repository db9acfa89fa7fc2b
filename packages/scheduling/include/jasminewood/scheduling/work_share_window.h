#pragma once

#include <map>
#include <string>

#include "jasminewood/core/clock.h"

// Each class's share of recently started work, over an exponentially decaying window.
//
//     window.charge("chat", 200, now);
//     if (window.share("chat") < minimumShare) { ... }

namespace jasminewood::scheduling
{

// A class that fell behind is served again well within the 5 s in which every class has to complete work.
constexpr Milliseconds shareHalfLife = Milliseconds(2000);

// Not thread-safe. Memory grows with the number of classes that have recent work.
class WorkShareWindow
{
public:
    // Adds work in output tokens. Precondition: now does not go backwards.
    auto addWork(const std::string &requestClass, double work, TimePoint now) -> void;

    // Adds or takes back work at the time of the last charge, for estimates that turned out wrong.
    auto adjustWork(const std::string &requestClass, double work) -> void;

    // Returns the fraction of recent work, 0 to 1; 0 if there is no recent work at all.
    auto share(const std::string &requestClass) const -> double;

private:
    auto decay(TimePoint now) -> void;

    std::map<std::string, double> work_;
    TimePoint updated_;
};

} // namespace jasminewood::scheduling
