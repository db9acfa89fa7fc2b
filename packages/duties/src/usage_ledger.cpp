#include "jasminewood/duties/usage_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "jasminewood/jsontext/parse.h"

namespace jasminewood::duties
{

namespace
{

using nlohmann::json;
using Windows = std::map<WindowNumber, FixedWindow>;

// What a ledger keeps, so that a holder which was not the last one can still repeat older reports.
constexpr std::size_t rememberedWindows = 2 * storedWindows;

auto newestOf(const Windows &windows, std::size_t count) -> Windows
{
    const auto dropped = windows.size() - std::min(windows.size(), count);
    return {std::next(windows.begin(), std::ptrdiff_t(dropped)), windows.end()};
}

auto mergedWindow(const FixedWindow &first, const FixedWindow &second) -> FixedWindow
{
    return {.counts_ = first.counts_.empty() ? second.counts_ : first.counts_,
        .accepted_ = first.accepted_ || second.accepted_};
}

// Throws the exception of a member of the wrong type if it is no whole number.
auto readNumber(const json &value) -> std::uint64_t
{
    const auto number = jsontext::wholeNumber(value, 0, std::numeric_limits<std::int64_t>::max());
    return std::uint64_t(number ? *number : json("no whole number").get<std::int64_t>());
}

auto parseCounts(const json &object) -> AccountCounts
{
    auto counts = AccountCounts();
    for (const auto &[account, count] : object.items()) {
        counts.emplace(account, readNumber(count));
    }
    return counts;
}

} // namespace

UsageLedger::UsageLedger(const std::map<WindowNumber, FixedWindow> &windows)
    : windows_(newestOf(windows, rememberedWindows))
{
}

auto UsageLedger::merged(const UsageLedger &other) const -> UsageLedger
{
    auto windows = Windows();
    for (const auto &[number, window] : windows_) {
        const auto found = other.windows_.find(number);
        windows.emplace(number, found == other.windows_.end() ? window : mergedWindow(window, found->second));
    }
    windows.insert(other.windows_.begin(), other.windows_.end());
    return UsageLedger(windows);
}

auto UsageLedger::withFixed(WindowNumber number, const AccountCounts &counts) const -> UsageLedger
{
    auto windows = windows_;
    windows.emplace(number, FixedWindow {.counts_ = counts});
    return UsageLedger(windows);
}

auto UsageLedger::withAccepted(WindowNumber number) const -> UsageLedger
{
    return merged(UsageLedger({{number, FixedWindow {.accepted_ = true}}}));
}

auto UsageLedger::windows() const -> const std::map<WindowNumber, FixedWindow> &
{
    return windows_;
}

auto UsageLedger::newest() const -> std::optional<WindowNumber>
{
    return windows_.empty() ? std::nullopt : std::optional(windows_.rbegin()->first);
}

auto contradict(const UsageLedger &first, const UsageLedger &second) -> bool
{
    return std::any_of(first.windows().begin(), first.windows().end(), [&second](const auto &entry) {
        const auto found = second.windows().find(entry.first);
        const auto comparable = found != second.windows().end() && !entry.second.accepted_ && !found->second.accepted_;
        return comparable && entry.second.counts_ != found->second.counts_;
    });
}

auto formatLedger(const UsageLedger &ledger) -> std::string
{
    auto list = json::array();
    for (const auto &[number, window] : newestOf(ledger.windows(), storedWindows)) {
        auto item = json {{"number", number}, {"accepted", window.accepted_}};
        if (!window.accepted_) {
            item["counts"] = json(window.counts_);
        }
        list.push_back(item);
    }
    return json {{"windows", list}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto parseLedger(const std::string &text) -> Result<UsageLedger>
{
    return jsontext::decode(text, [](const json &document) {
        auto windows = Windows();
        for (const auto &item : document.at("windows")) {
            const auto accepted = item.at("accepted").get<bool>();
            windows.emplace(readNumber(item.at("number")),
                FixedWindow {
                    .counts_ = accepted ? AccountCounts() : parseCounts(item.at("counts")), .accepted_ = accepted});
        }
        return UsageLedger(windows);
    });
}

} // namespace jasminewood::duties
