#include "jasminewood/router/platform_sync.h"

#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "jasminewood/membership/backoff.h"

namespace jasminewood::router
{

namespace
{

using Json = nlohmann::json;

// Submission records must outlive the retries of an operator's deployment pipeline.
constexpr auto submissionLeaseTtl = std::chrono::hours(24);

auto serializeManifestValue(const manifest::WriteIfUnchanged &action) -> std::string
{
    return Json {{"submission", action.submissionId_}, {"text", action.text_}}.dump();
}

struct StoredManifest
{
    const std::string submissionId_;
    const std::string text_;
};

auto parseManifestValue(const std::string &value) -> std::optional<StoredManifest>
{
    const auto json = Json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("text") || !json["text"].is_string()) {
        return std::nullopt;
    }
    const auto submission = json.find("submission");
    const auto hasSubmission = submission != json.end() && submission->is_string();
    return StoredManifest {.submissionId_ = hasSubmission ? submission->get<std::string>() : std::string(),
        .text_ = json["text"].get<std::string>()};
}

auto baseRevisionCondition(platform::Revision base) -> platform::Condition
{
    if (base == 0) {
        return platform::KeyAbsent {.key_ = manifestKey};
    }
    return platform::ModRevisionIs {.key_ = manifestKey, .revision_ = base};
}

} // namespace

PlatformSync::PlatformSync(
    std::shared_ptr<platform::KeyValueClient> keyValueClient, const platform::VmListOptions &vmList, std::uint64_t seed)
    : keyValueClient_(std::move(keyValueClient))
    , vmListClient_(vmList)
    , seed_(seed)
{
}

auto PlatformSync::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (const auto failure = services.require("peers", routerPeers_)) {
        return failure;
    }
    manifestThread_ = std::thread([this]() -> void {
        watchManifestUntilStopped();
    });
    vmListThread_ = std::thread([this]() -> void {
        pollVmListUntilStopped();
    });
    return std::nullopt;
}

auto PlatformSync::stop() -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        stopping_ = true;
        if (activeWatch_) {
            activeWatch_->cancel();
        }
        stopRequested_.notify_all();
    }
    manifestThread_.join();
    vmListThread_.join();
}

auto PlatformSync::keyValueCalls() const -> std::uint64_t
{
    return keyValueClient_->callCount();
}

auto PlatformSync::sleepUnlessStopping(Milliseconds duration) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopRequested_.wait_for(lock, duration, [this]() -> bool {
        return stopping_;
    });
}

auto PlatformSync::keyValueFailure() const -> Status
{
    const auto lock = std::lock_guard(mutex_);
    return keyValueFailure_;
}

auto PlatformSync::vmListFailure() const -> Status
{
    const auto lock = std::lock_guard(mutex_);
    return vmListFailure_;
}

auto PlatformSync::watchManifestUntilStopped() -> void
{
    auto backoff = membership::Backoff(seed_);
    auto delay = Milliseconds(0);
    while (sleepUnlessStopping(delay)) {
        const auto failure = watchManifest(backoff);
        delay = backoff.nextDelay();
        const auto lock = std::lock_guard(mutex_);
        if (!stopping_) {
            keyValueFailure_.emplace(failure);
            environment_->log().warning(
                "failed to read or watch the manifest; the current manifest stays active", observe::fieldsOf(failure));
        }
    }
}

auto PlatformSync::watchManifest(membership::Backoff &backoff) -> Failure
{
    const auto read = readManifest();
    if (!read) {
        return read.failure();
    }
    auto position = *read;
    while (true) {
        const auto call = std::make_shared<platform::WatchCall>();
        {
            const auto lock = std::lock_guard(mutex_);
            if (stopping_) {
                return Failure {.step_ = "watch manifest", .reason_ = "this process is stopping"};
            }
            keyValueFailure_.reset();
            activeWatch_ = call;
        }
        backoff.reset();
        const auto watched = keyValueClient_->watch(platform::WatchRequest {.key_ = manifestKey, .after_ = position},
            *call, [this](const platform::WatchEvent &event) -> void {
                if (const auto *put = std::get_if<platform::KeyPut>(&event)) {
                    applyManifestEntry(put->entry_);
                }
            });
        if (!watched) {
            return watched.failure();
        }
        position = *watched;
    }
}

auto PlatformSync::readManifest() -> Result<platform::StorePosition>
{
    const auto snapshot = keyValueClient_->getPrefix(manifestKey);
    if (!snapshot) {
        return snapshot.failure();
    }
    for (const auto &entry : snapshot->entries_) {
        applyManifestEntry(entry);
    }
    return snapshot->position_;
}

auto PlatformSync::applyManifestEntry(const platform::KeyValue &entry) -> void
{
    const auto stored = entry.key_ == manifestKey ? parseManifestValue(entry.value_) : std::nullopt;
    if (stored) {
        manifestStore_->update(static_cast<std::uint64_t>(entry.modRevision_), stored->text_);
    }
}

