#include "jasminewood/forward/stream_origins.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <xxhash.h>

#include "jasminewood/forward/peer_network.h"
#include "jasminewood/forward/retry_decision.h"
#include "stream_origin_codec.h"

namespace jasminewood::forward
{

namespace
{

// The era of a store that never came back from an older copy.
constexpr platform::Era firstEra = 1;
// Stands for agreed versions that are missing in the store. No store has this era.
constexpr auto noEra = std::numeric_limits<std::uint64_t>::max();
// A stream may be resumed as long as its caller waits, and its route's timeout counts anew for each request.
constexpr int memoryTimeouts = 2;
// How long a router waits for the first agreed versions before it writes records, which then are seldom needed.
constexpr Milliseconds firstAgreementTime = Milliseconds(2'000);
// How long a read of the records waits for further ones. The store responds at once if there are any.
constexpr Milliseconds recordsWait = Milliseconds(20);
constexpr Milliseconds readRetryInterval = Milliseconds(100);
// Work at an upstream ends within 300 ms after its caller has left.
constexpr Milliseconds callerCheckInterval = Milliseconds(100);
// Records count as writable for this time after the store was last heard of.
constexpr Milliseconds maximumSilence = Milliseconds(2'000);

auto streamIdOf(const std::string &requestId) -> routing::StreamId
{
    return XXH3_64bits(requestId.data(), requestId.size());
}

auto isKnown(const routing::OriginDecision &decision) -> bool
{
    const auto *origin = std::get_if<routing::StreamOrigin>(&decision);
    return origin != nullptr && origin->version_ != routing::unrecordedVersion;
}

} // namespace

StreamOrigins::StreamOrigins(std::shared_ptr<platform::KeyValueClient> store, const StreamOriginsOptions &options)
    : store_(std::move(store))
    , options_(options)
    , versionsPrefix_(options.keyPrefix_ + "versions/")
    , streamsPrefix_(options.keyPrefix_ + "streams/")
    , proposalDelay_(options.seed_, options.maximumProposalDelay_, options.maximumProposalDelay_)
{
}

auto StreamOrigins::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (auto failure = services.require("configuration", configuration_)) {
        return failure;
    }
    if (auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (auto failure = services.require("store-feed", feed_)) {
        return failure;
    }
    if (const auto network = services.find<PeerNetwork>("peer-network")) {
        network_ = *network;
    }
    writtenCounter_.emplace(environment_->metrics().counter(
        "jasminewood_forward_stream_record_writes_total", "Writes of the versions of streams to the store"));
    readCounter_.emplace(environment_->metrics().counter("jasminewood_forward_stream_record_reads_total",
        "Reads of the versions of streams that the feed had not brought yet"));
    subscribe(*feed_);
    writeThread_ = std::thread([this] {
        runWrites();
    });
    readThread_ = std::thread([this] {
        runReads();
    });
    return std::nullopt;
}

auto StreamOrigins::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
        if (recordsCall_) {
            recordsCall_->cancel();
        }
    }
    workCondition_.notify_all();
    readCondition_.notify_all();
    originCondition_.notify_all();
    for (auto *thread : {&writeThread_, &readThread_}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

auto StreamOrigins::subscribe(StoreFeed &feed) -> void
{
    feed.addListener({.keyPrefix_ = options_.keyPrefix_,
        .onSnapshot_ =
            [this](const platform::Snapshot &snapshot) {
                applySnapshot(snapshot);
            },
        .onEvent_ =
            [this](const platform::WatchEvent &event) {
                applyEvent(event);
            },
        .onProgress_ =
            [this](BootTime upToDateAt) {
                applyProgress(upToDateAt);
            }});
}

auto StreamOrigins::allowedVersions(const std::string &service) const -> std::set<std::string>
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    if (!versions_) {
        return {};
    }
    const auto admitted = versions_->admittedVersions(service, now);
    // Other routers may not know yet of a version that is agreed on, and much less of one that is not.
    return admitted.empty() ? versions_->agreedVersions(service) : admitted;
}

auto StreamOrigins::versionWithoutRecord(const std::string &service) const -> std::optional<std::string>
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    return versions_ && !canRecord(now) ? versions_->baseVersion(service) : std::nullopt;
}

auto StreamOrigins::canRecord(TimePoint now) const -> bool
{
    return now >= recordsDelayedUntil_ && storeAge() <= maximumSilence;
}

auto StreamOrigins::delayRecords(TimePoint now) -> void
{
    recordsDelayedUntil_ = now + options_.retryInterval_;
    nextRecordsAt_ = std::max(nextRecordsAt_, recordsDelayedUntil_);
}

auto StreamOrigins::recordBegin(const std::string &requestId, const routing::StreamOrigin &origin, TimePoint deadline,
    const std::function<auto()->bool> &hasCallerLeft) -> Status
{
    if (requestId.empty()) {
        return std::nullopt;
    }
    const auto version = internal::isWritable(origin.version_) ? origin.version_ : routing::unrecordedVersion;
    const auto record = routing::StreamRecord {
        .stream_ = streamIdOf(requestId), .origin_ = {.service_ = origin.service_, .version_ = version}};
    const auto now = Clock::now();
    auto lock = std::unique_lock(mutex_);
    const auto need = versions_ ? versions_->recordBegin(record, storeAge(), now) : routing::RecordNeed::Never;
    if (need == routing::RecordNeed::Never) {
        return std::nullopt;
    }
    scheduleRecords(now, need);
    if (need == routing::RecordNeed::Later) {
        return std::nullopt;
    }
    const auto isDecided = [this, &record] {
        return stopping_ || versions_->isWritten(record.stream_) || Clock::now() < recordsDelayedUntil_;
    };
    while (!originCondition_.wait_until(lock, std::min(deadline, Clock::now() + callerCheckInterval), isDecided)
        && Clock::now() < deadline) {
        if (hasCallerLeft && hasCallerLeft()) {
            return Failure {.step_ = "caller", .reason_ = "the caller closed its connection"};
        }
    }
    if (versions_->isWritten(record.stream_)) {
        return std::nullopt;
    }
    if (const auto failedAt = Clock::now(); failedAt >= recordsDelayedUntil_) {
        delayRecords(failedAt);
    }
    return Failure {.step_ = "record", .reason_ = "the software version of the stream could not be written"};
}

auto StreamOrigins::awaitOrigin(const std::string &requestId, const std::string &service, TimePoint deadline)
    -> routing::OriginDecision
{
    const auto stream = streamIdOf(requestId);
    const auto arrivedAt = BootClock::now();
    auto lock = std::unique_lock(mutex_);
    while (true) {
        const auto now = Clock::now();
        const auto view = routing::StoreView {
            .age_ = storeAge(), .includesRecords_ = recordsReadAt_ && *recordsReadAt_ >= arrivedAt};
        const auto decision = versions_ ? versions_->originOf(stream, service, view, now)
                                        : routing::OriginDecision(routing::UnknownOrigin {});
        if (isKnown(decision)) {
            return decision;
        }
        if (stopping_ || now >= deadline) {
            return routing::UnknownOrigin {};
        }
        if (std::holds_alternative<routing::RecordsNeeded>(decision)) {
            recordsNeededAt_ = std::max(recordsNeededAt_.value_or(arrivedAt), arrivedAt);
            readCondition_.notify_all();
        }
        originCondition_.wait_until(lock, deadline);
    }
}

auto StreamOrigins::runReads() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (true) {
        readCondition_.wait(lock, [this] {
            return stopping_ || (recordsNeededAt_ && (!recordsReadAt_ || *recordsReadAt_ < *recordsNeededAt_));
        });
        if (stopping_) {
            return;
        }
        if (const auto failure = readRecords(lock)) {
            environment_->log().warning("the versions of streams could not be read", observe::fieldsOf(*failure));
            // Requests that still wait ask again.
            recordsNeededAt_.reset();
            readCondition_.wait_for(lock, readRetryInterval, [this] {
                return stopping_;
            });
        }
        originCondition_.notify_all();
    }
}

