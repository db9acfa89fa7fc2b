#pragma once

#include <string>
#include <variant>

#include "jasminewood/settings/settings.h"

// Parses the command line and loads the settings of a program, before its services start.
//
//     const auto settings = node::loadProgramSettings(argc, argv, schema, usage);
//     if (const auto *status = std::get_if<int>(&settings)) { return *status; }

namespace jasminewood::node
{

// Exit status for an invalid command line, invalid settings or an invalid manifest.
constexpr int exitUsageError = 2;
// Exit status if a service failed to start or an operation failed.
constexpr int exitFailure = 1;

// Parses the flags and loads the file named by --settings. Returns the settings, or the exit status if the program must
// exit: after --check-settings, which prints the effective settings, or if the command line or the settings are
// invalid, in which case the errors are printed.
auto loadProgramSettings(int &argc, char **&argv, const settings::Schema &schema, const std::string &usage)
    -> std::variant<settings::Settings, int>;

// Returns the schema with the keys that are common to all programs ([node] name, data_centre and log_level), followed
// by the program's own keys.
auto withCommonSettings(const settings::Schema &ownKeys) -> settings::Schema;

} // namespace jasminewood::node
