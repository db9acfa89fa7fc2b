#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <mutex>

// Limits the memory of the bodies of requests.
//
//     const auto ledger = std::make_shared<http::MemoryLedger>(limitBytes);
//     auto reservation = http::Reservation(ledger);
//     if (reservation.tryGrow({.bytes_ = 4'096, .largestBodyBytes_ = 4'194'304})) { ... }

namespace jasminewood::http
{

// The last part of a ledger's limit is kept for bodies of at most this size, so that large ones do not displace the
// requests of ordinary callers.
constexpr std::size_t smallBodyBytes = std::size_t(64) * 1024;

// A step of a body that is received.
struct MemoryDemand
{
    const std::size_t bytes_ = 0;
    // The longest body that a request may have.
    const std::size_t largestBodyBytes_ = 0;

    auto operator<=>(const MemoryDemand &) const = default;
};

// Thread-safe; never blocks for memory.
class MemoryLedger
{
public:
    // The limit is in bytes. It counts as at least two bodies of the largest size.
    explicit MemoryLedger(std::size_t limitBytes);

    // Returns what all reservations have together, in bytes.
    auto reservedBytes() const -> std::size_t;

    // Returns whether more than half of the limit is reserved, or would be with the demand.
    auto isShort(const MemoryDemand &demand) const -> bool;

private:
    friend class Reservation;

    // Adds the demand to a reservation that has so many bytes; returns false and changes nothing if there is no memory.
    auto tryReserve(std::size_t ownBytes, const MemoryDemand &demand) -> bool;
    auto release(std::size_t bytes) -> void;

    const std::size_t limitBytes_;
    mutable std::mutex mutex_;
    std::size_t reservedBytes_ = 0;
};

// What one body has reserved. Thread-safe.
class Reservation
{
public:
    explicit Reservation(std::shared_ptr<MemoryLedger> ledger);
    // Releases what is reserved.
    ~Reservation();

    Reservation(const Reservation &) = delete;
    auto operator=(const Reservation &) -> Reservation & = delete;

    // Reserves further memory; returns false if there is none, or after release().
    auto tryGrow(const MemoryDemand &demand) -> bool;

    // Releases everything, once; the reservation does not grow any more.
    auto release() -> void;

    auto bytes() const -> std::size_t;

private:
    const std::shared_ptr<MemoryLedger> ledger_;
    mutable std::mutex mutex_;
    std::size_t bytes_ = 0;
    bool released_ = false;
};

} // namespace jasminewood::http
