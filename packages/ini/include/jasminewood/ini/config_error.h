#pragma once

#include <compare>
#include <string>

// One wrong place in an INI file. Checks list all faults of a file at once, so that an operator can correct them in one
// go.

namespace jasminewood::ini
{

struct ConfigError
{
    const std::string file_;
    // 0 if the fault belongs to no line, as with a missing section.
    const int line_ = 0;
    // Heading without brackets.
    const std::string section_;
    // Empty if the fault is one of the section as a whole.
    const std::string key_;
    const std::string expected_;
    const std::string found_;

    auto operator<=>(const ConfigError &) const = default;
};

// Returns "FILE:LINE: [section] key: expected EXPECTED, found FOUND".
auto toString(const ConfigError &fault) -> std::string;

} // namespace jasminewood::ini
