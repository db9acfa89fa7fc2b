#include "jasminewood/http/memory_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jasminewood::http
{

namespace
{

constexpr std::size_t minimumBodies = 2;
// The part of the limit that bodies of more than smallBodyBytes may use.
constexpr std::size_t largeBodiesNumerator = 3;
constexpr std::size_t largeBodiesDenominator = 4;

auto limitFor(std::size_t limitBytes, const MemoryDemand &demand) -> std::size_t
{
    return std::max(limitBytes, minimumBodies * demand.largestBodyBytes_);
}

} // namespace

MemoryLedger::MemoryLedger(std::size_t limitBytes)
    : limitBytes_(limitBytes)
{
}

auto MemoryLedger::reservedBytes() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return reservedBytes_;
}

auto MemoryLedger::isShort(const MemoryDemand &demand) const -> bool
{
    return reservedBytes() + demand.bytes_ > limitFor(limitBytes_, demand) / 2;
}

auto MemoryLedger::tryReserve(std::size_t ownBytes, const MemoryDemand &demand) -> bool
{
    const auto limit = limitFor(limitBytes_, demand);
    const auto isSmall = ownBytes + demand.bytes_ <= smallBodyBytes;
    const auto usable = isSmall ? limit : limit / largeBodiesDenominator * largeBodiesNumerator;
    const auto lock = std::scoped_lock(mutex_);
    if (reservedBytes_ + demand.bytes_ > usable) {
        return false;
    }
    reservedBytes_ += demand.bytes_;
    return true;
}

auto MemoryLedger::release(std::size_t bytes) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    assert(bytes <= reservedBytes_);
    reservedBytes_ -= std::min(bytes, reservedBytes_);
}

Reservation::Reservation(std::shared_ptr<MemoryLedger> ledger)
    : ledger_(std::move(ledger))
{
}

Reservation::~Reservation()
{
    release();
}

auto Reservation::tryGrow(const MemoryDemand &demand) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (released_ || !ledger_->tryReserve(bytes_, demand)) {
        return false;
    }
    bytes_ += demand.bytes_;
    return true;
}

auto Reservation::release() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    released_ = true;
    ledger_->release(std::exchange(bytes_, 0));
}

auto Reservation::bytes() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return bytes_;
}

} // namespace jasminewood::http
