#include "balance.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "report.h"
#include "subsets.h"

namespace jasminewood::slopes
{

namespace
{

// One pool in one of 8 data centres at the projected size: 340 / 8 routers, 12,000 / 25 / 8 replicas and 20,000 / 25 /
// 8 requests per second, each of 0.57 s + 365 tokens * 33 ms.
constexpr std::size_t routerCount = 42;
constexpr std::size_t replicaCount = 60;
constexpr double requestsPerSecond = 100;
constexpr double serviceSeconds = 12.6;
// Slots of one replica. On average 80% of them are busy.
constexpr std::size_t slots = 26;
constexpr double simulatedSeconds = 400;
constexpr double warmUpSeconds = 60;
constexpr double sampleSeconds = 1;
constexpr std::uint64_t simulationSeed = 340;

auto indices(std::size_t count) -> std::vector<std::size_t>
{
    auto list = std::vector<std::size_t>(count);
    std::iota(list.begin(), list.end(), std::size_t(0));
    return list;
}

struct Completion
{
    double at_;
    std::size_t router_;
    std::size_t replica_;

    auto operator<=>(const Completion &) const = default;
};

struct BalanceResult
{
    // Share of the requests whose chosen replica had no free slot.
    const double queuedShare_ = 0;
    // 99th percentile of the load per replica, relative to the mean.
    const double relativeP99Load_ = 0;
};

// Simulates routers that send each request to the less loaded of two random replicas of their subset. A router's view
// of the load is the last load report plus its own requests since then.
class Simulation
{
public:
    Simulation(Subsets subsets, double reportSeconds)
        : subsets_(std::move(subsets))
        , reportSeconds_(reportSeconds)
        , views_(routerCount, std::vector<std::size_t>(replicaCount, 0))
        , loads_(replicaCount, 0)
        , random_(simulationSeed)
    {
    }

    auto run() -> BalanceResult
    {
        auto interArrival = std::exponential_distribution<double>(requestsPerSecond);
        auto nextReport = 0.0;
        auto nextSample = warmUpSeconds;
        for (auto now = 0.0; now < simulatedSeconds; now += interArrival(random_)) {
            for (; nextReport <= now; nextReport += reportSeconds_) {
                completeUntil(nextReport);
                std::fill(views_.begin(), views_.end(), loads_);
            }
            completeUntil(now);
            for (; nextSample <= now; nextSample += sampleSeconds) {
                samples_.insert(samples_.end(), loads_.begin(), loads_.end());
            }
            onArrival(now);
        }
        std::sort(samples_.begin(), samples_.end());
        const auto mean = double(std::accumulate(samples_.begin(), samples_.end(), std::size_t(0))) / samples_.size();
        return BalanceResult {.queuedShare_ = double(queued_) / double(arrived_),
            .relativeP99Load_ = double(samples_[samples_.size() * 99 / 100]) / mean};
    }

private:
    auto onArrival(double now) -> void
    {
        const auto router = random_() % routerCount;
        const auto &subset = subsets_[router];
        auto &view = views_[router];
        const auto first = subset[random_() % subset.size()];
        const auto second = subset[random_() % subset.size()];
        const auto chosen = view[first] <= view[second] ? first : second;
        if (now >= warmUpSeconds) {
            ++arrived_;
            queued_ += loads_[chosen] >= slots ? 1 : 0;
        }
        ++view[chosen];
        ++loads_[chosen];
        auto service = std::exponential_distribution<double>(1 / serviceSeconds);
        running_.push(Completion {now + service(random_), router, chosen});
    }

    auto completeUntil(double now) -> void
    {
        for (; !running_.empty() && running_.top().at_ <= now; running_.pop()) {
            const auto &ended = running_.top();
            --loads_[ended.replica_];
            auto &seen = views_[ended.router_][ended.replica_];
            seen -= seen > 0 ? 1 : 0;
        }
    }

