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
constexpr auto openTimeout = Milliseconds(15'000);
constexpr std::size_t probes = 60;
// Output tokens of one probe. The engine generates one token per millisecond.
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

// Counts the tokens in a chunk of a stream: each token is an event with a "content" field.
auto tokensIn(std::string_view data) -> std::size_t
{
    auto count = std::size_t(0);
    for (auto at = data.find("\"content\""); at != std::string_view::npos; at = data.find("\"content\"", at + 1)) {
        ++count;
    }
    return count;
}

// Counts the open streams and the tokens that they have received. Thread-safe.
class StreamCounters
{
public:
    auto onOpened() -> void
    {
        const auto lock = std::lock_guard(mutex_);
        ++open_;
        changed_.notify_all();
    }

    // Waits until this many streams have received output; returns false at the deadline.
    auto awaitOpen(std::size_t count) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return changed_.wait_for(lock, openTimeout, [&]() -> bool {
            return open_ >= count;
        });
    }

    auto tokens() const -> std::size_t
    {
        return tokens_;
    }

    auto onTokens(std::size_t tokens) -> void
    {
        tokens_ += tokens;
    }

private:
    std::atomic<std::size_t> tokens_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t open_ = 0;
};

// A stream that stays open until the object is destroyed. One thread reads it.
class OpenStream
{
public:
    OpenStream(const Deployment &deployment, std::size_t number, StreamCounters &counters)
        : thread_([this,
                      request = chatRequest(deployment.callersUrl_, deployment.key_, "slow",
                          chatBody("slow", fmt::format("stream {} [tokens=100000]", number))),
                      &counters]() -> void {
            auto open = false;
            const auto ended = call_.perform(request, {}, [&](std::string_view data) -> bool {
                counters.onTokens(tokensIn(data));
                if (!open && tokensIn(data) > 0) {
                    open = true;
                    counters.onOpened();
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
        thread_.join();
    }

    OpenStream(const OpenStream &) = delete;
    auto operator=(const OpenStream &) -> OpenStream & = delete;

private:
    http::StreamCall call_;
    std::thread thread_;
};

using Streams = std::vector<std::unique_ptr<OpenStream>>;

struct ProbeLatencies
{
    std::vector<double> firstToken_;
    std::vector<double> total_;
};

auto millisecondsSince(TimePoint start) -> double
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

// Sends short requests one after the other and returns the sorted latencies in milliseconds until the first token and
// until the end of the response.
auto probe(const std::string &url, const std::string &key) -> ProbeLatencies
{
    auto latencies = ProbeLatencies();
    for (auto number = std::size_t(0); number < probes; ++number) {
        const auto request = chatRequest(
            url, key, "quick", chatBody("quick", fmt::format("probe {} [tokens={}]", number, probeTokens)));
        auto first = 0.0;
        auto call = http::StreamCall();
        const auto start = Clock::now();
        const auto status = call.perform(request, {}, [&](std::string_view data) -> bool {
            first = first == 0 && tokensIn(data) > 0 ? millisecondsSince(start) : first;
            return true;
        });
        if (status && *status == 200) {
            latencies.firstToken_.push_back(first);
            latencies.total_.push_back(millisecondsSince(start));
        }
    }
    std::sort(latencies.firstToken_.begin(), latencies.firstToken_.end());
    std::sort(latencies.total_.begin(), latencies.total_.end());
    return latencies;
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
    Points firstTokenMedian_;
    Points firstTokenP95_;
    Points totalMedian_;
    Points totalP95_;
};

auto measureProbes(const Deployment &deployment, double streams, StreamPoints &points) -> void
{
    const auto direct = probe(deployment.engineUrl_, deployment.key_);
    const auto routed = probe(deployment.callersUrl_, deployment.key_);
    if (routed.firstToken_.size() < probes) {
        fmt::print(
            stderr, "only {} of {} probes succeeded with {} streams\n", routed.firstToken_.size(), probes, streams);
    }
    const auto added = [](const auto &with, const auto &without, double fraction) -> double {
        return quantile(with, fraction) - quantile(without, fraction);
    };
    points.directMedian_.push_back(Point {streams, quantile(direct.firstToken_, 0.5)});
    points.routedMedian_.push_back(Point {streams, quantile(routed.firstToken_, 0.5)});
    points.firstTokenMedian_.push_back(Point {streams, added(routed.firstToken_, direct.firstToken_, 0.5)});
    points.firstTokenP95_.push_back(Point {streams, added(routed.firstToken_, direct.firstToken_, 0.95)});
    points.totalMedian_.push_back(Point {streams, added(routed.total_, direct.total_, 0.5)});
    points.totalP95_.push_back(Point {streams, added(routed.total_, direct.total_, 0.95)});
}

auto measureLoad(const Deployment &deployment, double streams, const StreamCounters &counters, StreamPoints &points)
    -> void
{
    const auto tokensBefore = counters.tokens();
    const auto routerBefore = processorMicroseconds(deployment.router_);
    const auto agentBefore = processorMicroseconds(deployment.agent_);
    std::this_thread::sleep_for(measuredWindow);
    const auto window = std::chrono::duration<double>(measuredWindow).count();
    const auto rate = double(counters.tokens() - tokensBefore) / window;
    points.routerProcessor_.push_back(
        Point {rate, (processorMicroseconds(deployment.router_) - routerBefore) / window});
    points.agentProcessor_.push_back(Point {rate, (processorMicroseconds(deployment.agent_) - agentBefore) / window});
    points.routerMemory_.push_back(Point {streams, residentBytes(deployment.router_)});
    points.agentMemory_.push_back(Point {streams, residentBytes(deployment.agent_)});
    points.routerThreads_.push_back(Point {streams, threadCount(deployment.router_)});
    points.agentThreads_.push_back(Point {streams, threadCount(deployment.agent_)});
}

// Measures the CPU time of short requests without any open stream.
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
    printSlope("first token added by router and agent, median, by open streams", points.firstTokenMedian_, "ms");
    printSlope("first token added by router and agent, p95, by open streams", points.firstTokenP95_, "ms");
    printSlope("answer of 32 tokens added by router and agent, median, by open streams", points.totalMedian_, "ms");
    printSlope("answer of 32 tokens added by router and agent, p95, by open streams", points.totalP95_, "ms");
}

} // namespace

auto measureStreams(const Deployment &deployment) -> void
{
    measureRequests(deployment);
    auto counters = StreamCounters();
    auto streams = Streams();
    auto points = StreamPoints();
    for (const auto count : {0, 50, 100, 200, 400, 800}) {
        while (streams.size() < std::size_t(count)) {
            streams.push_back(std::make_unique<OpenStream>(deployment, streams.size(), counters));
        }
        if (!counters.awaitOpen(streams.size())) {
            fmt::print(stderr, "not all of {} streams are open\n", count);
            break;
        }
        measureLoad(deployment, double(count), counters, points);
        measureProbes(deployment, double(count), points);
    }
    print(points);
}

} // namespace jasminewood::slopes
