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

// Mutable contents of a manifest while its text is parsed.
struct ManifestDraft
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
        reader.addError("path", "a URL path such as /services/booking", internal::quoted(path));
        return "";
    }
    return path;
}

auto readAccount(SectionReader &reader, ManifestDraft &draft) -> void
{
    auto hashes = reader.list("key_sha256");
    for (const auto &hash : hashes) {
        if (!isKeyHash(hash)) {
            reader.addError("key_sha256", "64 lower-case hex digits", internal::quoted(hash));
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
    auto allowedModels = std::vector<AllowedModel>();
    for (const auto &item : reader.optionalList("models")) {
        const auto colon = item.find(':');
        const auto version = colon == std::string::npos ? std::string() : item.substr(colon + 1);
        if (colon != std::string::npos && version.empty()) {
            reader.addError("models", "MODEL or MODEL:VERSION", internal::quoted(item));
        }
        allowedModels.push_back(AllowedModel {.model_ = item.substr(0, colon), .version_ = version});
    }
    return allowedModels;
}

auto readClass(SectionReader &reader, ManifestDraft &draft) -> void
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

auto readModel(SectionReader &reader, ManifestDraft &draft) -> void
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
        reader.addError("path", "no path, since the pool is of kind engine", internal::quoted(path));
    }
    return "";
}

auto readPool(SectionReader &reader, ManifestDraft &draft) -> void
{
    const auto kind = reader.choice("kind", {"engine", "service"}) == 0 ? PoolKind::Engine : PoolKind::Service;
    const auto concurrency = reader.integer("concurrency", concurrencyRange);
    // At least one slot is reserved for short attempts, which would otherwise wait for long ones.
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

auto readRoute(SectionReader &reader, ManifestDraft &draft) -> void
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

using SectionParser = auto(*)(SectionReader &, ManifestDraft &) -> void;

const auto sectionParsers = std::map<std::string, SectionParser> {
    {"account", readAccount}, {"class", readClass}, {"model", readModel}, {"pool", readPool}, {"route", readRoute}};

auto addHeadingError(const ini::Section &section, const std::string &file, const std::string &expected,
    const std::string &found, std::vector<ConfigError> &errors) -> void
{
    errors.push_back(ConfigError {.file_ = file,
        .line_ = section.line_,
        .section_ = ini::heading(section),
        .key_ = "",
        .expected_ = expected,
        .found_ = found});
}

auto readSection(const ini::Section &section, const std::string &file, internal::Readers &readers, ManifestDraft &draft,
    std::vector<ConfigError> &errors) -> void
{
    const auto kind = sectionParsers.find(section.name_);
    if (kind == sectionParsers.end()) {
        addHeadingError(section, file, "account, class, model, pool or route", internal::quoted(section.name_), errors);
        return;
    }
    if (!isName(section.argument_)) {
        const auto expected = fmt::format("a name of 1 to {} letters, digits, '.', '_' or '-'", maximumNameLength);
        addHeadingError(section, file, expected, internal::quoted(section.argument_), errors);
        return;
    }
    const auto [entry, isNew] = readers.try_emplace(ini::heading(section), SectionReader(section, file, errors));
    if (!isNew) {
        addHeadingError(
            section, file, "each name once", fmt::format("a duplicate of line {}", entry->second.line()), errors);
        return;
    }
    kind->second(entry->second, draft);
    entry->second.finish();
}

auto buildManifest(ManifestDraft draft) -> std::shared_ptr<const Manifest>
{
    return std::make_shared<const Manifest>(Manifest {.accounts_ = std::move(draft.accounts_),
        .classes_ = std::move(draft.classes_),
        .models_ = std::move(draft.models_),
        .pools_ = std::move(draft.pools_),
        .routes_ = std::move(draft.routes_),
        .accountsByKeyHash_ = std::move(draft.accountsByKeyHash_)});
}

// ConfigError has const members, so that a vector of it cannot be sorted in place.
auto sortedByLine(const std::vector<ConfigError> &errors) -> std::vector<ConfigError>
{
    auto order = std::vector<const ConfigError *>();
    for (const auto &configError : errors) {
        order.push_back(&configError);
    }
    std::stable_sort(order.begin(), order.end(), [](const ConfigError *first, const ConfigError *second) -> bool {
        return first->line_ < second->line_;
    });
    auto sorted = std::vector<ConfigError>();
    for (const auto *configError : order) {
        sorted.push_back(*configError);
    }
    return sorted;
}

auto fileError(const std::string &file, int line, const std::string &expected, const std::string &found)
    -> std::vector<ConfigError>
{
    return {
        ConfigError {.file_ = file, .line_ = line, .section_ = "", .key_ = "", .expected_ = expected, .found_ = found}};
}

} // namespace

auto check(std::string_view text, const std::string &fileName) -> CheckResult
{
    if (text.size() > maximumTextSize) {
        return fileError(
            fileName, 0, fmt::format("at most {} bytes", maximumTextSize), fmt::format("{} bytes", text.size()));
    }
    const auto document = ini::parse(text, fileName);
    if (!document) {
        const auto &peer = document.failure().peer_;
        const auto line = std::atoi(peer.substr(peer.rfind(':') + 1).c_str());
        return fileError(fileName, line, "INI text", "a syntax error: " + document.failure().reason_);
    }
    auto errors = std::vector<ConfigError>();
    auto readers = internal::Readers();
    auto draft = ManifestDraft();
    for (const auto &section : document->sections_) {
        readSection(section, fileName, readers, draft, errors);
    }
    auto manifest = buildManifest(std::move(draft));
    internal::checkReferences(*manifest, readers);
    if (!errors.empty()) {
        return sortedByLine(errors);
    }
    return manifest;
}

} // namespace jasminewood::manifest
