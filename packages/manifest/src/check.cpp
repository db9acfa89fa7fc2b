#include "jasminewood/manifest/check.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <utility>

#include <fmt/format.h>

#include "jasminewood/ini/document.h"
#include "references.h"
#include "section_reader.h"

namespace jasminewood::manifest
{

namespace
{

using internal::Range;
using internal::SectionReader;

constexpr std::size_t keyHashLength = 64;
constexpr std::size_t maximumNameLength = 64;
constexpr std::int64_t defaultCostEstimate = 256;
constexpr std::int64_t defaultLongTokens = 1000;
constexpr std::int64_t defaultQueueLimit = 256;
constexpr auto rateRange = Range {.min_ = 1, .max_ = 1'000'000'000};
constexpr auto weightRange = Range {.min_ = 1, .max_ = 1000};
constexpr auto tierRange = Range {.min_ = highestTier, .max_ = lowestTier};
constexpr auto targetRange = Range {.min_ = 0, .max_ = 600'000};
constexpr auto waitRange = Range {.min_ = 1, .max_ = 600'000};
constexpr auto shareRange = Range {.min_ = 0, .max_ = maximumShareSum};
constexpr auto tokenRange = Range {.min_ = 1, .max_ = 1'000'000};
constexpr auto concurrencyRange = Range {.min_ = 1, .max_ = 10'000};
constexpr auto queueRange = Range {.min_ = 0, .max_ = 100'000};
constexpr auto bandwidthRange = Range {.min_ = 0, .max_ = 1'000'000'000'000};

// The parts of a manifest while its text is read.
struct Draft
{
    std::map<std::string, Account, std::less<>> accounts_;
    std::map<std::string, RequestClass, std::less<>> classes_;
    std::map<std::string, Model, std::less<>> models_;
    std::map<std::string, Pool, std::less<>> pools_;
    std::map<std::string, Route, std::less<>> routes_;
    std::map<std::string, std::string, std::less<>> accountsByKeyHash_;
};

auto isName(std::string_view name) -> bool
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !name.empty() && name.size() <= maximumNameLength && name.find_first_not_of(letters) == std::string::npos;
}

auto isKeyHash(std::string_view hash) -> bool
{
    return hash.size() == keyHashLength && hash.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto isPath(std::string_view path) -> bool
{
    return path.starts_with('/') && path.size() > 1 && !path.ends_with('/')
        && path.find_first_of(" ?#\"") == std::string_view::npos;
}

auto readPath(SectionReader &reader) -> std::string
{
    auto path = reader.text("path");
    if (!path.empty() && !isPath(path)) {
        reader.fault("path", "a URL path such as /services/booking", internal::quoted(path));
        return "";
    }
    return path;
}

auto readAccount(SectionReader &reader, Draft &draft) -> void
{
    auto hashes = reader.list("key_sha256");
    for (const auto &hash : hashes) {
        if (!isKeyHash(hash)) {
            reader.fault("key_sha256", "64 lower-case hex digits", internal::quoted(hash));
        }
        draft.accountsByKeyHash_.emplace(hash, reader.name());
    }
    auto defaultClass = reader.text("default_class");
    auto classes = reader.optionalList("classes");
    if (classes.empty() && !defaultClass.empty()) {
        classes.push_back(defaultClass);
    }
    draft.accounts_.emplace(reader.name(),
        Account {.name_ = reader.name(),
            .keyHashes_ = std::move(hashes),
            .defaultClass_ = std::move(defaultClass),
            .classes_ = std::move(classes),
            .requestsPerSecond_ = static_cast<std::uint32_t>(reader.integer("requests_per_second", rateRange)),
            .workPerSecond_ = static_cast<std::uint64_t>(reader.integer("work_per_second", rateRange)),
            .weight_ = static_cast<std::uint32_t>(reader.integer("weight", weightRange, 1))});
}

auto readModels(SectionReader &reader) -> std::vector<AllowedModel>
{
    auto choices = std::vector<AllowedModel>();
    for (const auto &part : reader.optionalList("models")) {
        const auto colon = part.find(':');
        const auto version = colon == std::string::npos ? std::string() : part.substr(colon + 1);
        if (colon != std::string::npos && version.empty()) {
            reader.fault("models", "MODEL or MODEL:VERSION", internal::quoted(part));
        }
        choices.push_back(AllowedModel {.model_ = part.substr(0, colon), .version_ = version});
    }
    return choices;
}

auto readClass(SectionReader &reader, Draft &draft) -> void
{
    draft.classes_.emplace(reader.name(),
        RequestClass {.name_ = reader.name(),
            .tier_ = static_cast<Tier>(reader.integer("tier", tierRange)),
            .timeToFirstTokenTarget_ = Milliseconds(reader.integer("first_token_ms", targetRange, 0)),
            .interTokenLatencyTarget_ = Milliseconds(reader.integer("between_tokens_ms", targetRange, 0)),
            .minimumShare_ = static_cast<std::uint32_t>(reader.integer("minimum_share", shareRange, 0)),
            .maximumWait_ = Milliseconds(reader.integer("maximum_wait_ms", waitRange)),
            .models_ = readModels(reader),
            .pool_ = reader.text("pool"),
            .hedge_ = reader.yesNo("hedge", false),
            .costEstimate_
            = static_cast<std::uint32_t>(reader.integer("cost_estimate", tokenRange, defaultCostEstimate))});
}

auto readModel(SectionReader &reader, Draft &draft) -> void
{
    draft.models_.emplace(reader.name(),
        Model {.name_ = reader.name(), .versions_ = reader.list("versions"), .pool_ = reader.text("pool")});
}

auto readServicePath(SectionReader &reader, PoolKind kind) -> std::string
{
    if (kind == PoolKind::Service) {
        return readPath(reader);
    }
    auto path = reader.optionalText("path");
    if (reader.has("path")) {
        reader.fault("path", "no path, since the pool is of kind engine", internal::quoted(path));
    }
    return "";
}

auto readPool(SectionReader &reader, Draft &draft) -> void
{
    const auto kind = reader.choice("kind", {"engine", "service"}) == 0 ? PoolKind::Engine : PoolKind::Service;
    const auto concurrency = reader.integer("concurrency", concurrencyRange);
    // At least one slot stays for short attempts, else they wait behind long ones.
    const auto longLaneRange = Range {.min_ = 0, .max_ = concurrency - 1};
    draft.pools_.emplace(reader.name(),
        Pool {.name_ = reader.name(),
            .kind_ = kind,
            .concurrency_ = static_cast<std::uint32_t>(concurrency),
            .longLaneSlots_ = static_cast<std::uint32_t>(reader.integer("long_lane", longLaneRange, 0)),
            .longTokens_ = static_cast<std::uint32_t>(reader.integer("long_tokens", tokenRange, defaultLongTokens)),
            .queueLimit_ = static_cast<std::uint32_t>(reader.integer("queue_limit", queueRange, defaultQueueLimit)),
            .path_ = readServicePath(reader, kind),
            .fencing_ = reader.choice("fencing", {"checked", "ignored"}, 0) == 0 ? Fencing::Checked : Fencing::Ignored,
            .weightStoreBytesPerSecond_
            = static_cast<std::uint64_t>(reader.integer("weight_store_bytes_per_second", bandwidthRange, 0))});
}

auto readRoute(SectionReader &reader, Draft &draft) -> void
{
    static const auto methods = std::vector<std::string> {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    draft.routes_.emplace(reader.name(),
        Route {.name_ = reader.name(),
            .pool_ = reader.text("pool"),
            .method_ = methods.at(reader.choice("method", methods)),
            .path_ = readPath(reader),
            .idempotent_ = reader.yesNo("idempotent"),
            .class_ = reader.text("class")});
}

using ReadSection = auto(*)(SectionReader &, Draft &) -> void;

const auto sectionKinds = std::map<std::string, ReadSection> {
    {"account", readAccount}, {"class", readClass}, {"model", readModel}, {"pool", readPool}, {"route", readRoute}};

auto noteHeading(const ini::Section &section, const std::string &file, const std::string &expected,
    const std::string &found, std::vector<ConfigError> &faults) -> void
{
    faults.push_back(ConfigError {.file_ = file,
        .line_ = section.line_,
        .section_ = ini::heading(section),
        .key_ = "",
        .expected_ = expected,
        .found_ = found});
}

auto readSection(const ini::Section &section, const std::string &file, internal::Readers &readers, Draft &draft,
    std::vector<ConfigError> &faults) -> void
{
    const auto kind = sectionKinds.find(section.name_);
    if (kind == sectionKinds.end()) {
        noteHeading(section, file, "account, class, model, pool or route", internal::quoted(section.name_), faults);
        return;
    }
    if (!isName(section.argument_)) {
        const auto expected = fmt::format("a name of 1 to {} letters, digits, '.', '_' or '-'", maximumNameLength);
        noteHeading(section, file, expected, internal::quoted(section.argument_), faults);
        return;
    }
    const auto [entry, isNew] = readers.try_emplace(ini::heading(section), SectionReader(section, file, faults));
    if (!isNew) {
        noteHeading(
            section, file, "each name once", fmt::format("a duplicate of line {}", entry->second.line()), faults);
        return;
    }
    kind->second(entry->second, draft);
    entry->second.finish();
}

auto finished(Draft draft) -> std::shared_ptr<const Manifest>
{
    return std::make_shared<const Manifest>(Manifest {.accounts_ = std::move(draft.accounts_),
        .classes_ = std::move(draft.classes_),
        .models_ = std::move(draft.models_),
        .pools_ = std::move(draft.pools_),
        .routes_ = std::move(draft.routes_),
        .accountsByKeyHash_ = std::move(draft.accountsByKeyHash_)});
}

// Faults are constant values and cannot be sorted in place.
auto sortedByLine(const std::vector<ConfigError> &faults) -> std::vector<ConfigError>
{
    auto order = std::vector<const ConfigError *>();
    for (const auto &fault : faults) {
        order.push_back(&fault);
    }
    std::stable_sort(order.begin(), order.end(), [](const ConfigError *first, const ConfigError *second) -> bool {
        return first->line_ < second->line_;
    });
    auto sorted = std::vector<ConfigError>();
    for (const auto *fault : order) {
        sorted.push_back(*fault);
    }
    return sorted;
}

auto wholeFault(const std::string &file, int line, const std::string &expected, const std::string &found)
    -> std::vector<ConfigError>
{
    return {
        ConfigError {.file_ = file, .line_ = line, .section_ = "", .key_ = "", .expected_ = expected, .found_ = found}};
}

} // namespace

auto check(std::string_view text, const std::string &fileName) -> CheckResult
{
    if (text.size() > maximumTextSize) {
        return wholeFault(
            fileName, 0, fmt::format("at most {} bytes", maximumTextSize), fmt::format("{} bytes", text.size()));
    }
    const auto document = ini::parse(text, fileName);
    if (!document) {
        const auto &peer = document.failure().peer_;
        const auto line = std::atoi(peer.substr(peer.rfind(':') + 1).c_str());
        return wholeFault(fileName, line, "INI text", "a syntax error: " + document.failure().reason_);
    }
    auto faults = std::vector<ConfigError>();
    auto readers = internal::Readers();
    auto draft = Draft();
    for (const auto &section : document->sections_) {
        readSection(section, fileName, readers, draft, faults);
    }
    auto manifest = finished(std::move(draft));
    internal::checkReferences(*manifest, readers);
    if (!faults.empty()) {
        return sortedByLine(faults);
    }
    return manifest;
}

} // namespace jasminewood::manifest
