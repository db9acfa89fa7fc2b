#include "jasminewood/node/program.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "jasminewood/settings/flags.h"

DEFINE_string(settings, "", "INI file with the settings of this process");
DEFINE_bool(check_settings, false, "print the effective settings and exit");

namespace jasminewood::node
{

namespace
{

// Returns the gflags name of a flag argument; empty if the argument is not a flag.
auto parseFlagName(std::string argument) -> std::string
{
    const auto name = argument.find_first_not_of('-');
    if (name == 0 || name == std::string::npos) {
        return "";
    }
    argument = argument.substr(name, argument.find('=') - name);
    std::replace(argument.begin(), argument.end(), '-', '_');
    return argument;
}

auto isKnownFlag(const std::string &name) -> bool
{
    auto info = gflags::CommandLineFlagInfo();
    const auto isDefined = [&info](const std::string &candidate) -> bool {
        return gflags::GetCommandLineFlagInfo(candidate.c_str(), &info);
    };
    // gflags accepts --noNAME for Boolean flags.
    return isDefined(name) || (name.starts_with("no") && isDefined(name.substr(2)) && info.type == "bool");
}

// Returns the first unknown flag, if any. gflags itself would exit at an unknown flag with status 1, which is the
// status of a failed start.
auto findUnknownFlag(const std::vector<std::string> &arguments) -> std::optional<std::string>
{
    const auto unknown = std::find_if(arguments.begin(), arguments.end(), [](const std::string &argument) -> bool {
        const auto name = parseFlagName(argument);
        return !name.empty() && !isKnownFlag(name);
    });
    return unknown == arguments.end() ? std::nullopt : std::optional(*unknown);
}

} // namespace

auto loadProgramSettings(int &argc, char **&argv, const settings::Schema &schema, const std::string &usage)
    -> std::variant<settings::Settings, int>
{
    gflags::SetUsageMessage(usage);
    settings::registerFlags(schema);
    if (const auto unknown = findUnknownFlag(std::vector<std::string>(argv + 1, argv + argc))) {
        fmt::print(stderr, "{}: unknown flag; --help lists all\n", *unknown);
        return exitUsageError;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        fmt::print(stderr, "{}: unknown argument; usage: {}\n", argv[1], usage);
        return exitUsageError;
    }
    auto loadResult = settings::load(schema, FLAGS_settings, settings::flagOverrides(schema));
    if (const auto *configErrors = std::get_if<std::vector<settings::ConfigError>>(&loadResult)) {
        for (const auto &configError : *configErrors) {
            fmt::print(stderr, "{}\n", ini::toString(configError));
        }
        return exitUsageError;
    }
    if (FLAGS_check_settings) {
        fmt::print("{}", settings::toIni(std::get<settings::Settings>(loadResult)));
        return 0;
    }
    return std::get<settings::Settings>(loadResult);
}

auto withCommonSettings(const settings::Schema &ownKeys) -> settings::Schema
{
    auto keys = settings::Schema {
        {.section_ = "node", .name_ = "name", .kind_ = settings::Text {}, .help_ = "unique name of this process"},
        {.section_ = "node",
            .name_ = "data_centre",
            .kind_ = settings::Text {},
            .default_ = "local",
            .help_ = "data centre in which this process runs"},
        {.section_ = "node",
            .name_ = "log_level",
            .kind_ = settings::Choice {{"debug", "info", "warning", "error"}},
            .default_ = "info",
            .help_ = "least severe level that is logged"},
    };
    for (const auto &key : ownKeys) {
        keys.push_back(key);
    }
    return keys;
}

} // namespace jasminewood::node
