#include "jasminewood/routing/stream_versions.h"

#include <algorithm>
#include <utility>

namespace jasminewood::routing
{

StreamVersions::StreamVersions(const StreamVersionsOptions &options)
    : options_(options)
    , memory_(options.memory_)
{
}

auto StreamVersions::setMemory(Milliseconds memory) -> void
{
    memory_ = memory;
}

auto StreamVersions::setEra(std::uint64_t era) -> void
{
    if (era_ && *era_ != era) {
        eraChanged_ = true;
        for (const auto &[id, stream] : streams_) {
            if (stream.isOwn_) {
                unwritten_.insert(id);
            }
        }
    }
    era_ = era;
}

auto StreamVersions::setAgreed(
    const std::string &service, const AgreedVersions &agreed, TimePoint now, HeardChanges heard) -> void
{
    auto &known = services_[service];
    // Records may have been lost with the former entry, or with one that this router did not hear of.
    const auto mayLackRecords = heard == HeardChanges::Some || (known.agreed_ && known.agreed_->era_ != agreed.era_);
    // A router that starts takes the versions that it finds for ones that all know.
    const auto admittedAt = registeredAt_ ? now + options_.propagationTime_ : now;
    if (heard == HeardChanges::Some) {
        // A version may have been dropped and added again.
        known.admittedAt_.clear();
    }
    known.agreed_.emplace(agreed);
    for (const auto &version : agreed.versions_) {
        known.admittedAt_.try_emplace(version, admittedAt);
    }
    std::erase_if(known.admittedAt_, [&agreed](const auto &entry) {
        return !agreed.versions_.contains(entry.first);
    });
    for (const auto &version : agreed.versions_) {
        known.lastRegisteredAt_.try_emplace(version, now);
    }
    if (mayLackRecords) {
        known.lastRegisteredAt_[unrecordedVersion] = now;
    }
    std::erase_if(known.lastRegisteredAt_, [&agreed, &known](const auto &entry) {
        return !agreed.versions_.contains(entry.first) && !known.registered_.contains(entry.first);
    });
}

auto StreamVersions::setRegistered(const VersionsByService &registered, TimePoint now) -> void
{
    // After a pause any of the agreed versions may have been registered again and left since.
    const auto paused = registeredAt_ && now - *registeredAt_ > options_.propagationTime_;
    registeredAt_ = now;
    for (auto &[name, service] : services_) {
        const auto &until = paused && service.agreed_ ? service.agreed_->versions_ : service.registered_;
        for (const auto &version : until) {
            service.lastRegisteredAt_[version] = now;
        }
        service.registered_.clear();
    }
    for (const auto &[name, versions] : registered) {
        auto &service = services_[name];
        service.registered_ = versions;
        for (const auto &version : versions) {
            service.lastRegisteredAt_[version] = now;
        }
    }
}

auto StreamVersions::findService(const std::string &service) const -> const Service *
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

auto StreamVersions::isComplete(const Service &service) const -> bool
{
    return service.agreed_ && era_ && service.agreed_->era_ == *era_;
}

auto StreamVersions::baseOf(const Service &service) const -> std::optional<std::string>
{
    const auto hasBase = isComplete(service) && service.agreed_->base_ != unrecordedVersion;
    return hasBase ? std::optional(service.agreed_->base_) : std::nullopt;
}

auto StreamVersions::baseVersion(const std::string &service) const -> std::optional<std::string>
{
    const auto *known = findService(service);
    return known == nullptr ? std::nullopt : baseOf(*known);
}

auto StreamVersions::recordNeed(const StreamOrigin &origin) const -> RecordNeed
{
    const auto base = baseVersion(origin.service_);
    if (!base) {
        return RecordNeed::Later;
    }
    if (*base != origin.version_) {
        return RecordNeed::BeforeFirstEvent;
    }
    return services_.at(origin.service_).agreed_->versions_.size() == 1 ? RecordNeed::Never : RecordNeed::Later;
}

auto StreamVersions::recordBegin(const StreamRecord &record, Milliseconds storeAge, TimePoint now) -> RecordNeed
{
    this->record(record, now, true);
    if (!unwritten_.contains(record.stream_)) {
        return RecordNeed::Never;
    }
    // The base version that this router knows may have been replaced since.
    return storeAge > memory_ ? RecordNeed::BeforeFirstEvent : recordNeed(streams_.at(record.stream_).origin_);
}

auto StreamVersions::recordReported(const StreamRecord &record, TimePoint now) -> void
{
    this->record(record, now, false);
}

auto StreamVersions::record(const StreamRecord &record, TimePoint now, bool isOwn) -> void
{
    forgetOldStreams(now);
    const auto known = streams_.find(record.stream_);
    if (known == streams_.end()) {
        streams_.emplace(record.stream_, Stream {.origin_ = record.origin_, .recordedAt_ = now, .isOwn_ = isOwn});
        streamsByAge_.emplace(now, record.stream_);
        if (isOwn) {
            unwritten_.insert(record.stream_);
        }
        return;
    }
    if (known->second.origin_ == record.origin_) {
        return;
    }
    const auto contradicted = Stream {.origin_ = {.service_ = record.origin_.service_, .version_ = unrecordedVersion},
        .recordedAt_ = known->second.recordedAt_,
        .isOwn_ = known->second.isOwn_ || isOwn};
    streams_.erase(known);
    streams_.emplace(record.stream_, contradicted);
    if (isOwn) {
        unwritten_.insert(record.stream_);
    }
}

auto StreamVersions::forgetOldStreams(TimePoint now) -> void
{
    const auto isOld = [this, now](TimePoint recordedAt) {
        return now - recordedAt > memory_;
    };
    while (!streamsByAge_.empty()
        && (isOld(streamsByAge_.begin()->first) || streams_.size() >= options_.maximumStreams_)) {
        const auto [recordedAt, stream] = *streamsByAge_.begin();
        if (!isOld(recordedAt)) {
            recordsMissingUntil_ = recordedAt + memory_;
        }
        unwritten_.erase(stream);
        writing_.erase(stream);
        streams_.erase(stream);
        streamsByAge_.erase(streamsByAge_.begin());
    }
}

auto StreamVersions::originOf(StreamId stream, const std::string &service, const StoreView &view, TimePoint now) const
    -> OriginDecision
{
    const auto found = streams_.find(stream);
    if (found != streams_.end() && now - found->second.recordedAt_ <= memory_) {
        return found->second.origin_;
    }
    const auto base = baseVersion(service);
    if (!base || view.age_ > options_.propagationTime_) {
        return UnknownOrigin {};
    }
    const auto isAlone = services_.at(service).agreed_->versions_.size() == 1;
    if (!isAlone && recordsMissingUntil_ && now <= *recordsMissingUntil_) {
        return UnknownOrigin {};
    }
    if (!isAlone && !view.includesRecords_) {
        return RecordsNeeded {};
    }
    return StreamOrigin {.service_ = service, .version_ = *base};
}

auto StreamVersions::admittedVersions(const std::string &service, TimePoint now) const -> std::set<std::string>
{
    auto versions = agreedVersions(service);
    std::erase_if(versions, [this, &service, now](const auto &version) {
        return now < services_.at(service).admittedAt_.at(version);
    });
    return versions;
}

auto StreamVersions::agreedVersions(const std::string &service) const -> std::set<std::string>
{
    const auto *known = findService(service);
    auto versions = known != nullptr && known->agreed_ ? known->agreed_->versions_ : std::set<std::string>();
    versions.erase(unrecordedVersion);
    return versions;
}

auto StreamVersions::proposal(const std::string &service, TimePoint now) const -> std::optional<AgreedVersions>
{
    const auto *known = findService(service);
    if (known == nullptr || !era_) {
        return std::nullopt;
    }
    auto versions = known->registered_;
    const auto complete = isComplete(*known);
    if (known->agreed_) {
        for (const auto &version : known->agreed_->versions_) {
            if (!complete || now - known->lastRegisteredAt_.at(version) <= memory_) {
                versions.insert(version);
            }
        }
    }
    const auto firstAgreement = !known->agreed_ && options_.isFirstStart_ && !eraChanged_;
    if (versions.empty()) {
        return std::nullopt;
    }
    if (!complete && !firstAgreement) {
        versions.insert(unrecordedVersion);
    }
    const auto proposed
        = AgreedVersions {.era_ = *era_, .versions_ = versions, .base_ = proposedBase(*known, versions, now)};
    return known->agreed_ == proposed ? std::nullopt : std::optional(proposed);
}

auto StreamVersions::proposedBase(const Service &service, const std::set<std::string> &versions, TimePoint now) const
    -> std::string
{
    if (versions.size() == 1) {
        return *versions.begin();
    }
    const auto base = baseOf(service);
    // Streams of a version that has left cannot be resumed anyway, and without a base version those of the others need
    // not be recorded before they are passed on. Entries may be missing for a while after an outage of the store.
    const auto hasLeft = base && now - service.lastRegisteredAt_.at(*base) > options_.propagationTime_;
    return base && !hasLeft ? *base : unrecordedVersion;
}

auto StreamVersions::takeUnwritten(TimePoint now, std::size_t maximumCount) -> std::vector<StreamRecord>
{
    forgetOldStreams(now);
    auto records = std::vector<StreamRecord>();
    for (const auto id : unwritten_) {
        if (records.size() >= maximumCount) {
            break;
        }
        if (const auto &origin = streams_.at(id).origin_; recordNeed(origin) != RecordNeed::Never) {
            records.push_back({.stream_ = id, .origin_ = origin});
        }
    }
    for (const auto &record : records) {
        unwritten_.erase(record.stream_);
        writing_.insert(record.stream_);
    }
    return records;
}

auto StreamVersions::confirmWritten(const std::vector<StreamRecord> &records) -> void
{
    for (const auto &record : records) {
        writing_.erase(record.stream_);
    }
}

auto StreamVersions::putBack(const std::vector<StreamRecord> &records) -> void
{
    for (const auto &record : records) {
        writing_.erase(record.stream_);
        if (streams_.contains(record.stream_)) {
            unwritten_.insert(record.stream_);
        }
    }
}

auto StreamVersions::isWritten(StreamId stream) const -> bool
{
    return streams_.contains(stream) && !unwritten_.contains(stream) && !writing_.contains(stream);
}

auto StreamVersions::hasUnwritten() const -> bool
{
    return std::any_of(unwritten_.begin(), unwritten_.end(), [this](StreamId id) {
        return recordNeed(streams_.at(id).origin_) != RecordNeed::Never;
    });
}

} // namespace jasminewood::routing
