#pragma once

#include <string>

#include "jasminewood/settings/settings.h"

// One gflags flag for each key of a schema, so that --http_listen=127.0.0.1:0 overrides key "listen" of [http].
//
//     settings::registerFlags(schema);
//     gflags::ParseCommandLineFlags(&argc, &argv, true);
//     const auto loaded = settings::load(schema, FLAGS_settings, settings::flagOverrides(schema));

namespace jasminewood::settings
{

// Returns "SECTION_KEY", with underscores for hyphens.
auto flagName(const KeySchema &key) -> std::string;

// Registers a string flag for each key with its help text. Call it in main() before the command line is parsed and
// before threads start. Keys that are already registered are skipped. All flags are strings, since load() checks the
// values and reports all errors, whereas gflags exits the program at the first.
auto registerFlags(const Schema &schema) -> void;

// Returns the flags that were given on the command line.
auto flagOverrides(const Schema &schema) -> Overrides;

} // namespace jasminewood::settings
