#include "jasminewood/forward/upstream_watcher.h"

#include <utility>

#include <fmt/format.h>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::forward
{

UpstreamWatcher::UpstreamWatcher(
    const ProtocolAdapter &protocolAdapter, const std::string &dataCentre, std::uint64_t seed)
    : protocolAdapter_(protocolAdapter)
    , pool_(seed, dataCentre)
{
}

auto UpstreamWatcher::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    auto feed = std::shared_ptr<StoreFeed>();
    if (auto failure = services.require("store-feed", feed)) {
        return failure;
    }
    pool_.setRouterName(environment_->identity().node_.name_);
    feed->addListener({.keyPrefix_ = protocolAdapter_.upstreamPrefix_,
        .onSnapshot_ =
            [this](const platform::Snapshot &snapshot) {
                applySnapshot(snapshot);
            },
        .onEvent_ =
            [this](const platform::WatchEvent &event) {
                applyEvent(event);
            },
        .onProgress_ =
            [this](BootTime /*at*/) {
                const auto lock = std::scoped_lock(mutex_);
                directory_.onStoreAvailable(Clock::now());
                updatePool();
                if (!std::exchange(storeReachable_, true)) {
                    environment_->log().info("the store of the upstreams is reachable");
                }
            },
        .onFailure_ =
            [this](const Failure &failure) {
                const auto lock = std::scoped_lock(mutex_);
                directory_.onStoreFailed(Clock::now());
                updatePool();
                if (std::exchange(storeReachable_, false)) {
                    environment_->log().warning(
                        "the store of the upstreams is unreachable", observe::fieldsOf(failure));
                }
            }});
    return std::nullopt;
}

auto UpstreamWatcher::stop() -> void
{
}

auto UpstreamWatcher::pool() -> UpstreamPool &
{
    return pool_;
}

auto UpstreamWatcher::registeredVersions() const -> std::map<std::string, std::set<std::string>>
{
    const auto lock = std::scoped_lock(mutex_);
    return directory_.versionsByService(Clock::now());
}

auto UpstreamWatcher::recordAvailability(const Assignment &assignment, const ResponseMetadata &metadata) -> void
{
    const auto isFromService = metadata.notRun_ || metadata.hasSignature_ || !metadata.requestId_.empty();
    if (metadata.misdirected_ || !isFromService) {
        return;
    }
    recordRateLimit(assignment, metadata);
    if (metadata.leaving_ && pool_.recordLeaving(assignment)) {
        logUnavailable(assignment, "leaving");
    }
    if (metadata.notRun_ && metadata.retryAfter_
        && pool_.recordRetryAfter(assignment, *metadata.retryAfter_, Clock::now())) {
        logUnavailable(assignment, "retry after", {{"retry_after_ms", metadata.retryAfter_->count()}});
    }
}

auto UpstreamWatcher::recordRateLimit(const Assignment &assignment, const ResponseMetadata &metadata) -> void
{
    const auto namesNone = std::holds_alternative<routing::NoRateLimit>(metadata.rateLimit_);
    if (namesNone && !metadata.hasSignature_) {
        return;
    }
    if (std::holds_alternative<routing::UnreadableRateLimit>(metadata.rateLimit_)) {
        environment_->log().warning(
            "an upstream named an unreadable request rate", {{"upstream", assignment.upstream_.id_}});
    }
    if (pool_.recordRateLimit(assignment, metadata.rateLimit_, Clock::now())) {
        const auto *limit = std::get_if<routing::RateLimit>(&metadata.rateLimit_);
        environment_->log().info("the request rate of an upstream changed",
            {{"upstream", assignment.upstream_.id_}, {"service", assignment.upstream_.service_},
                {"upstream_incarnation", assignment.upstream_.incarnation_},
                {"per_second", limit != nullptr ? fmt::format("{}", limit->perSecond_) : "no limit"}});
    }
}

