#include "jasminewood/routing/connection_shedding.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::routing
{

namespace
{

// The load balancer ignores a router after two failed probes.
constexpr unsigned probesUntilIgnored = 2;
// A router with less than this part of the mean capacity of its data centre is a small one.
constexpr double smallRouter = 0.75;
// The hashes of callers make moderate differences.
constexpr double clearSurplus = 1.5;
// Fewer connections are no burden.
constexpr std::size_t minimumConnections = 8;

// Returns the routers of the same data centre.
auto routersNearby(const RouterCallers &own, const std::vector<RouterCallers> &others) -> std::vector<RouterCallers>
{
    auto nearby = std::vector<RouterCallers>();
    std::copy_if(others.begin(), others.end(), std::back_inserter(nearby), [&own](const auto &other) {
        return other.dataCentre_ == own.dataCentre_;
    });
    return nearby;
}

auto isSmall(const RouterCallers &router, double meanCapacity) -> bool
{
    return double(router.capacity_) < smallRouter * meanCapacity;
}

// Returns the mean capacity of the routers; 0 if one of them is unknown.
auto meanCapacity(const RouterCallers &own, const std::vector<RouterCallers> &nearby) -> double
{
    auto sum = double(own.capacity_);
    auto allKnown = own.capacity_ > 0;
    for (const auto &other : nearby) {
        sum += double(other.capacity_);
        allKnown = allKnown && other.capacity_ > 0;
    }
    return allKnown ? sum / double(nearby.size() + 1) : 0;
}

// Returns the connections per capacity, by which the routers that want to withdraw are ordered.
auto density(const RouterCallers &router) -> double
{
    return double(router.connections_) / double(router.capacity_);
}

auto withdrawsBefore(const RouterCallers &left, const RouterCallers &right) -> bool
{
    return std::pair(-density(left), left.router_) < std::pair(-density(right), right.router_);
}

// Returns how many routers of a data centre may be not ready at the same time: fewer than half of them, since the load
// balancer would use all of them otherwise.
auto maximumWithdrawn(std::size_t routers) -> std::size_t
{
    return (routers - 1) / 2;
}

// Returns whether this router withdraws now. Among several candidates those with the most connections per capacity do,
// which all routers with the same reports compute alike.
auto isChosen(const RouterCallers &own, const std::vector<RouterCallers> &nearby, const ConnectionShares &shares)
    -> bool
{
    const auto mean = meanCapacity(own, nearby);
    const auto isCandidate = [&shares, mean](const RouterCallers &router) {
        return isSmall(router, mean) && router.connections_ >= minimumConnections
            && double(router.connections_) > clearSurplus * shares.of(router);
    };
    if (!isCandidate(own)) {
        return false;
    }
    auto routers = std::size_t(1);
    auto before = std::size_t(0);
    auto hasRoomElsewhere = false;
    for (const auto &other : nearby) {
        const auto sheds = other.phase_ == SheddingPhase::Shedding;
        const auto goesFirst = other.phase_ == SheddingPhase::None && other.readySince_ && isCandidate(other)
            && withdrawsBefore(other, own);
        routers += other.readySince_ || sheds ? 1 : 0;
        before += sheds || goesFirst ? 1 : 0;
        hasRoomElsewhere = hasRoomElsewhere || (other.readySince_ && double(other.connections_) < shares.of(other));
    }
    return hasRoomElsewhere && before < maximumWithdrawn(routers);
}

} // namespace

auto phaseOf(const SheddingState &state) -> SheddingPhase
{
    return std::visit(Overloaded {[](const NotShedding &) {
                                      return SheddingPhase::None;
                                  },
                          [](const CoolingDown &) {
                              return SheddingPhase::CoolingDown;
                          },
                          [](const auto &) {
                              return SheddingPhase::Shedding;
                          }},
        state);
}

auto isReady(const SheddingState &state) -> bool
{
    return phaseOf(state) != SheddingPhase::Shedding;
}

auto ConnectionShedding::step(const OwnLoad &own, const std::vector<RouterCallers> &others, TimePoint now)
    -> const SheddingState &
{
    const auto following = next(own, others, now);
    return state_.emplace(following);
}

auto ConnectionShedding::state() const -> const SheddingState &
{
    return *state_;
}

auto ConnectionShedding::next(const OwnLoad &own, const std::vector<RouterCallers> &others, TimePoint now) const
    -> SheddingState
{
    const auto nearby = routersNearby(own.callers_, others);
    return std::visit(Overloaded {[&](const NotShedding &) -> SheddingState {
                                      const auto isBusy = own.utilisation_.value_or(0) >= sheddingUtilisation;
                                      const auto shares = ConnectionShares(own.callers_, nearby);
                                      const auto withdraws = isBusy && own.callers_.readySince_
                                          && isChosen(own.callers_, nearby, shares);
                                      return withdraws ? SheddingState(Withdrawing {.since_ = now}) : NotShedding {};
                                  },
                          [&](const CoolingDown &coolingDown) -> SheddingState {
                              return now < coolingDown.until_ ? SheddingState(coolingDown) : NotShedding {};
                          },
                          [&](const auto &notReady) -> SheddingState {
                              return nextWhileNotReady(notReady.since_, own, nearby, now);
                          }},
        *state_);
}

auto ConnectionShedding::nextWhileNotReady(
    TimePoint since, const OwnLoad &own, const std::vector<RouterCallers> &nearby, TimePoint now) const -> SheddingState
{
    const auto share = ConnectionShares(own.callers_, nearby).of(own.callers_);
    const auto surplus = std::floor(double(own.callers_.connections_) - share);
    const auto othersAreReady = std::any_of(nearby.begin(), nearby.end(), [](const auto &other) {
        return other.readySince_.has_value();
    });
    if (surplus < 1 || !othersAreReady || now - since >= maximumSheddingTime) {
        return CoolingDown {.until_ = now + sheddingPause};
    }
    if (own.failedProbes_ < probesUntilIgnored) {
        return Withdrawing {.since_ = since};
    }
    return Releasing {.since_ = since, .connections_ = std::size_t(surplus)};
}

} // namespace jasminewood::routing
