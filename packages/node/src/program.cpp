#include "jasminewood/node/program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "jasminewood/settings/flags.h"

DEFINE_string(settings, "", "INI file with the settings of this process");
DEFINE_bool(check_settings, false, "print the effective settings and exit");

namespace jasminewood::node
{

auto startProgram(int &argc, char **&argv, const settings::Schema &schema, const std::string &usage)
    -> std::variant<settings::Settings, int>
{
    gflags::SetUsageMessage(usage);
    settings::registerFlags(schema);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto loaded = settings::load(schema, FLAGS_settings, settings::flagOverrides(schema));
    if (const auto *faults = std::get_if<std::vector<settings::Fault>>(&loaded)) {
        for (const auto &fault : *faults) {
            fmt::print(stderr, "{}\n", ini::toString(fault));
        }
        return statusUsage;
    }
    if (FLAGS_check_settings) {
        fmt::print("{}", settings::print(std::get<settings::Settings>(loaded)));
        return 0;
    }
    return std::get<settings::Settings>(loaded);
}

auto withCommonKeys(const settings::Schema &own) -> settings::Schema
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
    for (const auto &key : own) {
        keys.push_back(key);
    }
    return keys;
}

} // namespace jasminewood::node
