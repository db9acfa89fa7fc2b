#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/http/memory_ledger.h"
#include "jasminewood/http/server.h"

// The bodies that a server is receiving, and the refusal of those that hold memory without making progress.

namespace jasminewood::http::internal
{

// A body makes no progress if it brings fewer bytes than this within stallTime.
constexpr std::size_t minimumProgressBytes = 1'024;
constexpr auto stallTime = Milliseconds(2'000);
// A body that is not complete after this time is refused with its next bytes.
constexpr auto maximumBodyTime = Milliseconds(60'000);
// A body without any byte for this time ends with its connection.
constexpr auto maximumBodyPause = std::chrono::seconds(30);

// How fast a body arrives.
class BodyProgress
{
public:
    explicit BodyProgress(TimePoint startedAt);

    auto recordReceived(std::size_t bytes, TimePoint now) -> void;
    auto isStalled(TimePoint now) const -> bool;
    auto isTooOld(TimePoint now) const -> bool;

private:
    TimePoint startedAt_;
    // When the last minimumProgressBytes were complete, and what was received since.
    TimePoint progressAt_;
    std::size_t bytesSince_ = 0;
};

using BodyId = std::uint64_t;

// Thread-safe.
class ReceivingBodies
{
public:
    explicit ReceivingBodies(std::size_t limitBytes);

    // Begins to receive a body on the socket, which must stay open until end() or complete().
    auto begin(int socket, TimePoint now) -> BodyId;

    // Reserves memory for the body. If memory is short, stalled bodies are refused before, those with most memory
    // first. Returns why the body is refused: NoBodyMemory, or BodyStalled if that has been done already.
    auto reserve(BodyId id, const MemoryDemand &demand, TimePoint now) -> std::optional<EndReason>;

    // Records received bytes. Returns why the body is refused: BodyTooSlow, or BodyStalled if that has been done
    // already.
    auto recordReceived(BodyId id, std::size_t bytes, TimePoint now) -> std::optional<EndReason>;

    // Ends the receipt of a complete body and returns what it has reserved; nullptr if it has been refused.
    auto complete(BodyId id) -> std::shared_ptr<Reservation>;

    // Ends the receipt of a body. Returns whether it has been refused as stalled.
    auto end(BodyId id) -> bool;

    auto reservedBytes() const -> std::size_t;

    // Returns what limits the memory of all bodies.
    auto ledger() const -> std::shared_ptr<MemoryLedger>;

private:
    struct Receipt
    {
        const int socket_;
        const std::shared_ptr<Reservation> reservation_;
        BodyProgress progress_;
        bool refused_ = false;
    };

    // To be called with the mutex locked.
    auto refuseStalled(const MemoryDemand &demand, TimePoint now) -> void;
    // Returns the bodies that make no progress, those with most memory first. To be called with the mutex locked.
    auto stalledBodies(TimePoint now) -> std::vector<Receipt *>;

    const std::shared_ptr<MemoryLedger> ledger_;
    std::mutex mutex_;
    std::map<BodyId, Receipt> receipts_;
    BodyId lastId_ = 0;
};

} // namespace jasminewood::http::internal
