#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <vector>

#include <rapidcheck.h>

#include "jasminewood/routing/answer_age.h"
#include "jasminewood/routing/crashing_request_detector.h"
#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using testkit::property;
using testkit::section;

namespace
{

constexpr auto start = TimePoint(Milliseconds(1'000'000'000));
constexpr auto step = Milliseconds(100);
constexpr auto playTime = Milliseconds(45'000);
constexpr std::size_t engineCount = 6;
constexpr auto downTime = Milliseconds(2'000);
constexpr std::uint64_t sharedByAll = 1;
constexpr std::uint64_t deadlySegment = 66;
constexpr std::uint64_t firstSoundSegment = 100;
constexpr std::uint32_t soundSegments = 8;
// The operators' bounds: so many requests with a deadly segment may be sent later than so long after the fifth crash.
constexpr std::size_t crashesBeforeBound = 5;
constexpr auto reactionTime = Milliseconds(3'000);
constexpr int maximumLateRequests = 3;

struct TrafficOptions
{
    // How long an answer takes. It brings tokens in each step.
    const Milliseconds answerTime_ = Milliseconds(1'000);
    // The time between two crashes of engines by themselves; 0 for none.
    const Milliseconds crashInterval_ = Milliseconds(0);
    // The age at which answers to requests with the deadly segment crash their engine; empty for no such requests.
    const std::optional<Milliseconds> crashAge_;
};

// Simulates a router whose engines crash under the answers that they write. Prompts share their first segment, and each
// sound second one with an eighth of the others.
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
        auto nextCrashAt = now_ + options_.crashInterval_;
        while (now_ < start + playTime) {
            now_ += step;
            sendRequest(firstSoundSegment + random_() % soundSegments);
            if (options_.crashAge_ && random_() % 7 == 0) {
                sendRequest(deadlySegment);
            }
            advanceAnswers();
            if (options_.crashInterval_.count() > 0 && now_ >= nextCrashAt) {
                nextCrashAt += options_.crashInterval_;
                crash(random_() % engineCount);
            }
        }
    }

    auto lateRequests() const -> int
    {
        if (deadlyCrashedAt_.size() < crashesBeforeBound) {
            return 0;
        }
        const auto boundFrom = deadlyCrashedAt_.at(crashesBeforeBound - 1) + reactionTime;
        return int(std::count_if(deadlySentAt_.begin(), deadlySentAt_.end(), [boundFrom](TimePoint sentAt) {
            return sentAt > boundFrom;
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
    struct Answer
    {
        std::size_t engine_ = 0;
        std::uint64_t segment_ = 0;
        TimePoint begunAt_;
        AnswerAge age_;
    };

    static auto featuresOf(std::uint64_t segment) -> RequestFeatures
    {
        return {SharedSegment {.id_ = sharedByAll}, SharedSegment {.id_ = segment}};
    }

    auto sendRequest(std::uint64_t segment) -> void
    {
        const auto isSound = segment != deadlySegment;
        const auto rank = [](const RequestFeature & /*feature*/) {
            return std::size_t(0);
        };
        if (detector_.admit(featuresOf(segment), rank, now_)) {
            soundRefused_ += isSound ? 1 : 0;
            return;
        }
        const auto engine = random_() % engineCount;
        if (now_ < downUntil_.at(engine)) {
            return;
        }
        soundSent_ += isSound ? 1 : 0;
        if (!isSound) {
            deadlySentAt_.push_back(now_);
        }
        answers_.push_back({.engine_ = engine, .segment_ = segment, .begunAt_ = now_ + step});
    }

    auto advanceAnswers() -> void
    {
        auto crashing = std::vector<std::size_t>();
        for (auto &answer : answers_) {
            if (now_ < answer.begunAt_) {
                continue;
            }
            answer.age_.recordToken(now_);
            const auto age = now_ - answer.begunAt_;
            if (answer.segment_ == deadlySegment && age >= *options_.crashAge_) {
                crashing.push_back(answer.engine_);
                deadlyCrashedAt_.push_back(now_);
            } else if (age >= options_.answerTime_ || answer.age_.takeSurvival(now_)) {
                detector_.recordSuccess(featuresOf(answer.segment_), now_);
            }
        }
        for (const auto engine : crashing) {
            crash(engine);
        }
        std::erase_if(answers_, [this](const Answer &answer) {
            return now_ - answer.begunAt_ >= options_.answerTime_;
        });
    }

    auto crash(std::size_t engine) -> void
    {
        ++crashCount_;
        downUntil_.at(engine) = now_ + downTime;
        for (const auto &answer : answers_) {
            if (answer.engine_ == engine && answer.age_.isStarting()) {
                detector_.recordCrash({.id_ = crashCount_, .answerBegan_ = answer.age_.hasFirstToken()},
                    featuresOf(answer.segment_), now_);
            }
        }
        std::erase_if(answers_, [engine](const Answer &answer) {
            return answer.engine_ == engine;
        });
    }

    std::mt19937 random_;
    const TrafficOptions options_;
    TimePoint now_ = start;
    CrashingRequestDetector detector_;
    std::vector<Answer> answers_;
    std::array<TimePoint, engineCount> downUntil_ = {};
    std::vector<TimePoint> deadlySentAt_;
    std::vector<TimePoint> deadlyCrashedAt_;
    CrashId crashCount_ = 0;
    int soundRefused_ = 0;
    int soundSent_ = 0;
};

auto checkBounds(const TrafficOptions &options) -> void
{
    auto traffic = RandomTraffic(*rc::gen::arbitrary<std::uint32_t>(), options);
    traffic.run();
    RC_ASSERT(traffic.lateRequests() <= maximumLateRequests);
    RC_ASSERT(traffic.soundRefused() * 20 <= traffic.soundSent());
}

const testkit::TestSuite suite = {"a detector of crashing requests, told of the age of the lost answers,",
    {
        section("where a segment crashes engines after the answer has begun",
            {
                // Guards against a deadly segment that is never refused because its answers bring tokens before the
                // crash.
                property("stops it whether the crash comes with the first token or later",
                    [] {
                        checkBounds(
                            {.crashAge_ = *rc::gen::elementOf(std::vector<Milliseconds> {0ms, 200ms, 500ms, 900ms})});
                    }),
                property("stops it beside long answers too",
                    [] {
                        checkBounds({.answerTime_ = 20s,
                            .crashAge_ = *rc::gen::elementOf(std::vector<Milliseconds> {0ms, 200ms, 500ms, 900ms})});
                    }),
            }),
        section("where engines crash for reasons of their own",
            {
                // Guards against popular segments that are refused because hardly an answer completes between two
                // crashes.
                property("refuses hardly any sound request, also where answers are long",
                    [] {
                        checkBounds({.answerTime_ = *rc::gen::elementOf(std::vector<Milliseconds> {3s, 10s, 30s}),
                            .crashInterval_ = 1'500ms});
                    }),
            }),
    }};

} // namespace
