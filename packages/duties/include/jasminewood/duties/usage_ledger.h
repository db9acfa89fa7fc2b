#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/duties/usage_windows.h"

// The windows whose counts are fixed, and which of them the platform has accepted.
//
// A window is fixed once a value with it was written to the store. Its counts never change afterwards, so that each
// repetition of its report is the same. Windows are fixed in increasing order.

namespace jasminewood::duties
{

// The number of windows in the store's value.
constexpr std::size_t storedWindows = 4;

struct FixedWindow
{
    // Empty after the report was accepted and the counts were left out of the store's value.
    const AccountCounts counts_;
    const bool accepted_ = false;

    auto operator<=>(const FixedWindow &) const = default;
};

// An immutable value; each change returns a new one.
class UsageLedger
{
public:
    UsageLedger() = default;
    explicit UsageLedger(const std::map<WindowNumber, FixedWindow> &windows);

    // Returns the windows of both ledgers. Counts that this ledger holds are kept.
    auto merged(const UsageLedger &other) const -> UsageLedger;

    // Precondition: the number is higher than all in the ledger.
    auto withFixed(WindowNumber number, const AccountCounts &counts) const -> UsageLedger;

    auto withAccepted(WindowNumber number) const -> UsageLedger;

    auto windows() const -> const std::map<WindowNumber, FixedWindow> &;

    // Returns the highest number of a fixed window, if there is one.
    auto newest() const -> std::optional<WindowNumber>;

    auto operator<=>(const UsageLedger &) const = default;

private:
    std::map<WindowNumber, FixedWindow> windows_;
};

// Returns whether a window has different counts in the two ledgers, which must never happen.
auto contradict(const UsageLedger &first, const UsageLedger &second) -> bool;

// The value of the store: JSON with the newest windows, those that were accepted without their counts.
auto formatLedger(const UsageLedger &ledger) -> std::string;

// Fails with step "decode".
auto parseLedger(const std::string &text) -> Result<UsageLedger>;

} // namespace jasminewood::duties
