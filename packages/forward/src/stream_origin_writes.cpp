#include <algorithm>

#include <fmt/format.h>

#include "jasminewood/forward/peer_network.h"
#include "jasminewood/forward/stream_origins.h"
#include "stream_origin_codec.h"

// The part of StreamOrigins that writes to the store.

namespace jasminewood::forward
{

namespace
{

// The streams in one key: those of about this time.
constexpr Milliseconds batchTime = Milliseconds(2'000);
// Each router has its share of the writes of all.
constexpr Milliseconds recordIntervalOfRouter = Milliseconds(10);
// Beyond the memory, for the time between the grant of a lease and the write.
constexpr Milliseconds leaseMargin = Milliseconds(5'000);
constexpr Milliseconds maximumLeaseTime = Milliseconds(600'000);

} // namespace

auto StreamOrigins::proposals(TimePoint now) const -> std::vector<Proposal>
{
    auto proposals = std::vector<Proposal>();
    for (const auto &service : services_) {
        const auto agreed = versions_->proposal(service, now);
        if (agreed && agreed->versions_.size() <= internal::maximumVersionsOfEntry) {
            const auto known = revisions_.find(versionsKey(service));
            proposals.push_back({.service_ = service,
                .agreed_ = *agreed,
                .expectedRevision_ = known == revisions_.end() ? 0 : known->second});
        }
    }
    return proposals;
}

auto StreamOrigins::scheduleProposals(TimePoint now) -> void
{
    if (proposalsDueAt_ || now < nextProposalAt_ || proposals(now).empty()) {
        return;
    }
    proposalsDueAt_ = now + proposalDelay_.nextDelay();
    workCondition_.notify_all();
}

auto StreamOrigins::scheduleRecords(TimePoint now, routing::RecordNeed need) -> void
{
    const auto isAwaited = need == routing::RecordNeed::BeforeFirstEvent;
    const auto dueAt = std::max(now, isAwaited ? recordsDelayedUntil_ : nextRecordsAt_);
    if (!recordsDueAt_ || dueAt < *recordsDueAt_) {
        recordsDueAt_ = dueAt;
        workCondition_.notify_all();
    }
}

auto StreamOrigins::recordInterval() const -> Milliseconds
{
    const auto routers = network_ ? std::int64_t(network_->peerCount()) + 1 : 1;
    return std::max(options_.recordInterval_, routers * recordIntervalOfRouter);
}

auto StreamOrigins::nextDueAt() const -> std::optional<TimePoint>
{
    if (proposalsDueAt_ && recordsDueAt_) {
        return std::min(*proposalsDueAt_, *recordsDueAt_);
    }
    return proposalsDueAt_ ? proposalsDueAt_ : recordsDueAt_;
}

auto StreamOrigins::runWrites() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (!stopping_) {
        const auto dueAt = nextDueAt();
        if (!dueAt) {
            workCondition_.wait(lock);
        } else if (Clock::now() < *dueAt) {
            workCondition_.wait_until(lock, *dueAt);
        } else if (dueAt == proposalsDueAt_) {
            writeProposals(lock);
        } else {
            writeRecords(lock);
        }
    }
}

auto StreamOrigins::writeProposals(std::unique_lock<std::mutex> &lock) -> void
{
    // Another router may have written them during the delay.
    const auto due = proposals(Clock::now());
    proposalsDueAt_.reset();
    lock.unlock();
    for (const auto &proposal : due) {
        writeProposal(proposal);
    }
    lock.lock();
    // The feed reports what was written; whatever was not is due again after the pause.
    nextProposalAt_ = Clock::now() + options_.retryInterval_;
}

auto StreamOrigins::writeProposal(const Proposal &proposal) -> void
{
    const auto written = store_->compareAndSwap(versionsKey(proposal.service_), proposal.expectedRevision_,
        internal::formatVersions({.service_ = proposal.service_, .agreed_ = proposal.agreed_}));
    const auto fields = observe::Fields {{"service", proposal.service_},
        {"versions", internal::versionsText(proposal.agreed_.versions_)}, {"base", proposal.agreed_.base_},
        {"expected_revision", proposal.expectedRevision_}};
    if (!written) {
        environment_->log().warning("the agreed versions of a service could not be written",
            observe::concatenate(fields, observe::fieldsOf(written.failure())));
    } else {
        environment_->log().info(written->written_ ? "wrote the agreed versions of a service"
                                                   : "another router wrote the agreed versions of a service",
            fields);
    }
}

auto StreamOrigins::extendBatch(const std::vector<routing::StreamRecord> &records, TimePoint now) -> void
{
    const auto isFull = !batch_ || now - batch_->begunAt_ > batchTime
        || batch_->records_.size() + records.size() > internal::maximumStreamsOfEntry;
    if (isFull) {
        const auto &self = environment_->identity().node_;
        batch_.emplace(Batch {.key_ = fmt::format("{}{}/{:x}-{}", streamsPrefix_, internal::keyPart(self.name_),
                                  self.incarnation_, ++batchCount_),
            .begunAt_ = now});
    }
    for (const auto &record : records) {
        batch_->records_.push_back(record);
    }
}

auto StreamOrigins::writeRecords(std::unique_lock<std::mutex> &lock) -> void
{
    const auto now = Clock::now();
    recordsDueAt_.reset();
    const auto records = versions_->takeUnwritten(now, internal::maximumStreamsOfEntry);
    if (records.empty()) {
        return;
    }
    extendBatch(records, now);
    const auto batch = *batch_;
    const auto memory = memory_;
    lock.unlock();
    const auto revision = writeBatch(batch, memory);
    lock.lock();
    nextRecordsAt_ = Clock::now() + recordInterval();
    if (!revision) {
        // The lost write may still be performed, so the revision of its key is not known. A new key is written instead.
        batch_.reset();
        versions_->putBack(records);
        delayRecords(Clock::now());
        environment_->log().warning("the versions of streams could not be written",
            observe::concatenate({{"streams", std::int64_t(records.size())}}, observe::fieldsOf(revision.failure())));
    } else {
        if (batch_) {
            batch_->revision_ = *revision;
        }
        versions_->confirmWritten(records);
        recordsDelayedUntil_ = TimePoint();
    }
    originCondition_.notify_all();
    if (versions_->hasUnwritten()) {
        scheduleRecords(Clock::now(), routing::RecordNeed::Later);
    }
}

auto StreamOrigins::writeBatch(const Batch &batch, Milliseconds memory) -> Result<platform::Revision>
{
    if (const auto failure = renewLease(memory)) {
        return *failure;
    }
    const auto lease = lease_->lease_;
    const auto written = store_->writeAll({.conditions_ = {{.key_ = batch.key_, .revision_ = batch.revision_}},
        .puts_ = {{.key_ = batch.key_, .value_ = internal::formatStreams(batch.records_), .lease_ = lease.id_}}});
    if (!written || !written->written_ || store_->era() != lease.era_) {
        lease_.reset();
        return written ? Failure {.step_ = "write", .reason_ = "the key has changed, or the store has a new era"}
                       : written.failure();
    }
    writtenCounter_->add();
    return written->revision_;
}

auto StreamOrigins::renewLease(Milliseconds memory) -> Status
{
    const auto now = Clock::now();
    if (lease_ && lease_->lease_.era_ == store_->era() && now < lease_->usableUntil_) {
        return std::nullopt;
    }
    lease_.reset();
    const auto timeToLive = std::min(2 * memory + leaseMargin, maximumLeaseTime);
    const auto lease = store_->grantLease(std::chrono::ceil<std::chrono::seconds>(timeToLive));
    if (!lease) {
        return lease.failure();
    }
    lease_.emplace(WriterLease {.lease_ = *lease, .usableUntil_ = now + (timeToLive - leaseMargin) / 2});
    return std::nullopt;
}

} // namespace jasminewood::forward
