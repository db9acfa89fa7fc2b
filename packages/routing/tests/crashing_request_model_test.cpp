#include "jasminewood/routing/crashing_request_detector.h"

#include <algorithm>
#include <array>
#include <list>
#include <random>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using testkit::property;
using testkit::section;

namespace
{

const auto start = TimePoint(Milliseconds(1'000'000'000));
constexpr std::uint64_t sharedByAll = 1;
constexpr std::uint64_t deadly = 66;
constexpr std::uint64_t otherDeadly = 77;
constexpr std::size_t routerCount = 4;
constexpr std::size_t reportedFeatures = 32;
// How many requests are sent in each step that may be lost in a crash, and for how long.
constexpr int waitingPerStep = 10;
constexpr auto waitingTime = Milliseconds(2'000);
// The steps of such requests before the simulation, so that the first crashes find as many as later ones.
constexpr int stepsBefore = 20;
// The operators' bounds: how many requests with a deadly feature may be sent later than this after the fifth crash by a
// segment, and after the third one by a whole request.
constexpr int maximumLateRequests = 3;
constexpr auto reactionTime = Milliseconds(3'000);
constexpr std::size_t segmentCrashesBeforeBound = 5;
constexpr std::size_t requestCrashesBeforeBound = 3;

// Returns the features of a request with these prompt segments.
auto segments(const std::vector<std::uint64_t> &ids) -> RequestFeatures
{
    auto features = RequestFeatures();
    for (const auto id : ids) {
        features.emplace_back(SharedSegment {.id_ = id});
    }
    return features;
}

// Returns the features of a request without a prompt.
auto request(std::uint64_t fingerprint) -> RequestFeatures
{
    return {WholeRequest {.fingerprint_ = fingerprint}};
}

auto idOf(const RequestFeature &feature) -> std::uint64_t
{
    return std::visit(Overloaded {[](const SharedSegment &segment) {
                                      return segment.id_;
                                  },
                          [](const WholeRequest &whole) {
                              return whole.fingerprint_;
                          }},
        feature);
}

// What is sent in a simulation, and what of it is deadly.
struct TrafficOptions
{
    const bool hasDeadlySegment_ = false;
    const bool hasSecondDeadlySegment_ = false;
    const bool hasDeadlyRequest_ = false;
    const int requestsPerStep_ = 3;
    // Whether half of the requests have no prompt. One in deadlyRequestInterval_ of them is the deadly one, and one in
    // popularRequestInterval_ of the others always the same sound one.
    const bool hasRequestsWithoutPrompt_ = false;
    const std::uint32_t deadlyRequestInterval_ = 8;
    const std::uint32_t popularRequestInterval_ = 4;
};

// Simulates routers that send requests to engines for a minute. Prompts share their first segment; some hold a segment
// that crashes the engine. Other requests have no prompt; one of them may crash each engine, and another one comes as
// often. Engines also crash by themselves, several at once. Reports are lost and delayed, and a router restarts. What
// is lost beside the cause of a crash was let pass by its router, but up to two seconds before, maybe before a refusal.
class RandomTraffic
{
public:
    RandomTraffic(std::uint32_t seed, const TrafficOptions &options)
        : random_(seed)
        , options_(options)
    {
    }

    auto run() -> void
    {
        for (auto step = 0; step < stepsBefore; ++step) {
            sendWaiting();
        }
        for (auto step = 0; step < 600; ++step) {
            now_ += 100ms;
            deliverReports();
            sendWaiting();
            for (auto index = 0; index < options_.requestsPerStep_; ++index) {
                sendRequest();
            }
            if (step % 10 == 0) {
                reportAll();
            }
            if (step % 97 == 0) {
                crashSeveralEngines();
            }
            if (step == 300) {
                restartRouter();
            }
        }
    }

    // Returns how many requests with a deadly feature were sent too late after the crash from which the bound counts.
    auto lateRequests(const RequestFeature &feature, std::size_t crashesBeforeBound) const -> int
    {
        const auto found = crashesBy_.find(feature);
        if (found == crashesBy_.end() || found->second.size() < crashesBeforeBound) {
            return 0;
        }
        const auto boundFrom = found->second[crashesBeforeBound - 1] + reactionTime;
        return int(std::count_if(found->second.begin(), found->second.end(), [boundFrom](TimePoint crashedAt) {
            return crashedAt > boundFrom;
        }));
    }

    auto soundRefused() const -> int
    {
        return soundRefused_;
    }

    auto soundSent() const -> int
    {
        return soundSent_;
    }

private:
    struct Delayed
    {
        TimePoint dueAt_;
        std::size_t router_;
        CrashEvidence evidence_;
    };

    // A sound request that an engine has not begun to answer.
    struct Waiting
    {
        TimePoint sentAt_;
        std::size_t router_;
        RequestFeatures features_;
    };

    // The features of a request, and which of them is deadly.
    struct Sample
    {
        const RequestFeatures features_;
        const std::optional<RequestFeature> deadly_;
    };

    auto randomBelow(std::uint32_t limit) -> std::uint32_t
    {
        return std::uint32_t(random_() % limit);
    }

    auto makePrompt(std::uint64_t first, std::uint64_t second) -> RequestFeatures
    {
        auto features = segments({first, second});
        features.emplace_back(WholeRequest {.fingerprint_ = ++promptCount_});
        return features;
    }

    auto randomPrompt() -> Sample
    {
        const auto isDeadly = options_.hasDeadlySegment_ && randomBelow(20) == 0;
        const auto deadlySegment = options_.hasSecondDeadlySegment_ && randomBelow(2) == 0 ? otherDeadly : deadly;
        const auto first = sharedByAll + randomBelow(4);
        const auto second = isDeadly ? deadlySegment : 100 + randomBelow(80);
        return {.features_ = makePrompt(first, second),
            .deadly_ = isDeadly ? std::optional(RequestFeature(SharedSegment {.id_ = second})) : std::nullopt};
    }

    auto randomRequest() -> Sample
    {
        const auto isDeadly = options_.hasDeadlyRequest_ && randomBelow(options_.deadlyRequestInterval_) == 0;
        const auto features = request(isDeadly
                ? deadly
                : 1'000'000 + (randomBelow(options_.popularRequestInterval_) == 0 ? 0 : randomBelow(200)));
        return {.features_ = features, .deadly_ = isDeadly ? std::optional(features.back()) : std::nullopt};
    }

    auto randomSample() -> Sample
    {
        return !options_.hasRequestsWithoutPrompt_ || randomBelow(2) == 0 ? randomPrompt() : randomRequest();
    }

    auto sendRequest() -> void
    {
        const auto router = randomBelow(std::uint32_t(routers_.size()));
        const auto [features, deadlyFeature] = randomSample();
        if (routers_[router].admit(features, rankAt(router), now_)) {
            soundRefused_ += deadlyFeature ? 0 : 1;
            return;
        }
        soundSent_ += deadlyFeature ? 0 : 1;
        if (!deadlyFeature) {
            routers_[router].recordSuccess(features, now_);
            reportNews(router);
            return;
        }
        crashesBy_[*deadlyFeature].push_back(now_);
        crashEngine(router, features);
    }

    // Sound requests of the same engine are lost with the one that caused the crash.
    auto crashEngine(std::size_t router, const RequestFeatures &features) -> void
    {
        const auto crash = CrashId(++crashCount_);
        routers_[router].recordCrash({.id_ = crash}, features, now_);
        reportNews(router);
        for (auto bystander = 0; bystander < 10 && !waiting_.empty(); ++bystander) {
            const auto lost = waiting_.begin() + randomBelow(std::uint32_t(waiting_.size()));
            routers_[lost->router_].recordCrash({.id_ = crash}, lost->features_, now_);
            reportNews(lost->router_);
            waiting_.erase(lost);
        }
    }

    // Sends the requests that may be lost in crashes. The others end as if their callers had left: nothing is learned.
    auto sendWaiting() -> void
    {
        std::erase_if(waiting_, [this](const Waiting &request) {
            return now_ - request.sentAt_ >= waitingTime;
        });
        for (auto index = 0; index < waitingPerStep; ++index) {
            const auto router = std::size_t(randomBelow(std::uint32_t(routers_.size())));
            const auto features = randomBystander();
            if (!routers_[router].admit(features, rankAt(router), now_)) {
                waiting_.push_back({.sentAt_ = now_, .router_ = router, .features_ = features});
            }
        }
    }

    static auto rankAt(std::size_t router) -> TrialRank
    {
        return [router](const RequestFeature &feature) {
            return std::size_t(router + idOf(feature)) % routerCount;
        };
    }

    auto randomBystander() -> RequestFeatures
    {
        if (options_.hasRequestsWithoutPrompt_ && randomBelow(2) != 0) {
            const auto sample = randomRequest();
            return sample.deadly_ ? randomBystander() : sample.features_;
        }
        const auto first = sharedByAll + randomBelow(4);
        return makePrompt(first, 100 + randomBelow(80));
    }

    auto crashSeveralEngines() -> void
    {
        for (auto engine = 0; engine < 5; ++engine) {
            const auto router = randomBelow(std::uint32_t(routers_.size()));
            crashEngine(router, makePrompt(sharedByAll, 100 + randomBelow(80)));
        }
    }

    auto reportNews(std::size_t router) -> void
    {
        if (routers_[router].hasNews()) {
            report(router, routers_[router].takeNews(now_));
        }
    }

    auto reportAll() -> void
    {
        for (auto router = std::size_t(0); router < routers_.size(); ++router) {
            report(router, routers_[router].evidence(reportedFeatures, now_));
        }
    }

    auto report(std::size_t router, const CrashEvidence &evidence) -> void
    {
        for (auto other = std::size_t(0); other < routers_.size(); ++other) {
            const auto isLost = randomBelow(4) == 0;
            if (other != router && !isLost) {
                delayed_.push_back({now_ + Milliseconds(randomBelow(500)), other, evidence});
            }
        }
    }

    auto deliverReports() -> void
    {
        for (auto entry = delayed_.begin(); entry != delayed_.end();) {
            const auto isDue = entry->dueAt_ <= now_;
            if (isDue) {
                routers_[entry->router_].merge(entry->evidence_, now_);
            }
            entry = isDue ? delayed_.erase(entry) : std::next(entry);
        }
    }

    auto restartRouter() -> void
    {
        routers_.front() = CrashingRequestDetector();
        routers_.front().merge(routers_.back().evidence(reportedFeatures, now_), now_);
    }

    std::mt19937 random_;
    const TrafficOptions options_;
    TimePoint now_ = start;
    std::array<CrashingRequestDetector, routerCount> routers_;
    std::list<Delayed> delayed_;
    std::vector<Waiting> waiting_;
    std::map<RequestFeature, std::vector<TimePoint>> crashesBy_;
    int crashCount_ = 0;
    std::uint64_t promptCount_ = 2'000'000;
    int soundRefused_ = 0;
    int soundSent_ = 0;
};

auto checkSoundRefused(const RandomTraffic &traffic) -> void
{
    RC_ASSERT(traffic.soundRefused() * 20 <= traffic.soundSent());
}

auto checkSegmentBounds(const TrafficOptions &options) -> void
{
    auto traffic = RandomTraffic(*rc::gen::arbitrary<std::uint32_t>(), options);
    traffic.run();
    for (const auto segment : {deadly, otherDeadly}) {
        RC_ASSERT(
            traffic.lateRequests(SharedSegment {.id_ = segment}, segmentCrashesBeforeBound) <= maximumLateRequests);
    }
    checkSoundRefused(traffic);
}

auto checkRequestBounds(const TrafficOptions &options) -> void
{
    auto traffic = RandomTraffic(*rc::gen::arbitrary<std::uint32_t>(), options);
    traffic.run();
    RC_ASSERT(
        traffic.lateRequests(WholeRequest {.fingerprint_ = deadly}, requestCrashesBeforeBound) <= maximumLateRequests);
    checkSoundRefused(traffic);
}

const testkit::TestSuite suite = {"detectors of crashing requests",
    {
        section("of several routers",
            {
                // Guards against a budget of crashes that holds at one router only, with reports lost, late and
                // repeated and engines that also crash by themselves.
                property(
                    "stops a deadly segment after a few crashes over all routers, and refuses hardly anything else",
                    [] {
                        checkSegmentBounds({.hasDeadlySegment_ = true});
                    }),
                property("stops two deadly segments at once",
                    [] {
                        checkSegmentBounds({.hasDeadlySegment_ = true, .hasSecondDeadlySegment_ = true});
                    }),
            }),
        section("of several routers, beside as many requests without a prompt,",
            {
                property("stops a deadly segment",
                    [] {
                        checkSegmentBounds(
                            {.hasDeadlySegment_ = true, .requestsPerStep_ = 6, .hasRequestsWithoutPrompt_ = true});
                    }),
                property("stops two deadly segments",
                    [] {
                        checkSegmentBounds({.hasDeadlySegment_ = true,
                            .hasSecondDeadlySegment_ = true,
                            .requestsPerStep_ = 6,
                            .hasRequestsWithoutPrompt_ = true});
                    }),
                property("stops a deadly request after a few crashes, and refuses hardly anything else",
                    [] {
                        checkRequestBounds({.hasDeadlyRequest_ = true,
                            .requestsPerStep_ = 6,
                            .hasRequestsWithoutPrompt_ = true,
                            .deadlyRequestInterval_ = 16,
                            .popularRequestInterval_ = 8});
                    }),
            }),
        section("of several routers, where one request in eight crashes its engine and a sound one is in most crashes,",
            {
                // Guards against a popular request that is refused in place of the deadly one.
                property("stops a deadly request",
                    [] {
                        checkRequestBounds({.hasDeadlyRequest_ = true, .hasRequestsWithoutPrompt_ = true});
                    }),
                property("stops two deadly segments and a deadly request",
                    [] {
                        const auto options = TrafficOptions {.hasDeadlySegment_ = true,
                            .hasSecondDeadlySegment_ = true,
                            .hasDeadlyRequest_ = true,
                            .hasRequestsWithoutPrompt_ = true};
                        checkSegmentBounds(options);
                        checkRequestBounds(options);
                    }),
            }),
    }};

} // namespace
