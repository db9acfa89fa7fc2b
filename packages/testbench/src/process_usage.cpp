#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace jasminewood::testbench::internal
{

auto residentMegabytes(int pid) -> double
{
    constexpr auto kilobytesPerMegabyte = 1'024.0;
    auto file = std::ifstream(fmt::format("/proc/{}/status", pid));
    for (auto line = std::string(); std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMegabyte;
        }
    }
    return 0;
}

auto processorSeconds(int pid) -> double
{
    auto file = std::ifstream(fmt::format("/proc/{}/stat", pid));
    auto text = std::string();
    std::getline(file, text);
    // The program name, in parentheses, may contain spaces. utime and stime are the 12th and 13th fields after it.
    constexpr auto fieldsBeforeUserTime = 11;
    const auto nameEnd = text.rfind(')');
    auto fields = std::istringstream(nameEnd == std::string::npos ? std::string() : text.substr(nameEnd + 1));
    auto skipped = std::string();
    for (auto field = 0; field < fieldsBeforeUserTime; ++field) {
        fields >> skipped;
    }
    auto userTicks = 0.0;
    auto systemTicks = 0.0;
    fields >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace jasminewood::testbench::internal