    const Subsets subsets_;
    const double reportSeconds_;
    std::vector<std::vector<std::size_t>> views_;
    std::vector<std::size_t> loads_;
    std::mt19937_64 random_;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> running_;
    std::vector<std::size_t> samples_;
    std::size_t arrived_ = 0;
    std::size_t queued_ = 0;
};

using Method
    = std::function<auto(const std::vector<std::size_t> &, const std::vector<std::size_t> &, std::size_t)->Subsets>;

auto simulate(const std::string &name, const Method &method, double reportSeconds) -> void
{
    for (const auto size : {1, 2, 3, 4, 6, 8, 16, 60}) {
        const auto subsets = method(indices(routerCount), indices(replicaCount), std::size_t(size));
        const auto balance = Simulation(subsets, reportSeconds).run();
        printFigure(name + ": requests that find no free slot", size, balance.queuedShare_ * 100, "percent");
        printFigure(name + ": p99 replica load by the mean", size, balance.relativeP99Load_, "ratio");
    }
}

// Prints the minimum and the maximum number of subsets that contain a replica.
auto printSubsetsPerReplica(const std::string &name, const Method &method) -> void
{
    for (const auto size : {1, 2, 3, 4, 6, 8, 16}) {
        auto uses = std::vector<std::size_t>(replicaCount, 0);
        for (const auto &subset : method(indices(routerCount), indices(replicaCount), std::size_t(size))) {
            for (const auto replica : subset) {
                ++uses[replica];
            }
        }
        const auto [least, most] = std::minmax_element(uses.begin(), uses.end());
        printFigure(name + ": fewest routers of a replica", size, double(*least), "routers");
        printFigure(name + ": most routers of a replica", size, double(*most), "routers");
    }
}

auto without(std::size_t count, std::size_t removed) -> std::vector<std::size_t>
{
    auto list = indices(count);
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(removed));
    return list;
}

// Returns the number of links that are in the second assignment but not in the first one. Routers are matched by index,
// which is shifted by one from the removed router on.
auto newLinks(const Subsets &before, const Subsets &after, std::size_t removedRouter) -> std::size_t
{
    auto added = std::size_t(0);
    for (auto index = std::size_t(0); index < after.size(); ++index) {
        const auto &old = before[index + (index >= removedRouter ? 1 : 0)];
        added += static_cast<std::size_t>(
            std::count_if(after[index].begin(), after[index].end(), [&old](std::size_t replica) -> bool {
                return std::find(old.begin(), old.end(), replica) == old.end();
            }));
    }
    return added;
}

} // namespace

auto measureBalance() -> void
{
    printSubsetsPerReplica("bounded subsets", boundedSubsets);
    printSubsetsPerReplica("rendezvous subsets", rendezvousSubsets);
    simulate("bounded subsets, reports each 0.5 s", boundedSubsets, 0.5);
    simulate("bounded subsets, reports each 2 s", boundedSubsets, 2);
    simulate("bounded subsets, reports each 4 s", boundedSubsets, 4);
    simulate("rendezvous subsets, reports each 0.5 s", rendezvousSubsets, 0.5);
}

auto measureChurn() -> void
{
    for (const auto size : {2, 4, 8, 16}) {
        const auto subsetSize = std::size_t(size);
        const auto before = boundedSubsets(indices(routerCount), indices(replicaCount), subsetSize);
        auto byReplica = std::size_t(0);
        for (auto removed = std::size_t(0); removed < replicaCount; ++removed) {
            byReplica += newLinks(
                before, boundedSubsets(indices(routerCount), without(replicaCount, removed), subsetSize), routerCount);
        }
        auto byRouter = std::size_t(0);
        for (auto removed = std::size_t(0); removed < routerCount; ++removed) {
            byRouter += newLinks(
                before, boundedSubsets(without(routerCount, removed), indices(replicaCount), subsetSize), removed);
        }
        printFigure("new links when a replica leaves", size, double(byReplica) / replicaCount, "links");
        printFigure("new links when a router leaves", size, double(byRouter) / routerCount, "links");
    }
}

} // namespace jasminewood::slopes
