#include "jasminewood/wire/codec.h"

#include "arbitrary_message.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto isRejected(std::string_view bytes) -> bool
{
    const auto message = wire::decode(bytes);
    return !message && message.failure().step_ == "decode" && !message.failure().reason_.empty();
}

auto isValidOrRejected(std::string_view bytes) -> bool
{
    const auto message = wire::decode(bytes);
    return message ? !wire::validate(*message) : isRejected(bytes);
}

// Replaces the byte of the version or of the type number in an encoded message with fewer than 16 items.
auto withByte(std::string bytes, std::size_t position, char value) -> std::string
{
    bytes[position] = value;
    return bytes;
}

constexpr std::size_t versionPosition = 1;
constexpr std::size_t typePosition = 2;
// A message of 16 items or more begins with an array 16 header of three bytes.
constexpr char array16Header = '\xdc';
constexpr std::size_t array16TypePosition = 4;

auto usageOf(std::size_t accounts) -> wire::Message
{
    auto totals = std::map<std::string, wire::AccountUsage>();
    for (auto index = std::size_t(0); index < accounts; ++index) {
        totals.emplace("account-" + std::to_string(index), wire::AccountUsage {.requests_ = 1, .work_ = index});
    }
    return wire::AccountUsageReport {.router_ = {.name_ = "r", .incarnation_ = 1}, .accounts_ = std::move(totals)};
}

auto manifestOf(std::size_t size) -> wire::Message
{
    return wire::ManifestUpdate {.revision_ = 1, .text_ = std::string(size, 'x')};
}

auto cancelOf(std::size_t size) -> wire::Message
{
    return wire::Cancel {.attempt_ = {.requestId_ = std::string(size, 'x'), .number_ = 1}};
}

// Checks that validate() and decode() apply the same limit: both accept the allowed message and reject the other.
auto checkLimit(const wire::Message &allowed, const wire::Message &rejected) -> void
{
    check(!wire::validate(allowed));
    check(bool(wire::decode(wire::encode(allowed))));
    check(wire::validate(rejected).has_value() && wire::validate(rejected)->step_ == "encode");
    check(isRejected(wire::encode(rejected)));
}

const testkit::TestSuite engineLoads = {"a report of the load of engines",
    {
        // Guards against routers of two builds that ignore each other's reports while no prompt is late.
        test("is encoded as by earlier routers, and read from them, if no late prefill is pending",
            [] {
                const auto reportOf = [](const wire::EngineLoad &load) {
                    return wire::encode(wire::EngineUsageReport {.router_ = {.name_ = "r"}, .engines_ = {{"e", load}}});
                };
                const auto withoutLate = reportOf({.pendingPrefillTokens_ = 7, .inFlightRequests_ = 2});
                const auto earlierForm = std::string("\x81\xa1\x65\x92\x07\x02");
                check(withoutLate.find(earlierForm) != std::string::npos);
                check(bool(wire::decode(withoutLate)));
                const auto withLate
                    = reportOf({.pendingPrefillTokens_ = 7, .inFlightRequests_ = 2, .latePrefillTokens_ = 3});
                check(withLate.find("\x81\xa1\x65\x93\x07\x02\x03") != std::string::npos);
            }),
    }};

const testkit::TestSuite roundTrips = {"a message of any type",
    {
        // Guards against a field that the encoding drops, reorders or truncates.
        property("is the same after a round trip and valid",
            [] {
                for (const auto &message : wire::anyMessageOfEachType()) {
                    const auto decoded = wire::decode(wire::encode(message));
                    RC_ASSERT(bool(decoded));
                    RC_ASSERT(*decoded == message);
                    RC_ASSERT(!wire::validate(message));
                }
            }),
        // Guards against a type number that changes when the variant is reordered.
        property("has the type number of its position in the table",
            [] {
                auto number = char(0);
                for (const auto &message : wire::anyMessageOfEachType()) {
                    const auto bytes = wire::encode(message);
                    RC_ASSERT(bytes[bytes[0] == array16Header ? array16TypePosition : typePosition] == ++number);
                }
            }),
    }};

