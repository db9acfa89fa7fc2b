#include "messages.h"

#include <functional>
#include <string>
#include <vector>

#include "jasminewood/manifest/check.h"
#include "jasminewood/wire/codec.h"
#include "report.h"
#include "sample.h"

namespace jasminewood::slopes
{

namespace
{

constexpr double lengthPrefixBytes = 4;

// Measures messages of several sizes: bytes including the length prefix, and the time to encode and to decode them.
auto measureMessages(const std::string &slope, const std::vector<std::size_t> &sizes,
    const std::function<auto(std::size_t)->wire::Message> &make) -> void
{
    auto bytes = Points();
    auto encoding = Points();
    auto decoding = Points();
    for (const auto size : sizes) {
        const auto message = make(size);
        const auto encoded = wire::encode(message);
        bytes.push_back(Point {static_cast<double>(size), lengthPrefixBytes + static_cast<double>(encoded.size())});
        encoding.push_back(Point {static_cast<double>(size), meanMicroseconds([&]() -> void {
                                      static_cast<void>(wire::encode(message));
                                  })});
        decoding.push_back(Point {static_cast<double>(size), meanMicroseconds([&]() -> void {
                                      static_cast<void>(wire::decode(encoded));
                                  })});
    }
    printSlope(slope + " bytes", bytes, "bytes");
    printSlope(slope + " encode", encoding, "us");
    printSlope(slope + " decode", decoding, "us");
}

auto passesCheck(std::size_t accounts) -> bool
{
    const auto checked = manifest::check(manifestText(accounts), "manifest");
    return std::holds_alternative<std::shared_ptr<const manifest::Manifest>>(checked);
}

// Returns the largest number of accounts for which the manifest passes the check.
auto maximumAccounts() -> std::size_t
{
    auto passing = std::size_t(10);
    auto failing = std::size_t(13'000);
    while (failing - passing > 1) {
        const auto middle = (passing + failing) / 2;
        (passesCheck(middle) ? passing : failing) = middle;
    }
    return passing;
}

} // namespace

auto measureHeartbeats() -> void
{
    const auto heartbeat = loadedHeartbeat();
    const auto encoded = wire::encode(heartbeat);
    const auto bare = wire::encode(wire::Heartbeat {.sequence_ = 100'000});
    auto bytes = Points();
    auto encoding = Points();
    auto decoding = Points();
    for (const auto count : {10, 100, 1'000, 10'000}) {
        const auto repeat = [count](const auto &function) -> double {
            return meanMicroseconds([&]() -> void {
                for (auto index = 0; index < count; ++index) {
                    function();
                }
            });
        };
        bytes.push_back(Point {double(count), double(count) * (lengthPrefixBytes + double(encoded.size()))});
        encoding.push_back(Point {double(count), repeat([&]() -> void {
                                      static_cast<void>(wire::encode(heartbeat));
                                  })});
        decoding.push_back(Point {double(count), repeat([&]() -> void {
                                      static_cast<void>(wire::decode(encoded));
                                  })});
    }
    printSlope("heartbeat with load bytes", bytes, "bytes");
    printSlope("heartbeat with load encode", encoding, "us");
    printSlope("heartbeat with load decode", decoding, "us");
    printFigure("heartbeat without load bytes", 1, lengthPrefixBytes + double(bare.size()), "bytes");
}

auto measureUsageMessages() -> void
{
    measureMessages(
        "usage message per account", {10, 100, 1'000, 4'000, 13'000}, [](std::size_t accounts) -> wire::Message {
            return usageOf(accounts);
        });
}

auto measureManifests() -> void
{
    const auto sizes = std::vector<std::size_t> {10, 100, 1'000, 2'000, 4'000};
    measureMessages("manifest update per account", sizes, [](std::size_t accounts) -> wire::Message {
        return wire::ManifestUpdate {.revision_ = 55'000, .text_ = manifestText(accounts)};
    });
    auto checks = Points();
    for (const auto size : sizes) {
        const auto text = manifestText(size);
        checks.push_back(Point {static_cast<double>(size), meanMicroseconds([&]() -> void {
                                    static_cast<void>(manifest::check(text, "manifest"));
                                })});
    }
    printSlope("manifest check per account", checks, "us");
    const auto largest = maximumAccounts();
    printFigure("accounts of the largest manifest that passes the check", double(largest),
        double(manifestText(largest).size()), "bytes");
    printFigure("manifest text at 13000 accounts", 13'000, double(manifestText(13'000).size()), "bytes");
}

} // namespace jasminewood::slopes
