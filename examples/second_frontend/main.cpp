#include <fstream>
#include <iostream>
#include <iterator>

#include "jasminewood/manifest/check.h"
#include "line_frontend.h"

// second_frontend MANIFEST < REQUESTS: a frontend without sockets that uses the decision packages of jasminewood.

using namespace jasminewood;

namespace
{

constexpr int exitUsage = 2;

auto readFile(const char *path) -> std::string
{
    auto file = std::ifstream(path);
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

auto serveLines(second_frontend::LineFrontend &frontend, TimePoint now) -> void
{
    auto line = std::string();
    while (std::getline(std::cin, line)) {
        now += Milliseconds(1);
        for (const auto &output : frontend.serve(line, now)) {
            std::cout << output << '\n';
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: second_frontend MANIFEST < REQUESTS\n";
        return exitUsage;
    }
    const auto checked = manifest::check(readFile(argv[1]), argv[1]);
    if (const auto *configErrors = std::get_if<std::vector<manifest::ConfigError>>(&checked)) {
        for (const auto &configError : *configErrors) {
            std::cerr << ini::toString(configError) << '\n';
        }
        return exitUsage;
    }
    // The start of simulated time is arbitrary; time advances by 1 ms with each line.
    const auto start = TimePoint() + std::chrono::hours(1);
    auto frontend = second_frontend::LineFrontend(std::get<std::shared_ptr<const manifest::Manifest>>(checked), start);
    serveLines(frontend, start);
    return 0;
}
