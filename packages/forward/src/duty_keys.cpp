#include "jasminewood/forward/duty_keys.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "jasminewood/jsontext/parse.h"

namespace jasminewood::forward
{

namespace
{

using nlohmann::json;

// Throws the exception of a member of the wrong type if it is no whole number.
auto readNumber(const json &object, const char *name) -> std::int64_t
{
    const auto number = jsontext::wholeNumber(object.at(name), 0, std::numeric_limits<std::int64_t>::max());
    return number ? *number : json(name).get<std::int64_t>();
}

} // namespace

auto formatHolder(const HolderRecord &record) -> std::string
{
    const auto &leader = record.leader_;
    return json {{"router", leader.router_.name_}, {"incarnation", leader.router_.incarnation_},
        {"lease", leader.leaseId_}, {"token", leader.fencingToken_}, {"era", record.era_}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

auto parseHolder(const std::string &text) -> std::optional<HolderRecord>
{
    const auto record = jsontext::decode(text, [](const json &document) {
        return HolderRecord {.leader_ = {.router_ = {.name_ = document.at("router").get<std::string>(),
                                             .incarnation_ = std::uint64_t(readNumber(document, "incarnation"))},
                                 .leaseId_ = readNumber(document, "lease"),
                                 .fencingToken_ = std::uint64_t(readNumber(document, "token"))},
            .era_ = readNumber(document, "era")};
    });
    return record ? std::optional(*record) : std::nullopt;
}

auto DutyKeys::apply(const std::string &key, std::optional<std::string> value, platform::Revision revision) -> void
{
    auto &entry = entries_[key];
    if (revision > entry.revision_) {
        entry = {.value_ = std::move(value), .revision_ = revision};
    }
}

auto DutyKeys::applySnapshot(const platform::Snapshot &snapshot, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (!era_ || snapshot.position_.era_ != era_->era_) {
        era_ = KnownEra {.era_ = snapshot.position_.era_, .learnedAt_ = now};
        entries_.clear();
    }
    applyAll(snapshot);
}

auto DutyKeys::applyRead(const platform::Snapshot &snapshot) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (!era_ || snapshot.position_.era_ != era_->era_) {
        return false;
    }
    applyAll(snapshot);
    return true;
}

auto DutyKeys::applyAll(const platform::Snapshot &snapshot) -> void
{
    for (auto &[key, entry] : entries_) {
        const auto isListed = std::any_of(
            snapshot.entries_.begin(), snapshot.entries_.end(), [&name = key](const platform::KeyValue &listed) {
                return listed.key_ == name;
            });
        if (!isListed && snapshot.position_.revision_ > entry.revision_) {
            entry = {.value_ = std::nullopt, .revision_ = snapshot.position_.revision_};
        }
    }
    for (const auto &listed : snapshot.entries_) {
        apply(listed.key_, listed.value_, listed.modRevision_);
    }
}

auto DutyKeys::applyEvent(const platform::WatchEvent &event) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (const auto *put = std::get_if<platform::KeyPut>(&event)) {
        apply(put->entry_.key_, put->entry_.value_, put->entry_.modRevision_);
    } else {
        const auto &deleted = std::get<platform::KeyDeleted>(event);
        apply(deleted.key_, std::nullopt, deleted.revision_);
    }
}

auto DutyKeys::applyWrite(const std::string &key, const std::string &value, platform::Revision revision) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    apply(key, value, revision);
}

auto DutyKeys::find(const std::string &key) const -> std::optional<DutyKey>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = entries_.find(key);
    return found == entries_.end() || !found->second.value_
        ? std::nullopt
        : std::optional(DutyKey {.value_ = *found->second.value_, .revision_ = found->second.revision_});
}

auto DutyKeys::revisionOf(const std::string &key) const -> platform::Revision
{
    const auto found = find(key);
    return found ? found->revision_ : 0;
}

auto DutyKeys::era() const -> std::optional<KnownEra>
{
    const auto lock = std::scoped_lock(mutex_);
    return era_;
}

} // namespace jasminewood::forward
