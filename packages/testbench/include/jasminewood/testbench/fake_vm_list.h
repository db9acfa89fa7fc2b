#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"

// A fake of the platform's VM list, served as Prometheus HTTP service discovery.
//
// GET /v1/targets returns a JSON list of {"targets": ["IP:PORT"], "labels": {"role", "name", "pool", "data_centre",
// "state": "live" or "leaving"}}; PUT /v1/targets replaces the list, which becomes visible after the lag.

namespace jasminewood::testbench
{

struct FakeVmListOptions
{
    const std::uint16_t port_ = 0;
    // The time until a new list becomes visible.
    const Milliseconds lag_ = Milliseconds(0);
};

// Thread-safe.
class FakeVmList
{
public:
    // Fails as http::Server::start() does.
    static auto start(const FakeVmListOptions &options) -> Result<std::shared_ptr<FakeVmList>>;

    // Stops the service as stop() does.
    ~FakeVmList();

    FakeVmList(const FakeVmList &) = delete;
    auto operator=(const FakeVmList &) -> FakeVmList & = delete;

    auto port() const -> std::uint16_t;

    // Closes the port. May be called twice.
    auto stop() -> void;

private:
    class State;

    explicit FakeVmList(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::testbench
