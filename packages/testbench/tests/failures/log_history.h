#pragma once

#include <chrono>
#include <map>
#include <string>

#include "jasminewood/testbench/history.h"

// Converts the logs of processes and the files of fake services to events of a history.

namespace jasminewood::testbench
{

using WallTime = std::chrono::system_clock::time_point;

// Reads the log (at level debug) of a router or an agent. Truncated and irrelevant lines are skipped. `tiers` maps each
// class of the manifest to its tier.
auto historyOfLog(const std::string &path, WallTime origin, const std::map<std::string, Tier> &tiers) -> History;

// Returns how many lines of a log have this message; steps of attempts are messages too.
auto countLogged(const std::string &path, const std::string &message) -> std::size_t;

// Returns the events since the last start of the process that wrote the log.
auto lastRun(const History &history) -> History;

// Reads the file that fake-booking writes with --history.
auto historyOfBookings(const std::string &path, WallTime origin) -> History;

} // namespace jasminewood::testbench
