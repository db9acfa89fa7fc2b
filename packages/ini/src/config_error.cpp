#include "jasminewood/ini/config_error.h"

#include <fmt/format.h>

namespace jasminewood::ini
{

auto toString(const ConfigError &fault) -> std::string
{
    const auto place = fault.line_ > 0 ? fmt::format("{}:{}", fault.file_, fault.line_) : fault.file_;
    const auto section = fault.section_.empty() ? std::string() : fmt::format(" [{}]", fault.section_);
    const auto key = fault.key_.empty() ? std::string() : " " + fault.key_;
    const auto colon = section.empty() && key.empty() ? "" : ":";
    return fmt::format("{}:{}{}{} expected {}, found {}", place, section, key, colon, fault.expected_, fault.found_);
}

} // namespace jasminewood::ini
