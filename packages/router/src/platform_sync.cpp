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

// Records of submissions outlive every retry of an operator's pipeline.
constexpr auto submissionLeaseTime = std::chrono::hours(24);

auto manifestValue(const manifest::WriteIfUnchanged &action) -> std::string
{
    return Json {{"submission", action.submission_}, {"text", action.text_}}.dump();
}

struct StoredManifest
{
    const std::string submission_;
    const std::string text_;
};

auto readValue(const std::string &value) -> std::optional<StoredManifest>
{
    const auto json = Json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("text") || !json["text"].is_string()) {
        return std::nullopt;
    }
    return StoredManifest {
        .submission_ = json.value("submission", std::string()), .text_ = json["text"].get<std::string>()};
}

auto condition(platform::Revision base) -> platform::Condition
{
    if (base == 0) {
        return platform::KeyAbsent {.key_ = manifestKey};
    }
    return platform::ModRevisionIs {.key_ = manifestKey, .revision_ = base};
}

} // namespace

PlatformSync::PlatformSync(
    std::shared_ptr<platform::KeyValueClient> keyValues, const platform::VmListOptions &vmList, std::uint64_t seed)
    : keyValues_(std::move(keyValues))
    , vmList_(vmList)
    , seed_(seed)
{
}

auto PlatformSync::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifests_)) {
        return failure;
    }
    if (const auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (const auto failure = services.require("peers", peers_)) {
        return failure;
    }
    manifestTask_ = std::thread([this]() -> void {
        followManifest();
    });
    vmListTask_ = std::thread([this]() -> void {
        followVmList();
    });
    return std::nullopt;
}

auto PlatformSync::stop() -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        stopping_ = true;
        if (watch_) {
            watch_->cancel();
        }
        stopped_.notify_all();
    }
    manifestTask_.join();
    vmListTask_.join();
}

auto PlatformSync::keyValueCalls() const -> std::uint64_t
{
    return keyValues_->calls();
}

auto PlatformSync::waitUnlessStopping(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopped_.wait_for(lock, time, [this]() -> bool {
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

auto PlatformSync::followManifest() -> void
{
    auto backoff = membership::Backoff(seed_);
    auto wait = Milliseconds(0);
    while (waitUnlessStopping(wait)) {
        const auto failure = watchManifest(backoff);
        wait = backoff.nextDelay();
        const auto lock = std::lock_guard(mutex_);
        if (!stopping_) {
            keyValueFailure_.emplace(failure);
            environment_->log().warning("the key-value service does not answer; the present manifest stays in force",
                observe::fieldsOf(failure));
        }
    }
}

auto PlatformSync::watchManifest(membership::Backoff &backoff) -> Failure
{
    const auto read = readManifest();
    if (!read) {
        return read.failure();
    }
    auto from = *read + 1;
    while (true) {
        const auto call = std::make_shared<platform::WatchCall>();
        {
            const auto lock = std::lock_guard(mutex_);
            if (stopping_) {
                return Failure {.step_ = "watch manifest", .reason_ = "this process is stopping"};
            }
            keyValueFailure_.reset();
            watch_ = call;
        }
        backoff.reset();
        const auto watched = keyValues_->watch(platform::WatchRequest {.key_ = manifestKey, .fromRevision_ = from},
            *call, [this](const platform::WatchEvent &event) -> void {
                if (const auto *put = std::get_if<platform::KeyPut>(&event)) {
                    apply(put->entry_);
                }
            });
        if (!watched) {
            return watched.failure();
        }
        from = *watched;
    }
}

auto PlatformSync::readManifest() -> Result<platform::Revision>
{
    const auto snapshot = keyValues_->getPrefix(manifestKey);
    if (!snapshot) {
        return snapshot.failure();
    }
    for (const auto &entry : snapshot->entries_) {
        apply(entry);
    }
    return snapshot->revision_;
}

auto PlatformSync::apply(const platform::KeyValue &entry) -> void
{
    const auto stored = entry.key_ == manifestKey ? readValue(entry.value_) : std::nullopt;
    if (stored) {
        manifests_->update(static_cast<std::uint64_t>(entry.modRevision_), stored->text_);
    }
}

auto PlatformSync::followVmList() -> void
{
    auto backoff = membership::Backoff(seed_ + 1);
    auto wait = Milliseconds(0);
    while (waitUnlessStopping(wait)) {
        const auto listed = vmList_.fetchVms();
        wait = listed ? vmListPollInterval : backoff.nextDelay();
        noteVmList(listed ? nullptr : &listed.failure());
        if (!listed) {
            environment_->log().warning("the VM list cannot be read", observe::fieldsOf(listed.failure()));
            continue;
        }
        backoff.reset();
        auto agents = std::vector<membership::VmEntry>();
        auto routers = std::vector<membership::VmEntry>();
        for (const auto &vm : *listed) {
            auto &list = vm.role_ == "router" ? routers : agents;
            list.push_back(membership::VmEntry {.name_ = vm.name_,
                .address_ = vm.address_,
                .pool_ = vm.pool_,
                .dataCentre_ = vm.dataCentre_,
                .leaving_ = vm.state_ == platform::VmState::Leaving});
        }
        upstreams_->updateAgents(agents);
        peers_->updateRouters(routers);
    }
}

auto PlatformSync::noteVmList(const Failure *failure) -> void
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
            static_cast<void>(waitUnlessStopping(membership::baseBackoff));
        }
        step = std::make_unique<manifest::SubmissionStep>(manifest::nextStep(step->submission_, result));
    }
    if (const auto *accepted = std::get_if<manifest::Accepted>(&step->action_)) {
        manifests_->update(accepted->revision_, request.text_);
    }
    return step->action_;
}

