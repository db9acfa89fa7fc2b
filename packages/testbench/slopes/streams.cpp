#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "jasminewood/http/client.h"
#include "live.h"
#include "process.h"
#include "report.h"

namespace jasminewood::slopes
{

namespace
{

constexpr auto measuredWindow = Milliseconds(4'000);
constexpr auto openDeadline = Milliseconds(15'000);
constexpr std::size_t probes = 60;
// The probes' answers; the engine gives one token a millisecond.
constexpr std::size_t probeTokens = 32;

auto chatBody(const std::string &model, const std::string &message) -> std::string
{
    return fmt::format(
        R"({{"model":"{}","stream":true,"messages":[{{"role":"user","content":"{}"}}]}})", model, message);
}

auto chatRequest(const std::string &url, const std::string &key, const std::string &requestClass,
    const std::string &body) -> http::ClientRequest
{
    return http::ClientRequest {.method_ = "POST",
        .url_ = url + "/v1/chat/completions",
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + key},
            {.name_ = "Content-Type", .value_ = "application/json"},
            {.name_ = "X-Request-Class", .value_ = requestClass}},
        .body_ = body,
        .timeout_ = Milliseconds(170'000)};
}

// Counts the tokens in a piece of a stream: each is an event with a "content" field.
auto tokensIn(std::string_view data) -> std::size_t
{
    auto count = std::size_t(0);
    for (auto at = data.find("\"content\""); at != std::string_view::npos; at = data.find("\"content\"", at + 1)) {
        ++count;
    }
    return count;
}

// What all open streams have received. Thread-safe.
class StreamLog
{
public:
    auto opened() -> void
    {
        const auto lock = std::lock_guard(mutex_);
        ++open_;
        changed_.notify_all();
    }

    // Waits until this many streams have received output; returns false at the deadline.
    auto awaitOpen(std::size_t count) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return changed_.wait_for(lock, openDeadline, [&]() -> bool {
            return open_ >= count;
        });
    }

    auto tokens() const -> std::size_t
    {
        return tokens_;
    }

    auto received(std::size_t tokens) -> void
    {
        tokens_ += tokens;
    }

private:
    std::atomic<std::size_t> tokens_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t open_ = 0;
};

// A stream that stays open until the object is destroyed, read by one task.
class OpenStream
{
public:
    OpenStream(const Deployment &deployment, std::size_t number, StreamLog &log)
        : task_([this,
                    request = chatRequest(deployment.callersUrl_, deployment.key_, "slow",
                        chatBody("slow", fmt::format("stream {} [tokens=100000]", number))),
                    &log]() -> void {
            auto open = false;
            const auto ended = call_.perform(request, {}, [&](std::string_view data) -> bool {
                log.received(tokensIn(data));
                if (!open && tokensIn(data) > 0) {
                    open = true;
                    log.opened();
                }
                return true;
            });
            if (!open) {
                fmt::print(stderr, "a stream did not open: {}\n", ended ? "no output" : toString(ended.failure()));
            }
        })
    {
    }

    ~OpenStream()
    {
        call_.cancel();
        task_.join();
    }

    OpenStream(const OpenStream &) = delete;
    auto operator=(const OpenStream &) -> OpenStream & = delete;

private:
    http::StreamCall call_;
    std::thread task_;
};

using Streams = std::vector<std::unique_ptr<OpenStream>>;

struct ProbeTimes
{
    std::vector<double> first_;
    std::vector<double> whole_;
};

auto since(TimePoint begun) -> double
{
    return std::chrono::duration<double, std::milli>(Clock::now() - begun).count();
}

// Sends short requests one after the other and notes the milliseconds to the first and to the last byte of output.
auto probe(const std::string &url, const std::string &key) -> ProbeTimes
{
    auto times = ProbeTimes();
    for (auto number = std::size_t(0); number < probes; ++number) {
        const auto request = chatRequest(
            url, key, "quick", chatBody("quick", fmt::format("probe {} [tokens={}]", number, probeTokens)));
        auto first = 0.0;
        auto call = http::StreamCall();
        const auto begun = Clock::now();
        const auto status = call.perform(request, {}, [&](std::string_view data) -> bool {
            first = first == 0 && tokensIn(data) > 0 ? since(begun) : first;
            return true;
        });
        if (status && *status == 200) {
            times.first_.push_back(first);
            times.whole_.push_back(since(begun));
        }
    }
    std::sort(times.first_.begin(), times.first_.end());
    std::sort(times.whole_.begin(), times.whole_.end());
    return times;
}

auto quantile(const std::vector<double> &sorted, double fraction) -> double
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * double(sorted.size() - 1))];
}

struct StreamPoints
{
    Points routerMemory_;
    Points agentMemory_;
    Points routerThreads_;
    Points agentThreads_;
    Points routerProcessor_;
    Points agentProcessor_;
    Points directMedian_;
    Points routedMedian_;
    Points firstMedian_;
    Points firstTail_;
    Points wholeMedian_;
    Points wholeTail_;
};

