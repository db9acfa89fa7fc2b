#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"

// Election of the leader, which is the only router that issues commands, as a pure state machine. The router waits for
// the action's delay, performs the action and passes its outcome as the next event, until Stopped.
//
//     auto election = election::LeaderElection({.key_ = key, .router_ = self}, seed);
//     auto action = std::optional(election.step(election::Start{}, now()));
//     while (!std::holds_alternative<election::Stopped>(*action)) {
//         const auto event = perform(*action);
//         action.emplace(election.step(event, now()));
//     }
//     // Before each command: if (const auto token = election.currentFencingToken(now())) { send(*token, ...); }

namespace jasminewood::election
{

constexpr Milliseconds leaderLeaseTtl = Milliseconds(10'000);
// A leader stops issuing commands this long before its lease could expire. The margin covers differing clock rates and
// a command in flight; the command fence at the agent covers anything beyond it.
constexpr Milliseconds leaderSafetyMargin = Milliseconds(2'000);
constexpr Milliseconds leaderRenewInterval = Milliseconds(2'500);
// Upper bound of the random delay with which routers read the key again after it was deleted, so that few of them
// write.
constexpr Milliseconds electionJitter = Milliseconds(1'000);
constexpr Milliseconds minimumStoreBackoff = Milliseconds(100);
constexpr Milliseconds maximumStoreBackoff = Milliseconds(5'000);
// Longest duration of a watch, so that a silent connection is replaced.
constexpr Milliseconds leaderWatchTimeout = Milliseconds(30'000);

// The leader's fencing token is the revision at which its key was created.
struct RevisionTokens
{
    auto operator<=>(const RevisionTokens &) const = default;
};

// The leader's fencing token is part of its record. Whoever performs CreateKey generates it; see fencing_token.h.
struct RecordedTokens
{
    auto operator<=>(const RecordedTokens &) const = default;
};

using FencingTokens = std::variant<RevisionTokens, RecordedTokens>;

struct ElectionOptions
{
    const Milliseconds timeToLive_ = leaderLeaseTtl;
    const Milliseconds safetyMargin_ = leaderSafetyMargin;
    const Milliseconds renewInterval_ = leaderRenewInterval;
    const Milliseconds jitter_ = electionJitter;
    // A router that lost the leadership is no candidate for this time.
    const Milliseconds pauseAfterLoss_ = Milliseconds(0);
    const FencingTokens fencingTokens_ = RevisionTokens {};

    auto operator<=>(const ElectionOptions &) const = default;
};

// Value stored in the leader's key.
struct LeaderRecord
{
    const NodeId router_;
    const std::int64_t leaseId_ = 0;
    // 0 with RevisionTokens.
    const std::uint64_t fencingToken_ = 0;

    auto operator<=>(const LeaderRecord &) const = default;
};

// Outcome: LeaseGranted or StoreFailed; KeyExists if another router created the key during the delay.
struct GrantLease
{
    const Milliseconds timeToLive_ = leaderLeaseTtl;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const GrantLease &) const = default;
};

// Create the key, bound to the record's lease, if it is absent. With RecordedTokens, the record is written with a new
// fencing token. Outcome: KeyCreated, KeyExists or StoreFailed.
struct CreateKey
{
    const std::string key_;
    const LeaderRecord record_;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const CreateKey &) const = default;
};

// Read the key. Outcome: KeyExists, KeyAbsent or StoreFailed.
struct ReadKey
{
    const std::string key_;
    const Milliseconds delay_ = Milliseconds(0);
    // True if this router may have created the key. A copy of the store that lags behind does not suffice then.
    const bool isOwnClaim_ = false;

    auto operator<=>(const ReadKey &) const = default;
};

// Outcome: LeaseRenewed, LeaseExpired or StoreFailed.
struct KeepAlive
{
    const std::int64_t leaseId_ = 0;
    const Milliseconds delay_ = Milliseconds(0);

    auto operator<=>(const KeepAlive &) const = default;
};

// Watch the key after this revision for leaderWatchTimeout at most. Outcome: WatchEnded or StoreFailed.
struct WatchKey
{
    const std::string key_;
    const std::uint64_t revision_ = 0;

    auto operator<=>(const WatchKey &) const = default;
};

// Outcome: LeaseExpired or StoreFailed.
struct RevokeLease
{
    const std::int64_t leaseId_ = 0;

    auto operator<=>(const RevokeLease &) const = default;
};

struct Stopped
{
    auto operator<=>(const Stopped &) const = default;
};

using Action = std::variant<GrantLease, CreateKey, ReadKey, KeepAlive, WatchKey, RevokeLease, Stopped>;

struct Start
{
};

struct LeaseGranted
{
    const std::int64_t leaseId_ = 0;
    // Own clock just before the request was sent.
    const TimePoint sentAt_;
};

struct KeyCreated
{
    // The revision at which the key was created, or with RecordedTokens the token of the record.
    const std::uint64_t fencingToken_ = 0;
};

struct KeyExists
{
    const LeaderRecord record_;
    const std::uint64_t createRevision_ = 0;
    const std::uint64_t modRevision_ = 0;
};

struct KeyAbsent
{
    // How long this router leaves the key to others that are preferred as leader.
    const Milliseconds candidacyDelay_ = Milliseconds(0);
};

struct LeaseRenewed
{
    // Time to live that the service granted anew.
    const Milliseconds timeToLive_ = Milliseconds(0);
    // Own clock just before the request was sent.
    const TimePoint sentAt_;
};

struct LeaseExpired
{
};

struct WatchEnded
{
};

// The call failed. Unless the run state is NotRun, it may have taken effect or may still do so.
struct StoreFailed
{
    const Failure failure_;
};

// An agent rejected a command because it has seen a higher fencing token. May arrive at any time; replaces the
// outstanding action.
struct Superseded
{
};

// The router is shutting down. May arrive at any time; replaces the outstanding action.
struct Resign
{
};

using Event = std::variant<Start, LeaseGranted, KeyCreated, KeyExists, KeyAbsent, LeaseRenewed, LeaseExpired,
    WatchEnded, StoreFailed, Superseded, Resign>;

struct ElectionCandidate
{
    const std::string key_;
    const NodeId router_;

    auto operator<=>(const ElectionCandidate &) const = default;
};

// The outcome of an action that was replaced must not be reported. All times are of one clock of the caller's choice,
// which must count the time for which the machine is suspended if the lease may end in it. Not thread-safe.
class LeaderElection
{
public:
    // The seed determines the random delays of the calls.
    LeaderElection(ElectionCandidate candidate, std::uint64_t seed, const ElectionOptions &options = {});

    // Handles the outcome of the last action and returns the next action.
    auto step(const Event &event, TimePoint now) -> Action;

    // Returns the fencing token if this router may issue commands at this time. Only the command fence at the agent is
    // conclusive, because this process may be paused after the call.
    auto currentFencingToken(TimePoint now) const -> std::optional<std::uint64_t>;

    // Returns until when this router may issue commands while it is the leader.
    auto validUntil() const -> TimePoint;

private:
    auto on(const Start &event, TimePoint now) -> Action;
    auto on(const LeaseGranted &event, TimePoint now) -> Action;
    auto on(const KeyCreated &event, TimePoint now) -> Action;
    auto on(const KeyExists &event, TimePoint now) -> Action;
    auto on(const KeyAbsent &event, TimePoint now) -> Action;
    auto on(const LeaseRenewed &event, TimePoint now) -> Action;
    auto on(const LeaseExpired &event, TimePoint now) -> Action;
    auto on(const WatchEnded &event, TimePoint now) -> Action;
    auto on(const StoreFailed &event, TimePoint now) -> Action;
    auto on(const Superseded &event, TimePoint now) -> Action;
    auto on(const Resign &event, TimePoint now) -> Action;

    auto leaseValid(TimePoint now) const -> bool;
    auto becomeLeader(std::uint64_t fencingToken, TimePoint now) -> Action;
    auto fencingTokenOf(const KeyExists &event) const -> std::uint64_t;
    auto createKey() const -> Action;
    // Forgets the lease, and begins the pause if this router was the leader.
    auto discardLease(TimePoint now) -> void;
    auto readKey(Milliseconds delay) const -> Action;
    auto randomDelay(Milliseconds maximum) -> Milliseconds;

    ElectionCandidate candidate_;
    const ElectionOptions options_;
    std::minstd_rand random_;
    std::optional<std::int64_t> leaseId_;
    // End of the time in which the lease certainly exists, minus the safety margin.
    TimePoint validUntil_;
    // Whether the lease has made this router the leader.
    bool wasLeader_ = false;
    // The end of the pause after a lost leadership.
    TimePoint candidateFrom_;
    std::optional<std::uint64_t> fencingToken_;
    std::uint32_t consecutiveFailures_ = 0;
    bool stopped_ = false;
};

} // namespace jasminewood::election
