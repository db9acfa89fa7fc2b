#include "decisions.h"

#include <random>

#include <fmt/format.h>

#include "jasminewood/admission/account_rate_limiter.h"
#include "jasminewood/routing/upstream_chooser.h"
#include "jasminewood/scheduling/attempt_scheduler.h"
#include "process.h"
#include "report.h"
#include "sample.h"

namespace jasminewood::slopes
{

namespace
{

constexpr std::uint64_t candidateSeed = 20'261'204;

auto candidates(std::size_t count) -> std::vector<routing::UpstreamCandidate>
{
    auto random = std::mt19937_64(candidateSeed);
    auto result = std::vector<routing::UpstreamCandidate>();
    for (auto index = std::size_t(0); index < count; ++index) {
        result.push_back(routing::UpstreamCandidate {
            .node_ = {.name_ = fmt::format("agent-lj-a-{:05}", index), .incarnation_ = index + 1},
            .dataCentre_ = "lj-a",
            .outstanding_ = static_cast<std::uint32_t>(random() % 4),
            .queuedAhead_ = static_cast<std::uint32_t>(random() % 20),
            .freeSlots_ = static_cast<std::uint32_t>(random() % 8)});
    }
    return result;
}

auto measureRouting(const std::string &slope, const std::vector<std::size_t> &sizes) -> void
{
    auto points = Points();
    for (const auto size : sizes) {
        const auto candidateList = candidates(size);
        auto chooser = routing::UpstreamChooser(candidateSeed, "lj-a");
        auto prefix = std::uint64_t(0);
        points.push_back(Point {static_cast<double>(size), meanMicroseconds([&]() -> void {
                                    ++prefix;
                                    static_cast<void>(chooser.choose(routing::PowerOfChoices {},
                                        routing::SelectionRequest {.prefixHash_ = prefix, .tier_ = 1}, candidateList));
                                })});
    }
    printSlope(slope, points, "us");
}

auto schedulerPolicy(std::uint32_t queueLimit) -> scheduling::SchedulerPolicy
{
    auto classes = std::vector<scheduling::ClassPolicy>();
    for (auto tier = std::size_t(0); tier < sampleClasses; ++tier) {
        classes.push_back(scheduling::ClassPolicy {
            .name_ = fmt::format("class-{}", tier), .tier_ = static_cast<Tier>(tier), .minimumShare_ = 0.05});
    }
    return scheduling::SchedulerPolicy {
        .classes_ = std::move(classes), .concurrency_ = 1, .longLaneSlots_ = 1, .queueLimit_ = queueLimit};
}

auto queueEntry(std::size_t index) -> scheduling::QueueEntry
{
    const auto tier = index % sampleClasses;
    return scheduling::QueueEntry {.attempt_ = {.requestId_ = fmt::format("r-lj-a-01-{:08}", index), .number_ = 1},
        .account_ = accountName(index % 64),
        .requestClass_ = fmt::format("class-{}", tier),
        .tier_ = static_cast<Tier>(tier),
        .costEstimate_ = 365,
        .maximumWait_ = Milliseconds(600'000),
        .enqueuedAt_ = TimePoint() + Milliseconds(index)};
}

// Returns a scheduler whose queue holds `length` attempts, with a queue limit of `queueLimit`.
auto filledQueue(std::size_t length, std::size_t queueLimit) -> std::shared_ptr<scheduling::AttemptScheduler>
{
    auto queue
        = std::make_shared<scheduling::AttemptScheduler>(schedulerPolicy(static_cast<std::uint32_t>(queueLimit)));
    for (auto index = std::size_t(0); index < length; ++index) {
        static_cast<void>(queue->enqueue(queueEntry(index), TimePoint() + Milliseconds(index)));
    }
    return queue;
}

} // namespace

auto measureRoutingDecisions() -> void
{
    measureRouting("routing decision, all candidates", {12, 100, 1'000, 12'000});
    measureRouting("routing decision, subset", {4, 8, 16, 32, 64});
}

auto measureSchedulingDecisions() -> void
{
    auto times = Points();
    auto bytes = Points();
    for (const auto length : {16, 64, 256, 1'024}) {
        const auto queueLimit = std::size_t(length) * 4;
        const auto queue = filledQueue(std::size_t(length), queueLimit);
        auto index = std::size_t(length);
        const auto scheduleOne = [&]() -> void {
            const auto now = TimePoint() + Milliseconds(index);
            const auto started = queue->startNext(now);
            if (started) {
                queue->onFinished(started->attempt_, 365);
            }
            static_cast<void>(queue->enqueue(queueEntry(index), now));
            ++index;
        };
        times.push_back(Point {static_cast<double>(length), meanMicroseconds(scheduleOne)});
        bytes.push_back(Point {static_cast<double>(length), heapBytesOf([&]() {
                                   return filledQueue(std::size_t(length), queueLimit);
                               })});
    }
    printSlope("scheduling decision (enqueue, start, finish) per queued request", times, "us");
    printSlope("gate queue memory per queued request", bytes, "bytes");
}

auto measureAdmissionDecisions() -> void
{
    auto points = Points();
    for (const auto accounts : {10, 100, 1'000, 4'000, 13'000}) {
        auto limits = admission::AccountLimits();
        for (auto index = 0; index < accounts; ++index) {
            limits.emplace(accountName(std::size_t(index)), admission::AccountLimit {20, 8'000});
        }
        auto limiter = admission::AccountRateLimiter(TimePoint());
        limiter.configure(limits, 340, TimePoint());
        auto step = std::size_t(0);
        points.push_back(Point {static_cast<double>(accounts), meanMicroseconds([&]() -> void {
                                    ++step;
                                    static_cast<void>(limiter.admit(accountName(step * 7'919 % std::size_t(accounts)),
                                        365, TimePoint() + Milliseconds(step)));
                                })});
    }
    printSlope("admission decision per account", points, "us");
}

} // namespace jasminewood::slopes