auto StreamOrigins::readRecords(std::unique_lock<std::mutex> &lock) -> Status
{
    const auto startedAt = BootClock::now();
    const auto call = std::make_shared<platform::WatchCall>();
    recordsCall_ = call;
    lock.unlock();
    auto events = std::vector<platform::WatchEvent>();
    const auto end = store_->watch(
        {.key_ = options_.keyPrefix_, .isPrefix_ = true, .after_ = feed_->position(), .timeout_ = recordsWait}, *call,
        [&events](const platform::WatchEvent &event) {
            events.push_back(event);
        });
    readCounter_->add();
    lock.lock();
    recordsCall_.reset();
    if (!end) {
        return end.failure();
    }
    if (end->era_ != era_) {
        return Failure {.step_ = "read", .reason_ = "the store came back from an older copy"};
    }
    const auto now = Clock::now();
    for (const auto &event : events) {
        applyChange(event, now);
    }
    recordsReadAt_ = startedAt;
    return std::nullopt;
}

auto StreamOrigins::storeAge() const -> Milliseconds
{
    return upToDateAt_ ? std::chrono::ceil<Milliseconds>(BootClock::now() - *upToDateAt_) : Milliseconds::max();
}

auto StreamOrigins::versionsKey(const std::string &service) const -> std::string
{
    return versionsPrefix_ + internal::keyPart(service);
}

auto StreamOrigins::applySnapshot(const platform::Snapshot &snapshot) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    if (!versions_) {
        const auto hasEntries
            = std::any_of(snapshot.entries_.begin(), snapshot.entries_.end(), [this](const auto &entry) {
                  return entry.key_.starts_with(versionsPrefix_) || entry.key_.starts_with(streamsPrefix_);
              });
        versions_.emplace(
            routing::StreamVersionsOptions {.isFirstStart_ = !hasEntries && snapshot.position_.era_ <= firstEra});
        nextRecordsAt_ = hasEntries ? now : now + firstAgreementTime;
    }
    if (snapshot.position_.era_ != era_) {
        batch_.reset();
    }
    era_ = snapshot.position_.era_;
    versions_->setEra(std::uint64_t(era_));
    auto missing = std::exchange(revisions_, {});
    for (const auto &entry : snapshot.entries_) {
        missing.erase(entry.key_);
        applyEntry(entry, routing::HeardChanges::Some, now);
    }
    for (const auto &[key, revision] : missing) {
        applyLostVersions(key, now);
    }
    originCondition_.notify_all();
}

