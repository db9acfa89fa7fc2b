#pragma once

#include <string>
#include <variant>

#include "jasminewood/settings/settings.h"

// What both programs do before their services start: read the command line and the settings.
//
//     const auto started = node::startProgram(argc, argv, schema, usage);
//     if (const auto *status = std::get_if<int>(&started)) { return *status; }

namespace jasminewood::node
{

// Exit status for a wrong command line, settings or manifest.
constexpr int exitUsageError = 2;
// Exit status if a service did not start or an operation failed.
constexpr int exitFailure = 1;

// Reads the flags and the file that --settings names. Returns the settings, or the exit status if the program is to end
// now: after --check-settings, which prints the effective settings, and on a wrong command line or wrong settings,
// whose faults it prints.
auto loadProgramSettings(int &argc, char **&argv, const settings::Schema &schema, const std::string &usage)
    -> std::variant<settings::Settings, int>;

// Returns the program's own keys after those that every program has: [node] name, data_centre and log_level.
auto withCommonSettings(const settings::Schema &own) -> settings::Schema;

} // namespace jasminewood::node