auto PlatformSync::pollVmListUntilStopped() -> void
{
    auto backoff = membership::Backoff(seed_ + 1);
    auto delay = Milliseconds(0);
    while (sleepUnlessStopping(delay)) {
        const auto vms = vmListClient_.fetchVms();
        delay = vms ? vmListPollInterval : backoff.nextDelay();
        recordVmListResult(vms ? nullptr : &vms.failure());
        if (!vms) {
            environment_->log().warning("failed to read the VM list", observe::fieldsOf(vms.failure()));
            continue;
        }
        backoff.reset();
        auto agents = std::vector<membership::VmEntry>();
        auto routers = std::vector<membership::VmEntry>();
        for (const auto &vm : *vms) {
            auto &list = vm.role_ == "router" ? routers : agents;
            list.push_back(membership::VmEntry {.name_ = vm.name_,
                .address_ = vm.address_,
                .pool_ = vm.pool_,
                .dataCentre_ = vm.dataCentre_,
                .leaving_ = vm.state_ == platform::VmState::Leaving});
        }
        upstreams_->updateAgents(agents);
        routerPeers_->updateRouters(routers);
    }
}

auto PlatformSync::recordVmListResult(const Failure *failure) -> void
{
    const auto lock = std::lock_guard(mutex_);
    vmListFailure_.reset();
    if (failure != nullptr) {
        vmListFailure_.emplace(*failure);
    }
}

auto PlatformSync::submit(const manifest::SubmissionRequest &request) -> manifest::Action
{
    auto step = std::make_unique<manifest::SubmissionStep>(manifest::startSubmission(request));
    while (!manifest::isOutcome(step->action_)) {
        const auto result = perform(step->action_);
        if (std::holds_alternative<manifest::CallOutcomeUnknown>(result)) {
            static_cast<void>(sleepUnlessStopping(membership::baseBackoff));
        }
        step = std::make_unique<manifest::SubmissionStep>(manifest::nextStep(step->state_, result));
    }
    if (const auto *accepted = std::get_if<manifest::Accepted>(&step->action_)) {
        manifestStore_->update(accepted->revision_, request.text_);
    }
    return step->action_;
}

auto PlatformSync::submissionStatus(const std::string &submission) -> manifest::CallResult
{
    return perform(manifest::ReadSubmission {.submissionId_ = submission});
}

auto PlatformSync::perform(const manifest::Action &action) -> manifest::CallResult
{
    if (const auto *writing = std::get_if<manifest::WriteIfUnchanged>(&action)) {
        return writeManifest(*writing);
    }
    const auto &read = std::get<manifest::ReadSubmission>(action);
    const auto outcome = keyValueClient_->transaction(platform::Transaction {.conditions_ = {},
        .onSuccess_ = {platform::ReadKey {.key_ = submissionKeyPrefix + read.submissionId_},
            platform::ReadKey {.key_ = manifestKey}}});
    if (!outcome) {
        return manifest::CallOutcomeUnknown {.reason_ = outcome.failure().reason_};
    }
    const auto &record = outcome->operations_.at(0).found_;
    const auto &current = outcome->operations_.at(1).found_;
    if (record) {
        return manifest::RecordFound {.revision_ = static_cast<std::uint64_t>(record->createRevision_)};
    }
    const auto stored = current ? parseManifestValue(current->value_) : std::nullopt;
    return manifest::RecordAbsent {.currentRevision_ = current ? static_cast<std::uint64_t>(current->modRevision_) : 0,
        .currentSubmissionId_ = stored ? stored->submissionId_ : std::string()};
}

auto PlatformSync::writeManifest(const manifest::WriteIfUnchanged &action) -> manifest::CallResult
{
    const auto lease
        = keyValueClient_->grantLease(std::chrono::duration_cast<std::chrono::seconds>(submissionLeaseTtl));
    if (!lease) {
        return manifest::CallOutcomeUnknown {.reason_ = lease.failure().reason_};
    }
    const auto outcome = keyValueClient_->transaction(platform::Transaction {
        .conditions_ = {baseRevisionCondition(static_cast<platform::Revision>(action.baseRevision_))},
        .onSuccess_ = {platform::PutKey {.key_ = manifestKey, .value_ = serializeManifestValue(action)},
            platform::PutKey {
                .key_ = submissionKeyPrefix + action.submissionId_, .value_ = "accepted", .lease_ = lease->id_}},
        .onFailure_ = {}});
    if (!outcome) {
        return manifest::CallOutcomeUnknown {.reason_ = outcome.failure().reason_};
    }
    if (!outcome->succeeded_) {
        return manifest::BaseRevisionChanged {};
    }
    return manifest::WriteSucceeded {.revision_ = static_cast<std::uint64_t>(outcome->revision_)};
}

} // namespace jasminewood::router
