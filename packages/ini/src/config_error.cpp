#include "jasminewood/ini/config_error.h"

#include <fmt/format.h>

namespace jasminewood::ini
{

auto toString(const ConfigError &configError) -> std::string
{
    const auto location
        = configError.line_ > 0 ? fmt::format("{}:{}", configError.file_, configError.line_) : configError.file_;
    const auto section = configError.section_.empty() ? std::string() : fmt::format(" [{}]", configError.section_);
    const auto key = configError.key_.empty() ? std::string() : " " + configError.key_;
    const auto colon = section.empty() && key.empty() ? "" : ":";
    return fmt::format(
        "{}:{}{}{} expected {}, found {}", location, section, key, colon, configError.expected_, configError.found_);
}

} // namespace jasminewood::ini
