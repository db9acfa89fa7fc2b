#include <fstream>
#include <iostream>
#include <iterator>

#include "jasminewood/manifest/check.h"
#include "line_front.h"

// second_frontend MANIFEST < REQUESTS: a front end without sockets that uses the decision packages of jasminewood.

using namespace jasminewood;

namespace
{

constexpr int statusUsage = 2;

auto readFile(const char *path) -> std::string
{
    auto file = std::ifstream(path);
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

auto serveLines(second_frontend::LineFront &front, TimePoint now) -> void
{
    auto line = std::string();
    while (std::getline(std::cin, line)) {
        now += Milliseconds(1);
        for (const auto &printed : front.serve(line, now)) {
            std::cout << printed << '\n';
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: second_frontend MANIFEST < REQUESTS\n";
        return statusUsage;
    }
    const auto checked = manifest::check(readFile(argv[1]), argv[1]);
    if (const auto *faults = std::get_if<std::vector<manifest::ConfigError>>(&checked)) {
        for (const auto &fault : *faults) {
            std::cerr << ini::toString(fault) << '\n';
        }
        return statusUsage;
    }
    // Simulated time starts anywhere and advances by 1 ms with each line.
    const auto start = TimePoint() + std::chrono::hours(1);
    auto front = second_frontend::LineFront(std::get<std::shared_ptr<const manifest::Manifest>>(checked), start);
    serveLines(front, start);
    return 0;
}
