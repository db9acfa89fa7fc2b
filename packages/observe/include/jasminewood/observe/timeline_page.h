#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/observe/timeline_merge.h"

// Formats merged events as a text table and as an HTML page.

namespace jasminewood::observe
{

// Escapes the characters that are special in HTML text and attributes.
auto escapeHtml(std::string_view text) -> std::string;

// Returns one line per event with the time in ms since the first event. Control characters in the events are replaced
// by spaces, so that an event stays on its line.
auto textTable(const std::vector<MergedEvent> &events) -> std::string;

// Returns a complete HTML page without external resources: one row per process on a common time axis, followed by the
// list of events.
auto htmlPage(const std::vector<MergedEvent> &events, std::string_view title) -> std::string;

} // namespace jasminewood::observe