const testkit::TestSuite damagedMessages = {"a damaged message",
    {
        section("truncated at any byte",
            {
                // Guards against a partial message that is decoded as a complete one.
                property("is rejected",
                    [] {
                        for (const auto &message : wire::anyMessageOfEachType()) {
                            const auto bytes = wire::encode(message);
                            for (auto size = std::size_t(0); size < bytes.size(); ++size) {
                                RC_ASSERT(isRejected(std::string_view(bytes).substr(0, size)));
                            }
                        }
                    }),
            }),
        section("followed by more bytes",
            {
                // Guards against two messages under one length prefix, the second of which would be lost.
                test("is rejected",
                    [] {
                        check(isRejected(wire::encode(wire::Drain {}) + wire::encode(wire::Drain {})));
                    }),
            }),
        section("with changed bytes",
            {
                // Guards against input that causes a crash or an exception.
                property("is rejected or is another valid message",
                    [] {
                        for (const auto &message : wire::anyMessageOfEachType()) {
                            auto bytes = wire::encode(message);
                            const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
                            bytes[position] = *rc::gen::arbitrary<char>();
                            RC_ASSERT(isValidOrRejected(bytes));
                        }
                    }),
                property("that are random is rejected or is a valid message",
                    [](const std::string &bytes) {
                        RC_ASSERT(isValidOrRejected(bytes));
                    }),
            }),
        section("with a length field far above its size",
            {
                // Guards against allocation by an unchecked length field: 4 GiB in these messages.
                test("is rejected",
                    [] {
                        check(isRejected("\xdd\xff\xff\xff\xff"));
                        check(isRejected("\x93\x01\x0d\xdb\xff\xff\xff\xff"));
                        check(isRejected("\x93\x01\x0d\xc6\xff\xff\xff\xff"));
                        check(isRejected("\x94\x01\x0e\xdf\xff\xff\xff\xff"));
                    }),
            }),
        section("nested far too deeply",
            {
                // Guards against a parser stack that grows without bound on malicious input.
                test("is rejected",
                    [] {
                        check(isRejected(std::string(1U << 20U, '\x91')));
                    }),
            }),
    }};

const testkit::TestSuite otherVersions = {"a message of another",
    {
        section("version",
            {
                // Guards against decoding fields that have another meaning in the other version.
                test("is rejected with both versions in the reason",
                    [] {
                        const auto bytes = withByte(wire::encode(wire::Drain {}), versionPosition, '\x01');
                        const auto message = wire::decode(bytes);
                        check(!message && message.failure().step_ == "decode");
                        check(message.failure().reason_
                            == "protocol version 1 instead of " + std::to_string(wire::protocolVersion));
                    }),
            }),
        section("type",
            {
                test("is rejected if the type is unknown",
                    [] {
                        check(isRejected(withByte(wire::encode(wire::Drain {}), typePosition, '\x00')));
                        check(isRejected(withByte(wire::encode(wire::Drain {}), typePosition, '\x13')));
                    }),
                test("is rejected if the type has other fields",
                    [] {
                        check(isRejected(withByte(wire::encode(wire::Drain {}), typePosition, '\x01')));
                        check(isRejected(withByte(wire::encode(cancelOf(1)), typePosition, '\x0f')));
                    }),
            }),
    }};

const testkit::TestSuite limits = {"the limit of",
    {
        // Guards against a sender whose connection is closed because the peer rejects its message.
        test("a name is the same on both sides",
            [] {
                checkLimit(cancelOf(wire::maximumNameBytes), cancelOf(wire::maximumNameBytes + 1));
            }),
        test("a body is the same on both sides",
            [] {
                checkLimit(manifestOf(wire::maximumBodyBytes), manifestOf(wire::maximumBodyBytes + 1));
            }),
        test("a map is the same on both sides",
            [] {
                checkLimit(usageOf(wire::maximumEntries), usageOf(wire::maximumEntries + 1));
            }),
        test("a list is the same on both sides",
            [] {
                const auto report = wire::CrashReport {.fingerprint_ = 1, .crashId_ = "a@1/1"};
                checkLimit(wire::CrashReports {.reports_ = std::vector(wire::maximumEntries, report)},
                    wire::CrashReports {.reports_ = std::vector(wire::maximumEntries + 1, report)});
            }),
        test("a whole message is the same on both sides",
            [] {
                const auto half = std::string(wire::maximumBodyBytes, 'x');
                const auto message = wire::Message(wire::Dispatch {.body_ = half, .resumeText_ = half});
                check(wire::validate(message).has_value());
                check(isRejected(wire::encode(message)));
            }),
        test("a duration is rejected on both sides when negative or too long",
            [] {
                const auto negative = wire::Dispatch {.maximumWait_ = Milliseconds(-1)};
                const auto tooLong = wire::Dispatch {.maximumWait_ = wire::maximumDuration + Milliseconds(1)};
                checkLimit(wire::Dispatch {.maximumWait_ = wire::maximumDuration}, negative);
                checkLimit(wire::Dispatch {.maximumWait_ = wire::maximumDuration}, tooLong);
            }),
    }};

} // namespace
