#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"

// A fake booking service: its calls must not be repeated, and it does not deduplicate them.
//
// POST /bookings with a JSON body and an Idempotency-Key header takes the service time and returns
// {"confirmation": TEXT, "run": N}; GET /bookings/runs returns the number of runs by key; GET /health.

namespace jasminewood::testbench
{

// Returns the confirmation that a booking with this key and body receives.
auto expectedConfirmation(std::string_view idempotencyKey, std::string_view body) -> std::string;

struct FakeBookingOptions
{
    const std::uint16_t port_ = 0;
    // The duration of one booking.
    const Milliseconds serviceTime_ = Milliseconds(0);
    // The file to which one JSON line is appended when a run begins; empty for none.
    const std::string historyPath_;
};

// Thread-safe.
class FakeBooking
{
public:
    // Fails as http::Server::start() does, and with step "open history" if the file cannot be opened.
    static auto start(const FakeBookingOptions &options) -> Result<std::shared_ptr<FakeBooking>>;

    // Stops the service as stop() does.
    ~FakeBooking();

    FakeBooking(const FakeBooking &) = delete;
    auto operator=(const FakeBooking &) -> FakeBooking & = delete;

    auto port() const -> std::uint16_t;

    // Aborts the bookings in flight without a response and closes the port. May be called twice.
    auto stop() -> void;

private:
    class State;

    explicit FakeBooking(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::testbench