auto measureProbes(const Deployment &deployment, double streams, StreamPoints &points) -> void
{
    const auto direct = probe(deployment.engineUrl_, deployment.key_);
    const auto routed = probe(deployment.callersUrl_, deployment.key_);
    if (routed.first_.size() < probes) {
        fmt::print(stderr, "{} of {} probes were answered with {} streams\n", routed.first_.size(), probes, streams);
    }
    const auto added = [](const auto &with, const auto &without, double fraction) -> double {
        return quantile(with, fraction) - quantile(without, fraction);
    };
    points.directMedian_.push_back(Point {streams, quantile(direct.first_, 0.5)});
    points.routedMedian_.push_back(Point {streams, quantile(routed.first_, 0.5)});
    points.firstMedian_.push_back(Point {streams, added(routed.first_, direct.first_, 0.5)});
    points.firstTail_.push_back(Point {streams, added(routed.first_, direct.first_, 0.95)});
    points.wholeMedian_.push_back(Point {streams, added(routed.whole_, direct.whole_, 0.5)});
    points.wholeTail_.push_back(Point {streams, added(routed.whole_, direct.whole_, 0.95)});
}

auto measureLoad(const Deployment &deployment, double streams, const StreamLog &log, StreamPoints &points) -> void
{
    const auto tokensBefore = log.tokens();
    const auto routerBefore = processorMicroseconds(deployment.router_);
    const auto agentBefore = processorMicroseconds(deployment.agent_);
    std::this_thread::sleep_for(measuredWindow);
    const auto window = std::chrono::duration<double>(measuredWindow).count();
    const auto rate = double(log.tokens() - tokensBefore) / window;
    points.routerProcessor_.push_back(
        Point {rate, (processorMicroseconds(deployment.router_) - routerBefore) / window});
    points.agentProcessor_.push_back(Point {rate, (processorMicroseconds(deployment.agent_) - agentBefore) / window});
    points.routerMemory_.push_back(Point {streams, residentBytes(deployment.router_)});
    points.agentMemory_.push_back(Point {streams, residentBytes(deployment.agent_)});
    points.routerThreads_.push_back(Point {streams, threadCount(deployment.router_)});
    points.agentThreads_.push_back(Point {streams, threadCount(deployment.agent_)});
}

// Processor time of short requests, without any open stream.
auto measureRequests(const Deployment &deployment) -> void
{
    auto router = Points();
    auto agent = Points();
    for (const auto rounds : {1, 2, 3, 4}) {
        const auto routerBefore = processorMicroseconds(deployment.router_);
        const auto agentBefore = processorMicroseconds(deployment.quickAgent_);
        for (auto round = 0; round < rounds; ++round) {
            static_cast<void>(probe(deployment.callersUrl_, deployment.key_));
        }
        const auto requests = double(rounds) * double(probes);
        router.push_back(Point {requests, processorMicroseconds(deployment.router_) - routerBefore});
        agent.push_back(Point {requests, processorMicroseconds(deployment.quickAgent_) - agentBefore});
    }
    const auto name = fmt::format("processor time per request of {} tokens", probeTokens);
    printSlope("router " + name, router, "us");
    printSlope("agent " + name, agent, "us");
}

auto print(const StreamPoints &points) -> void
{
    printSlope("router memory per open stream", points.routerMemory_, "bytes");
    printSlope("agent memory per open stream", points.agentMemory_, "bytes");
    printSlope("router threads per open stream", points.routerThreads_, "threads");
    printSlope("agent threads per open stream", points.agentThreads_, "threads");
    printSlope("router processor time per token", points.routerProcessor_, "us/s");
    printSlope("agent processor time per token", points.agentProcessor_, "us/s");
    printSlope("first token from the engine, median, by open streams", points.directMedian_, "ms");
    printSlope("first token through router and agent, median, by open streams", points.routedMedian_, "ms");
    printSlope("first token added by router and agent, median, by open streams", points.firstMedian_, "ms");
    printSlope("first token added by router and agent, p95, by open streams", points.firstTail_, "ms");
    printSlope("answer of 32 tokens added by router and agent, median, by open streams", points.wholeMedian_, "ms");
    printSlope("answer of 32 tokens added by router and agent, p95, by open streams", points.wholeTail_, "ms");
}

} // namespace

auto measureStreams(const Deployment &deployment) -> void
{
    measureRequests(deployment);
    auto log = StreamLog();
    auto streams = Streams();
    auto points = StreamPoints();
    for (const auto count : {0, 50, 100, 200, 400, 800}) {
        while (streams.size() < std::size_t(count)) {
            streams.push_back(std::make_unique<OpenStream>(deployment, streams.size(), log));
        }
        if (!log.awaitOpen(streams.size())) {
            fmt::print(stderr, "not all of {} streams are open\n", count);
            break;
        }
        measureLoad(deployment, double(count), log, points);
        measureProbes(deployment, double(count), points);
    }
    print(points);
}

} // namespace jasminewood::slopes
