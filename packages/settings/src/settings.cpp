#include "jasminewood/settings/settings.h"

#include <algorithm>
#include <cassert>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

#include <fmt/format.h>

#include "jasminewood/ini/document.h"
#include "jasminewood/settings/flags.h"

namespace jasminewood::settings
{

namespace
{

using KeyLocation = std::pair<std::string, std::string>;

struct FileEntry
{
    std::string text_;
    int line_;
};

using FileEntries = std::map<KeyLocation, FileEntry>;

auto quoted(const std::string &text) -> std::string
{
    return "\"" + text + "\"";
}

auto hasSection(const Schema &schema, const std::string &name) -> bool
{
    return std::any_of(schema.begin(), schema.end(), [&name](const KeySchema &key) -> bool {
        return key.section_ == name;
    });
}

auto hasKey(const Schema &schema, const KeyLocation &location) -> bool
{
    return std::any_of(schema.begin(), schema.end(), [&location](const KeySchema &key) -> bool {
        return key.section_ == location.first && key.name_ == location.second;
    });
}

// Collects the entries of one section and the errors in its section and key names.
auto readSection(const Schema &schema, const std::string &file, const ini::Section &section, FileEntries &entries,
    std::vector<ConfigError> &errors) -> void
{
    const auto heading = ini::heading(section);
    if (!section.argument_.empty() || !hasSection(schema, section.name_)) {
        errors.push_back(ConfigError {.file_ = file,
            .line_ = section.line_,
            .section_ = heading,
            .key_ = "",
            .expected_ = "a known section",
            .found_ = quoted(heading)});
        return;
    }
    for (const auto &entry : section.entries_) {
        const auto location = KeyLocation(section.name_, entry.key_);
        const auto known = hasKey(schema, location);
        if (known && entries.try_emplace(location, FileEntry {.text_ = entry.value_, .line_ = entry.line_}).second) {
            continue;
        }
        const auto found
            = known ? fmt::format("a duplicate of line {}", entries.at(location).line_) : quoted(entry.key_);
        errors.push_back(ConfigError {.file_ = file,
            .line_ = entry.line_,
            .section_ = heading,
            .key_ = entry.key_,
            .expected_ = known ? "each key once" : "a known key",
            .found_ = found});
    }
}

// The value that takes precedence for a key, and its source.
struct SelectedValue
{
    std::string text_;
    std::string file_;
    int line_;
    std::string source_;
};

auto selectValue(const KeySchema &key, const std::string &file, const FileEntries &entries, const Overrides &overrides)
    -> std::optional<SelectedValue>
{
    if (const auto flag = overrides.find(flagName(key)); flag != overrides.end()) {
        const auto name = "flag --" + flag->first;
        return SelectedValue {.text_ = flag->second, .file_ = name, .line_ = 0, .source_ = name};
    }
    if (const auto entry = entries.find({key.section_, key.name_}); entry != entries.end()) {
        const auto line = entry->second.line_;
        return SelectedValue {
            .text_ = entry->second.text_, .file_ = file, .line_ = line, .source_ = fmt::format("{}:{}", file, line)};
    }
    if (key.default_) {
        return SelectedValue {.text_ = *key.default_, .file_ = "default", .line_ = 0, .source_ = "default"};
    }
    return std::nullopt;
}

auto missingKeyError(const KeySchema &key, const std::string &file) -> ConfigError
{
    return ConfigError {.file_ = file.empty() ? "flag --" + flagName(key) : file,
        .line_ = 0,
        .section_ = key.section_,
        .key_ = key.name_,
        .expected_ = describeExpected(key.kind_),
        .found_ = "nothing (the key is required)"};
}

// Validates a value in the file even if a flag takes precedence over it, so that an invalid file is reported at once.
auto checkOverriddenEntry(const KeySchema &key, const std::string &file, const FileEntries &entries,
    const SelectedValue &selected, std::vector<ConfigError> &errors) -> void
{
    const auto entry = entries.find({key.section_, key.name_});
    if (entry == entries.end() || selected.line_ == entry->second.line_ || parseValue(key.kind_, entry->second.text_)) {
        return;
    }
    errors.push_back(ConfigError {.file_ = file,
        .line_ = entry->second.line_,
        .section_ = key.section_,
        .key_ = key.name_,
        .expected_ = describeExpected(key.kind_),
        .found_ = quoted(entry->second.text_)});
}

auto resolve(const Schema &schema, const std::string &file, const FileEntries &entries, const Overrides &overrides,
    std::vector<ConfigError> errors) -> std::variant<Settings, std::vector<ConfigError>>
{
    auto settings = std::vector<Setting>();
    for (const auto &key : schema) {
        const auto selected = selectValue(key, file, entries, overrides);
        if (!selected) {
            errors.push_back(missingKeyError(key, file));
            continue;
        }
        checkOverriddenEntry(key, file, entries, *selected, errors);
        const auto value = parseValue(key.kind_, selected->text_);
        if (!value) {
            errors.push_back(ConfigError {.file_ = selected->file_,
                .line_ = selected->line_,
                .section_ = key.section_,
                .key_ = key.name_,
                .expected_ = describeExpected(key.kind_),
                .found_ = quoted(selected->text_)});
            continue;
        }
        settings.push_back(Setting {.section_ = key.section_,
            .name_ = key.name_,
            .text_ = selected->text_,
            .value_ = *value,
            .source_ = selected->source_});
    }
    if (!errors.empty()) {
        return errors;
    }
    return Settings(std::move(settings));
}

// Splits the peer "FILE:LINE" of a syntax error.
auto syntaxError(const Failure &failure, const std::string &file) -> ConfigError
{
    const auto line = failure.peer_.substr(failure.peer_.rfind(':') + 1);
    return ConfigError {.file_ = file,
        .line_ = std::atoi(line.c_str()),
        .section_ = "",
        .key_ = "",
        .expected_ = "INI text",
        .found_ = "a syntax error: " + failure.reason_};
}

auto readFile(const std::string &path) -> std::optional<std::string>
{
    auto stream = std::ifstream(path, std::ios::binary);
    auto text = std::ostringstream();
    // Inserting from an empty file sets the fail bit of the target, although it is not an error.
    if (!stream || (stream.peek() != std::ifstream::traits_type::eof() && !(text << stream.rdbuf()))) {
        return std::nullopt;
    }
    return stream.bad() ? std::nullopt : std::optional(text.str());
}

} // namespace

Settings::Settings(std::vector<Setting> settings)
    : settings_(std::make_shared<const std::vector<Setting>>(std::move(settings)))
{
}

auto Settings::text(const std::string &section, const std::string &name) const -> const std::string &
{
    return std::get<std::string>(value(section, name));
}

auto Settings::integer(const std::string &section, const std::string &name) const -> std::int64_t
{
    return std::get<std::int64_t>(value(section, name));
}

auto Settings::decimal(const std::string &section, const std::string &name) const -> double
{
    return std::get<double>(value(section, name));
}

auto Settings::duration(const std::string &section, const std::string &name) const -> Milliseconds
{
    return std::get<Milliseconds>(value(section, name));
}

auto Settings::address(const std::string &section, const std::string &name) const -> const Endpoint &
{
    return std::get<Endpoint>(value(section, name));
}

auto Settings::all() const -> const std::vector<Setting> &
{
    return *settings_;
}

auto Settings::value(const std::string &section, const std::string &name) const -> const Value &
{
    const auto found = std::find_if(settings_->begin(), settings_->end(), [&](const Setting &setting) -> bool {
        return setting.section_ == section && setting.name_ == name;
    });
    assert(found != settings_->end());
    return found->value_;
}

auto loadText(const Schema &schema, std::string_view text, const std::string &fileName, const Overrides &overrides)
    -> std::variant<Settings, std::vector<ConfigError>>
{
    const auto document = ini::parse(text, fileName);
    if (!document) {
        return std::vector<ConfigError> {syntaxError(document.failure(), fileName)};
    }
    auto entries = FileEntries();
    auto errors = std::vector<ConfigError>();
    for (const auto &section : document->sections_) {
        readSection(schema, fileName, section, entries, errors);
    }
    return resolve(schema, fileName, entries, overrides, std::move(errors));
}

auto load(const Schema &schema, const std::string &path, const Overrides &overrides)
    -> std::variant<Settings, std::vector<ConfigError>>
{
    const auto text = path.empty() ? std::optional<std::string>("") : readFile(path);
    if (!text) {
        return std::vector<ConfigError> {ConfigError {.file_ = path,
            .line_ = 0,
            .section_ = "",
            .key_ = "",
            .expected_ = "a readable file",
            .found_ = "a file that cannot be read"}};
    }
    return loadText(schema, *text, path, overrides);
}

auto toIni(const Settings &settings) -> std::string
{
    auto text = std::string();
    auto section = std::string();
    for (const auto &setting : settings.all()) {
        if (setting.section_ != section) {
            text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", setting.section_);
            section = setting.section_;
        }
        text += fmt::format("; {}\n{} = {}\n", setting.source_, setting.name_, setting.text_);
    }
    return text;
}

} // namespace jasminewood::settings
