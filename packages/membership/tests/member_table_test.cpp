#include "jasminewood/membership/member_table.h"

#include <set>
#include <tuple>

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::membership;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::uint64_t seed = 7;
const auto start = TimePoint() + 1h;

auto vm(const std::string &name, bool leaving = false) -> VmEntry
{
    return VmEntry {
        .name_ = name, .address_ = "127.0.0.1:7100", .pool_ = "chat", .dataCentre_ = "lj-a", .leaving_ = leaving};
}

auto node(std::uint64_t incarnation = 1) -> NodeId
{
    return NodeId {.name_ = "a", .incarnation_ = incarnation};
}

auto peer(std::uint64_t incarnation = 1) -> Peer
{
    return Peer {.node_ = node(incarnation), .address_ = "127.0.0.1:7100", .pool_ = "chat", .dataCentre_ = "lj-a"};
}

auto state(const MemberTable &table) -> MemberState
{
    const auto member = table.find("a");
    check(member.has_value(), "the member is not in the table");
    return member->state_;
}

auto liveTable() -> MemberTable
{
    auto table = MemberTable(seed);
    table.applyVmList({vm("a")}, start);
    check(state(table) == MemberState::Joining && table.dialTargets(start).size() == 1);
    table.onConnected(peer(), start);
    check(state(table) == MemberState::Live && table.routableMembers("chat").size() == 1);
    return table;
}

const testkit::TestSuite members = {"an upstream",
    {
        section("that announces that it is leaving",
            {
                // Guards against new work for an upstream that the lagging VM list still shows as live.
                test("receives no new work from then on",
                    [] {
                        auto table = liveTable();
                        table.onLeaving(node());
                        table.applyVmList({vm("a")}, start + 1s);
                        check(state(table) == MemberState::Leaving && table.routableMembers("chat").empty());
                    }),
                // Guards against a restarted upstream that is never used because the lagging VM list still shows it as
                // leaving.
                test("is live again after a restart, although the list still shows it as leaving",
                    [] {
                        auto table = liveTable();
                        table.onLeaving(node());
                        table.onConnected(peer(2), start + 5s);
                        table.applyVmList({vm("a", true)}, start + 10s);
                        table.onLeaving(node(1));
                        check(state(table) == MemberState::Live);
                        table.applyVmList({vm("a", true)}, start + 5s + maximumVmListLag + 1s);
                        check(state(table) == MemberState::Leaving);
                    }),
            }),
        section("that is missing from the VM list",
            {
                // Guards against emptying the table during an outage of the VM list.
                test("stays live while its link is up",
                    [] {
                        auto table = liveTable();
                        table.applyVmList({}, start);
                        table.applyVmList({vm("b")}, start);
                        check(state(table) == MemberState::Live && table.routableMembers("chat").size() == 1);
                    }),
                // Guards against dialling VMs that no longer exist.
                test("is removed when a dial is refused",
                    [] {
                        auto table = liveTable();
                        table.applyVmList({vm("b")}, start);
                        table.onLinkLost(node(), start);
                        check(state(table) == MemberState::Suspect);
                        table.onUnreachable("a", start);
                        check(!table.find("a"));
                    }),
            }),
        section("whose link is lost",
            {
                // Guards against declaring an upstream dead when only one connection hangs.
                test("is dialled immediately, and is gone only if the reconnect fails too",
                    [] {
                        auto table = liveTable();
                        table.onLinkLost(node(), start);
                        check(state(table) == MemberState::Suspect && table.dialTargets(start).size() == 1);
                        check(table.routableMembers("chat").empty());
                        table.onConnected(peer(), start);
                        check(state(table) == MemberState::Live);
                        table.onLinkLost(node(), start);
                        table.onLinkLost(node(), start);
                        check(state(table) == MemberState::Gone);
                    }),
            }),
        section("that refuses connections",
            {
                // Guards against a dial loop without delays, and against an upstream that is never dialled again.
                test("is dialled with backoff while it is listed",
                    [] {
                        auto table = liveTable();
                        for (auto repeat = 0; repeat < 20; ++repeat) {
                            table.onUnreachable("a", start);
                        }
                        check(state(table) == MemberState::Gone && table.nextDialTime() > start);
                        check(table.dialTargets(*table.nextDialTime() - 1ms).empty());
                        check(table.dialTargets(start + maximumBackoff).size() == 1);
                        table.onConnected(peer(2), start);
                        check(state(table) == MemberState::Live && !table.nextDialTime());
                    }),
            }),
        section("through any sequence of events",
            {
                // Guards against states in which an upstream is neither connected nor dialled again.
                property("is connected or scheduled to be dialled, and is routable only while live",
                    [](const std::vector<std::tuple<std::uint8_t, bool>> &events) {
                        auto table = MemberTable(seed);
                        auto incarnation = std::uint64_t(1);
                        for (const auto &[kind, flag] : events) {
                            incarnation += kind % 7 == 6 ? 1 : 0;
                            kind % 7 == 0       ? table.applyVmList({vm(flag ? "a" : "b")}, start)
                                : kind % 7 <= 2 ? table.onConnected(peer(incarnation), start)
                                : kind % 7 == 3 ? table.onLinkLost(node(incarnation - (flag ? 1 : 0)), start)
                                : kind % 7 == 4 ? table.onUnreachable("a", start)
                                                : table.onLeaving(node(incarnation));
                            auto dialled = std::set<std::string>();
                            for (const auto &target : table.dialTargets(start + maximumBackoff)) {
                                dialled.insert(target.node_.name_);
                            }
                            for (const auto &member : table.members()) {
                                const auto connected = dialled.count(member.node_.name_) == 0;
                                RC_ASSERT(connected || member.state_ != MemberState::Live);
                                RC_ASSERT(!connected || member.state_ == MemberState::Live
                                    || member.state_ == MemberState::Leaving);
                            }
                            for (const auto &member : table.routableMembers("chat")) {
                                RC_ASSERT(member.state_ == MemberState::Live);
                            }
                        }
                    }),
            }),
    }};

const testkit::TestSuite delays = {"a backoff",
    {
        section("after any number of failures",
            {
                // Guards against unbounded delays, and against peers that retry in lockstep.
                property("stays within its ceiling and repeats for equal seeds",
                    [](std::uint64_t anySeed, std::uint8_t failures) {
                        auto one = Backoff(anySeed);
                        auto two = Backoff(anySeed);
                        for (auto failure = 0; failure < failures; ++failure) {
                            const auto ceiling = one.ceiling();
                            const auto delay = one.nextDelay();
                            RC_ASSERT(delay >= 0ms && delay <= ceiling && ceiling <= maximumBackoff);
                            RC_ASSERT(delay == two.nextDelay());
                        }
                        one.reset();
                        RC_ASSERT(one.ceiling() == baseBackoff);
                    }),
                test("doubles its ceiling up to the longest delay",
                    [] {
                        auto backoff = Backoff(seed, 100ms, 350ms);
                        check(backoff.ceiling() == 100ms);
                        backoff.nextDelay();
                        check(backoff.ceiling() == 200ms);
                        backoff.nextDelay();
                        check(backoff.ceiling() == 350ms);
                    }),
            }),
    }};

} // namespace
