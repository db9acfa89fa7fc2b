#include "stream_version.h"

#include "jasminewood/core/overloaded.h"

namespace jasminewood::forward::internal
{

auto knownVersion(const membership::UpstreamRecord &chosen, const std::optional<membership::UpstreamRecord> &present)
    -> std::optional<std::string>
{
    const auto isContradicted = present && present->version_ != chosen.version_;
    return chosen.version_.empty() || isContradicted ? std::nullopt : std::optional(chosen.version_);
}

auto StreamVersion::begin(const std::optional<std::string> &version) -> void
{
    if (version && !version->empty()) {
        state_.emplace<BegunAt>(BegunAt {.version_ = *version});
    } else {
        state_.emplace<BegunAtUnknown>();
    }
}

auto StreamVersion::fixAt(const std::string &version) -> void
{
    begin(version);
}

auto StreamVersion::recordFirstEvent(
    const membership::UpstreamRecord &chosen, const std::optional<membership::UpstreamRecord> &present) -> EventDecision
{
    const auto eventVersion = knownVersion(chosen, present);
    return std::visit(Overloaded {[&](const NotBegun &) -> EventDecision {
                                      begin(eventVersion);
                                      firstUpstream_.emplace(chosen);
                                      return StreamBegins {};
                                  },
                          [&](const BegunAt &begun) -> EventDecision {
                              return eventVersion == begun.version_ ? EventDecision(StreamGoesOn {})
                                                                    : EventDecision(EventOfOtherVersion {});
                          },
                          [](const BegunAtUnknown &) -> EventDecision {
                              return EventOfOtherVersion {};
                          }},
        state_);
}

auto StreamVersion::withdraw() -> void
{
    state_.emplace<NotBegun>();
    firstUpstream_.reset();
}

auto StreamVersion::firstUpstream() const -> std::optional<membership::UpstreamRecord>
{
    return firstUpstream_;
}

auto StreamVersion::recordPresentEntry(const std::optional<membership::UpstreamRecord> &present) -> void
{
    if (firstUpstream_ && !knownVersion(*firstUpstream_, present)) {
        begin(std::nullopt);
    }
}

auto StreamVersion::hasBegun() const -> bool
{
    return !std::holds_alternative<NotBegun>(state_);
}

auto StreamVersion::version() const -> std::optional<std::string>
{
    const auto *begun = std::get_if<BegunAt>(&state_);
    return begun == nullptr ? std::nullopt : std::optional(begun->version_);
}

auto StreamVersion::criterion(const VersionCriterion &forNewStream) const -> VersionCriterion
{
    // No upstream matches a required version that is empty.
    return hasBegun() ? RequiredVersion {.version_ = version().value_or("")} : forNewStream;
}

} // namespace jasminewood::forward::internal