auto PlatformSync::submissionStatus(const std::string &submission) -> manifest::CallResult
{
    return perform(manifest::ReadSubmission {.submission_ = submission});
}

auto PlatformSync::perform(const manifest::Action &action) -> manifest::CallResult
{
    if (const auto *writing = std::get_if<manifest::WriteIfUnchanged>(&action)) {
        return write(*writing);
    }
    const auto &read = std::get<manifest::ReadSubmission>(action);
    const auto outcome = keyValues_->transaction(platform::Transaction {.conditions_ = {},
        .onSuccess_ = {platform::ReadKey {.key_ = submissionKeyPrefix + read.submission_},
            platform::ReadKey {.key_ = manifestKey}}});
    if (!outcome) {
        return manifest::CallOutcomeUnknown {.reason_ = outcome.failure().reason_};
    }
    const auto &record = outcome->operations_.at(0).found_;
    const auto &current = outcome->operations_.at(1).found_;
    if (record) {
        return manifest::RecordFound {.revision_ = static_cast<std::uint64_t>(record->createRevision_)};
    }
    const auto stored = current ? readValue(current->value_) : std::nullopt;
    return manifest::RecordAbsent {.currentRevision_ = current ? static_cast<std::uint64_t>(current->modRevision_) : 0,
        .currentSubmission_ = stored ? stored->submission_ : std::string()};
}

auto PlatformSync::write(const manifest::WriteIfUnchanged &action) -> manifest::CallResult
{
    const auto lease = keyValues_->grantLease(std::chrono::duration_cast<std::chrono::seconds>(submissionLeaseTime));
    if (!lease) {
        return manifest::CallOutcomeUnknown {.reason_ = lease.failure().reason_};
    }
    const auto outcome = keyValues_->transaction(
        platform::Transaction {.conditions_ = {condition(static_cast<platform::Revision>(action.baseRevision_))},
            .onSuccess_ = {platform::PutKey {.key_ = manifestKey, .value_ = manifestValue(action)},
                platform::PutKey {
                    .key_ = submissionKeyPrefix + action.submission_, .value_ = "accepted", .lease_ = *lease}},
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
