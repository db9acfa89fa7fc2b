#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"

// A client of the platform's VM list, which uses the format of Prometheus HTTP service discovery.
//
//     const auto vms = platform::VmListClient({.url_ = "http://10.0.0.9:9090/v1/targets"}).fetchVms();

namespace jasminewood::platform
{

enum class VmState : std::uint8_t
{
    Live,
    Leaving,
};

// Returns "live" or "leaving", the values of the label "state".
auto toString(VmState state) -> std::string_view;

// One VM of the list, which lags behind the actual state.
struct VmEntry
{
    // "IP:PORT"
    const std::string address_;
    const std::string role_;
    const std::string name_;
    const std::string pool_;
    const std::string dataCentre_;
    const VmState state_ = VmState::Live;

    auto operator<=>(const VmEntry &) const = default;
};

struct VmListOptions
{
    const std::string url_;
    const Milliseconds timeout_ = Milliseconds(2'000);

    auto operator<=>(const VmListOptions &) const = default;
};

// Thread-safe.
class VmListClient
{
public:
    explicit VmListClient(const VmListOptions &options);

    // Fetches the list. Fails with step "vm list" and the service's address as peer. A malformed list fails as a whole,
    // so that a part of it is never mistaken for the whole fleet.
    auto fetchVms() const -> Result<std::vector<VmEntry>>;

private:
    const VmListOptions options_;
};

} // namespace jasminewood::platform
