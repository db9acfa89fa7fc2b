#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminewood/ini/config_error.h"
#include "jasminewood/settings/schema.h"

// Validated settings from an INI file, flags and defaults. Flags take precedence over the file, the file over defaults.
//
//     const auto loaded = settings::load(schema, "router.ini", settings::flagOverrides(schema));
//     if (const auto *errors = std::get_if<std::vector<settings::ConfigError>>(&loaded)) { ... }
//     const auto listen = std::get<settings::Settings>(loaded).address("http", "listen");

namespace jasminewood::settings
{

using ConfigError = ini::ConfigError;

// Values by flag name, which is "SECTION_KEY".
using Overrides = std::map<std::string, std::string>;

// One effective value and its source.
struct Setting
{
    const std::string section_;
    const std::string name_;
    const std::string text_;
    const Value value_;
    // "FILE:LINE", "flag --NAME" or "default".
    const std::string source_;

    auto operator<=>(const Setting &) const = default;
};

// Immutable; copies share their content. Thread-safe.
// Precondition of each access: the schema has this key, and its kind matches the function.
class Settings
{
public:
    explicit Settings(std::vector<Setting> settings);

    // Returns the value of a Text, Sha256Hex or Choice key.
    auto text(const std::string &section, const std::string &name) const -> const std::string &;
    auto integer(const std::string &section, const std::string &name) const -> std::int64_t;
    auto decimal(const std::string &section, const std::string &name) const -> double;
    auto duration(const std::string &section, const std::string &name) const -> Milliseconds;
    auto address(const std::string &section, const std::string &name) const -> const Endpoint &;

    // Returns all settings in the order of the schema.
    auto all() const -> const std::vector<Setting> &;

private:
    auto value(const std::string &section, const std::string &name) const -> const Value &;

    std::shared_ptr<const std::vector<Setting>> settings_;
};

// Loads the settings from the file at path, or from no file if path is empty. Returns the settings or all errors
// together: an unreadable file, a syntax error, an unknown section or key, a duplicate, a missing required key and an
// invalid value. The errors of the file come first.
auto load(const Schema &schema, const std::string &path, const Overrides &overrides)
    -> std::variant<Settings, std::vector<ConfigError>>;

// Like load(), but parses the given text; fileName is used in the errors.
auto loadText(const Schema &schema, std::string_view text, const std::string &fileName, const Overrides &overrides)
    -> std::variant<Settings, std::vector<ConfigError>>;

// Returns the effective settings as INI, each preceded by a comment with its source.
auto toIni(const Settings &settings) -> std::string;

} // namespace jasminewood::settings