auto UpstreamWatcher::logUnavailable(
    const Assignment &assignment, const std::string &reason, const observe::Fields &extraFields) const -> void
{
    environment_->metrics()
        .counter("jasminewood_forward_unavailable_upstreams_total",
            "Upstreams that asked for no further requests with a response", {{"reason", reason}})
        .add();
    environment_->log().info("an upstream takes no new requests",
        observe::concatenate({{"upstream", assignment.upstream_.id_}, {"service", assignment.upstream_.service_},
                                 {"upstream_incarnation", assignment.upstream_.incarnation_}, {"reason", reason}},
            extraFields));
}

auto UpstreamWatcher::loaded() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return loaded_;
}

auto UpstreamWatcher::awaitLoaded(TimePoint deadline) const -> void
{
    auto lock = std::unique_lock(mutex_);
    loadedCondition_.wait_until(lock, deadline, [this] {
        return loaded_;
    });
}

auto UpstreamWatcher::upstreamIdOf(const std::string &key) const -> std::string
{
    return key.substr(std::min(key.size(), protocolAdapter_.upstreamPrefix_.size()));
}

auto UpstreamWatcher::parseEntry(const platform::KeyValue &entry) const -> std::optional<membership::UpstreamRecord>
{
    auto record = std::optional<membership::UpstreamRecord>();
    // An entry whose parser throws names no upstream either, and must not keep the others from being applied.
    environment_->contain("parse an upstream entry", [this, &entry, &record] {
        const auto parsed = protocolAdapter_.parseUpstream_(entry);
        if (parsed) {
            record.emplace(*parsed);
        } else {
            environment_->log().warning("ignored a malformed upstream entry", observe::fieldsOf(parsed.failure()));
        }
    });
    return record;
}

auto UpstreamWatcher::applySnapshot(const platform::Snapshot &snapshot) -> void
{
    auto records = std::vector<membership::UpstreamRecord>();
    auto malformedIds = std::vector<std::string>();
    for (const auto &entry : snapshot.entries_) {
        if (const auto record = parseEntry(entry)) {
            records.push_back(*record);
        } else {
            malformedIds.push_back(upstreamIdOf(entry.key_));
        }
    }
    const auto lock = std::scoped_lock(mutex_);
    const auto restored = loaded_ && snapshot.position_.era_ != era_;
    if (restored) {
        directory_.restoreAll(records, Clock::now());
    } else {
        directory_.replaceAll(records, Clock::now());
    }
    for (const auto &id : malformedIds) {
        directory_.invalidate(id, Clock::now());
    }
    era_ = snapshot.position_.era_;
    loaded_ = true;
    updatePool();
    loadedCondition_.notify_all();
    for (const auto &id : directory_.outdatedUpstreams()) {
        environment_->log().info("an entry is older than what its upstream said", {{"upstream", id}});
    }
    environment_->log().info("read all upstream entries",
        {{"era", snapshot.position_.era_}, {"revision", snapshot.position_.revision_},
            {"entries", std::int64_t(records.size())}, {"malformed", std::int64_t(malformedIds.size())}});
}

auto UpstreamWatcher::applyEvent(const platform::WatchEvent &event) -> void
{
    const auto *put = std::get_if<platform::KeyPut>(&event);
    const auto record = put == nullptr ? std::nullopt : parseEntry(put->entry_);
    const auto lock = std::scoped_lock(mutex_);
    if (record) {
        if (!directory_.put(*record, Clock::now())) {
            environment_->log().info("an entry is older than what its upstream said",
                {{"upstream", record->id_}, {"upstream_incarnation", record->incarnation_},
                    {"sequence", record->sequence_ ? std::int64_t(*record->sequence_) : -1}});
        }
    } else if (put != nullptr) {
        directory_.invalidate(upstreamIdOf(put->entry_.key_), Clock::now());
    } else {
        const auto id = upstreamIdOf(std::get<platform::KeyDeleted>(event).key_);
        directory_.remove(id, Clock::now());
        environment_->log().info("an upstream entry was removed", {{"upstream", id}});
    }
    updatePool();
}

auto UpstreamWatcher::updatePool() -> void
{
    pool_.setUpstreams(directory_.routableUpstreams(Clock::now()));
}

} // namespace jasminewood::forward