auto StreamOrigins::applyEvent(const platform::WatchEvent &event) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    applyChange(event, now);
    originCondition_.notify_all();
}

auto StreamOrigins::applyEntry(const platform::KeyValue &entry, routing::HeardChanges heard, TimePoint now) -> void
{
    if (entry.key_.starts_with(versionsPrefix_)) {
        applyVersions(entry, heard, now);
        return;
    }
    if (!entry.key_.starts_with(streamsPrefix_)) {
        return;
    }
    const auto records = internal::parseStreams(entry.value_);
    if (!records) {
        logIgnored(entry, records.failure());
        return;
    }
    for (const auto &record : *records) {
        versions_->recordReported(record, now);
    }
}

auto StreamOrigins::applyDeletion(const platform::KeyDeleted &deletion, TimePoint now) -> void
{
    const auto known = revisions_.find(deletion.key_);
    if (known != revisions_.end() && deletion.revision_ > known->second) {
        revisions_.erase(known);
        applyLostVersions(deletion.key_, now);
    }
}

auto StreamOrigins::applyVersions(const platform::KeyValue &entry, routing::HeardChanges heard, TimePoint now) -> void
{
    auto &revision = revisions_[entry.key_];
    if (entry.modRevision_ <= revision) {
        // The feed repeats changes that the snapshot included.
        return;
    }
    revision = entry.modRevision_;
    const auto parsed = internal::parseVersions(entry.value_);
    if (!parsed || versionsKey(parsed->service_) != entry.key_) {
        logIgnored(
            entry, parsed ? Failure {.step_ = "decode", .reason_ = "the key is of another service"} : parsed.failure());
        applyLostVersions(entry.key_, now);
        return;
    }
    versions_->setAgreed(parsed->service_, parsed->agreed_, now, heard);
    environment_->log().info("read the agreed versions of a service",
        {{"service", parsed->service_}, {"versions", internal::versionsText(parsed->agreed_.versions_)},
            {"base", parsed->agreed_.base_}, {"agreed_era", std::int64_t(parsed->agreed_.era_)}, {"era", era_},
            {"revision", entry.modRevision_}});
}

auto StreamOrigins::applyLostVersions(const std::string &key, TimePoint now) -> void
{
    for (const auto &service : services_) {
        if (versionsKey(service) == key) {
            versions_->setAgreed(service, {.era_ = noEra, .versions_ = versions_->agreedVersions(service)}, now);
        }
    }
}

auto StreamOrigins::logIgnored(const platform::KeyValue &entry, const Failure &failure) const -> void
{
    environment_->log().warning("ignored a malformed entry about versions of streams",
        {{"key", entry.key_}, {"revision", entry.modRevision_}, {"reason", failure.reason_}});
}

auto StreamOrigins::applyChange(const platform::WatchEvent &event, TimePoint now) -> void
{
    if (const auto *put = std::get_if<platform::KeyPut>(&event)) {
        applyEntry(put->entry_, routing::HeardChanges::All, now);
    } else {
        applyDeletion(std::get<platform::KeyDeleted>(event), now);
    }
}

auto StreamOrigins::applyProgress(BootTime upToDateAt) -> void
{
    const auto registered = upstreams_->registeredVersions();
    const auto table = configuration_->current();
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    if (!versions_) {
        return;
    }
    if (table != table_) {
        applyConfiguration(table);
    }
    auto known = routing::VersionsByService();
    for (const auto &[service, versions] : registered) {
        if (services_.contains(service)) {
            auto &ofService = known[service];
            ofService = versions;
            std::erase_if(ofService, [](const auto &version) {
                return version == routing::unrecordedVersion || !internal::isWritable(version);
            });
        }
    }
    versions_->setRegistered(known, now);
    upToDateAt_ = std::max(upToDateAt_.value_or(upToDateAt), upToDateAt);
    originCondition_.notify_all();
    scheduleProposals(now);
    if (versions_->hasUnwritten()) {
        scheduleRecords(now, routing::RecordNeed::Later);
    }
}

auto StreamOrigins::applyConfiguration(const std::shared_ptr<const routes::RouteTable> &table) -> void
{
    table_ = table;
    services_.clear();
    for (const auto &route : table_->configuration().routes_) {
        if (!isResumable(route)) {
            continue;
        }
        // Streams that began under an earlier configuration may still be resumed, so the memory never shrinks.
        memory_ = std::max(memory_, memoryTimeouts * route.timeout_);
        for (const auto &service : route.weightedServices_) {
            services_.insert(service.service_);
        }
    }
    if (memory_.count() > 0) {
        versions_->setMemory(memory_);
    }
}

} // namespace jasminewood::forward
