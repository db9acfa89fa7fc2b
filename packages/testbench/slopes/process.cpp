#include "process.h"

#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

namespace jasminewood::slopes
{

namespace
{

auto statusField(pid_t process, const std::string &name) -> double
{
    auto file = std::ifstream(fmt::format("/proc/{}/status", process));
    auto line = std::string();
    while (std::getline(file, line)) {
        if (line.rfind(name + ":", 0) == 0) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

} // namespace

auto residentBytes(pid_t process) -> double
{
    return statusField(process, "VmRSS") * 1024;
}

auto threadCount(pid_t process) -> double
{
    return statusField(process, "Threads");
}

auto processorMicroseconds(pid_t process) -> double
{
    auto file = std::ifstream(fmt::format("/proc/{}/stat", process));
    auto text = std::string();
    std::getline(file, text);
    // The program name, in parentheses, may contain spaces. utime and stime are the 12th and 13th fields after it.
    auto fields = std::istringstream(text.substr(text.rfind(')') + 1));
    auto field = std::string();
    for (auto skipped = 0; skipped < 11; ++skipped) {
        fields >> field;
    }
    auto user = 0.0;
    auto system = 0.0;
    fields >> user >> system;
    return (user + system) * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto heapBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace jasminewood::slopes
