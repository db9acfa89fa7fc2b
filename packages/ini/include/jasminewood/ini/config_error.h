#pragma once

#include <compare>
#include <string>

// One configuration error in an INI file. All errors of a file are reported together, so that an operator can correct
// them at once.

namespace jasminewood::ini
{

struct ConfigError
{
    const std::string file_;
    // 0 if the error has no line, for example a missing section.
    const int line_ = 0;
    // Section heading without brackets.
    const std::string section_;
    // Empty if the error concerns the section as a whole.
    const std::string key_;
    const std::string expected_;
    const std::string found_;

    auto operator<=>(const ConfigError &) const = default;
};

// Returns "FILE:LINE: [section] key: expected EXPECTED, found FOUND".
auto toString(const ConfigError &configError) -> std::string;

} // namespace jasminewood::ini
