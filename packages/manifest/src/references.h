#pragma once

#include <map>
#include <string>

#include "jasminewood/manifest/manifest.h"
#include "section_reader.h"

namespace jasminewood::manifest::internal
{

// Readers by heading, for example "class quote".
using Readers = std::map<std::string, SectionReader>;

// Adds the errors that involve several sections: names that do not exist, pools of the wrong kind, keys that belong to
// two accounts, paths outside of their service, and a sum of minimum shares above the limit.
auto checkReferences(const Manifest &manifest, Readers &readers) -> void;

} // namespace jasminewood::manifest::internal
