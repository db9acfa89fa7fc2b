#include "jasminewood/congestion/lag_admission.h"

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::congestion;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto target = Milliseconds(400);

auto conditions(Milliseconds lag) -> LagConditions
{
    return {.lag_ = lag, .hasPeers_ = true, .sinceStart_ = 5s, .requests_ = 100};
}

// Returns how many of 1,000 requests of the kind with evenly spread hashes are refused. Each has waited for the lag.
auto refusedOf1000(const ResponseKind &kind, std::uint32_t urgency, const LagConditions &conditions) -> int
{
    constexpr auto step = std::uint64_t(4'294'967);
    auto refused = 0;
    for (auto number = std::uint64_t(0); number < 1'000; ++number) {
        const auto decision = admitUnderLag({.kind_ = kind,
                                                .target_ = target,
                                                .elapsed_ = conditions.lag_,
                                                .urgency_ = urgency,
                                                .hash_ = number * step},
            conditions);
        refused += std::holds_alternative<RefusedForLag>(decision) ? 1 : 0;
    }
    return refused;
}

auto isRefused(const LagRequest &request, const LagConditions &conditions) -> bool
{
    return std::holds_alternative<RefusedForLag>(admitUnderLag(request, conditions));
}

const testkit::TestSuite suite = {"the admission under lag",
    {
        section("of a process that lags more than the target allows",
            {
                // Guards against refusing streams, whose loss costs most, before plain requests, and urgent requests
                // before others.
                test("refuses plain requests before streams and the least urgent first",
                    [] {
                        const auto lagging = conditions(250ms);
                        const auto plain = refusedOf1000(PlainResponse {}, leastUrgent, lagging);
                        const auto urgentPlain = refusedOf1000(PlainResponse {}, 0, lagging);
                        const auto stream = refusedOf1000(EventStream {}, leastUrgent, lagging);
                        check(plain > urgentPlain && plain > stream, std::to_string(plain));
                        check(refusedOf1000(EventStream {}, 0, lagging) == 0);
                    }),
                // Guards against a share of refusals that does not follow the lag.
                test("refuses more the higher the lag is, and all at a lag of the whole target",
                    [] {
                        auto last = 0;
                        for (const auto lag : {210ms, 260ms, 320ms, 400ms}) {
                            const auto refused = refusedOf1000(PlainResponse {}, leastUrgent, conditions(lag));
                            check(refused > last, std::to_string(refused));
                            last = refused;
                        }
                        check(last == 1'000);
                    }),
                // Guards against refusing what can still be in time.
                test("admits a request whose remaining target is longer than the lag",
                    [] {
                        check(!isRefused(
                            {.target_ = target, .elapsed_ = 100ms, .urgency_ = leastUrgent}, conditions(290ms)));
                        check(isRefused(
                            {.target_ = target, .elapsed_ = 120ms, .urgency_ = leastUrgent}, conditions(290ms)));
                    }),
            }),
        section("of a process that lags little",
            {
                // Guards against refusals that are due to late handling of one request alone.
                test("refuses nothing below a quarter of the target",
                    [] {
                        check(!isRefused(
                            {.target_ = target, .elapsed_ = 390ms, .urgency_ = leastUrgent}, conditions(99ms)));
                    }),
            }),
        section("where a refusal would help nobody",
            {
                // Guards against refused callers that have nowhere to go, and against a stream that ends half-way.
                property(
                    "refuses nothing without peers, soon after the start, without a target, or of a resumed stream",
                    [](std::uint64_t hash, std::uint16_t lagMs) {
                        const auto lag = Milliseconds(lagMs);
                        const auto request
                            = LagRequest {.target_ = target, .elapsed_ = lag, .urgency_ = leastUrgent, .hash_ = hash};
                        RC_ASSERT(!isRefused(request, {.lag_ = lag, .sinceStart_ = 5s, .requests_ = 100}));
                        RC_ASSERT(!isRefused(
                            request, {.lag_ = lag, .hasPeers_ = true, .sinceStart_ = 999ms, .requests_ = 100}));
                        RC_ASSERT(
                            !isRefused({.elapsed_ = lag, .urgency_ = leastUrgent, .hash_ = hash}, conditions(lag)));
                        RC_ASSERT(!isRefused({.kind_ = EventStream {.resumes_ = true},
                                                 .target_ = target,
                                                 .elapsed_ = lag,
                                                 .urgency_ = leastUrgent,
                                                 .hash_ = hash},
                            conditions(lag)));
                    }),
                // Guards against a router that refuses nearly everything, and then gets no load by which it could see
                // that the lag has ended.
                test("refuses at most half of the requests of a second",
                    [] {
                        auto tally = RefusalTally();
                        const auto now = TimePoint(1'000s);
                        for (auto number = 0; number < 100; ++number) {
                            tally.recordRequest(now);
                            const auto refused = isRefused({.target_ = target, .elapsed_ = 1s},
                                {.lag_ = 1s,
                                    .hasPeers_ = true,
                                    .sinceStart_ = 5s,
                                    .requests_ = tally.requests(now),
                                    .refused_ = tally.refused(now)});
                            if (refused) {
                                tally.recordRefusal(now);
                            }
                        }
                        check(tally.refused(now) == 50, std::to_string(tally.refused(now)));
                        check(tally.requests(now + 1s) == 0 && tally.refused(now + 1s) == 0);
                    }),
            }),
        section("that refuses a request",
            {
                // Guards against callers that come back together.
                property("spreads the retries over 50 to 200 ms",
                    [](std::uint64_t hash) {
                        const auto decision
                            = admitUnderLag({.target_ = target, .elapsed_ = 1s, .hash_ = hash}, conditions(1s));
                        const auto retryAfter = std::get<RefusedForLag>(decision).retryAfter_;
                        RC_ASSERT(retryAfter >= minimumRetryDelay && retryAfter <= maximumRetryDelay);
                    }),
            }),
    }};

} // namespace
