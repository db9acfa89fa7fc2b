#include "receiving_bodies.h"

#include <algorithm>

#include <poll.h>
#include <sys/socket.h>

#include "response_writer.h"

namespace jasminewood::http::internal
{

namespace
{

// Data that has arrived and that this process has not read yet is not the caller's delay.
auto hasUnreadData(int socket) -> bool
{
    auto poller = pollfd {.fd = socket, .events = POLLIN, .revents = 0};
    return poll(&poller, 1, 0) > 0;
}

// Responds on a connection whose thread waits for data, and wakes that thread, which closes the connection.
auto respondAndShutDown(int socket) -> void
{
    const auto text = responseText(errorResponse(408, "the body makes no progress", RunState::NotRun));
    // The response fits in the send buffer, so this does not wait for the caller.
    static_cast<void>(send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    shutdown(socket, SHUT_RDWR);
}

} // namespace

BodyProgress::BodyProgress(TimePoint startedAt)
    : startedAt_(startedAt)
    , progressAt_(startedAt)
{
}

auto BodyProgress::recordReceived(std::size_t bytes, TimePoint now) -> void
{
    bytesSince_ += bytes;
    if (bytesSince_ >= minimumProgressBytes) {
        progressAt_ = now;
        bytesSince_ = 0;
    }
}

auto BodyProgress::isStalled(TimePoint now) const -> bool
{
    return now - progressAt_ > stallTime;
}

auto BodyProgress::isTooOld(TimePoint now) const -> bool
{
    return now - startedAt_ > maximumBodyTime;
}

ReceivingBodies::ReceivingBodies(std::size_t limitBytes)
    : ledger_(std::make_shared<MemoryLedger>(limitBytes))
{
}

auto ReceivingBodies::begin(int socket, TimePoint now) -> BodyId
{
    const auto lock = std::scoped_lock(mutex_);
    receipts_.emplace(++lastId_,
        Receipt {
            .socket_ = socket, .reservation_ = std::make_shared<Reservation>(ledger_), .progress_ = BodyProgress(now)});
    return lastId_;
}

auto ReceivingBodies::reserve(BodyId id, const MemoryDemand &demand, TimePoint now) -> std::optional<EndReason>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto &receipt = receipts_.at(id);
    if (receipt.refused_) {
        return EndReason::BodyStalled;
    }
    refuseStalled(demand, now);
    // This body may have been one of them.
    if (receipt.refused_) {
        return EndReason::BodyStalled;
    }
    return receipt.reservation_->tryGrow(demand) ? std::nullopt : std::optional(EndReason::NoBodyMemory);
}

auto ReceivingBodies::recordReceived(BodyId id, std::size_t bytes, TimePoint now) -> std::optional<EndReason>
{
    const auto lock = std::scoped_lock(mutex_);
    auto &receipt = receipts_.at(id);
    if (receipt.refused_) {
        return EndReason::BodyStalled;
    }
    receipt.progress_.recordReceived(bytes, now);
    return receipt.progress_.isTooOld(now) ? std::optional(EndReason::BodyTooSlow) : std::nullopt;
}

auto ReceivingBodies::complete(BodyId id) -> std::shared_ptr<Reservation>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = receipts_.find(id);
    if (found == receipts_.end() || found->second.refused_) {
        return nullptr;
    }
    auto reservation = found->second.reservation_;
    receipts_.erase(found);
    return reservation;
}

auto ReceivingBodies::end(BodyId id) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = receipts_.find(id);
    const auto refused = found != receipts_.end() && found->second.refused_;
    receipts_.erase(id);
    return refused;
}

auto ReceivingBodies::reservedBytes() const -> std::size_t
{
    return ledger_->reservedBytes();
}

auto ReceivingBodies::ledger() const -> std::shared_ptr<MemoryLedger>
{
    return ledger_;
}

auto ReceivingBodies::refuseStalled(const MemoryDemand &demand, TimePoint now) -> void
{
    if (!ledger_->isShort(demand)) {
        return;
    }
    for (auto *receipt : stalledBodies(now)) {
        if (!ledger_->isShort(demand)) {
            return;
        }
        receipt->refused_ = true;
        respondAndShutDown(receipt->socket_);
        receipt->reservation_->release();
    }
}

auto ReceivingBodies::stalledBodies(TimePoint now) -> std::vector<Receipt *>
{
    auto stalled = std::vector<Receipt *>();
    for (auto &[id, receipt] : receipts_) {
        if (!receipt.refused_ && receipt.progress_.isStalled(now) && !hasUnreadData(receipt.socket_)) {
            stalled.push_back(&receipt);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const auto *left, const auto *right) {
        return left->reservation_->bytes() > right->reservation_->bytes();
    });
    return stalled;
}

} // namespace jasminewood::http::internal
