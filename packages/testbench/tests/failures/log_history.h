#pragma once

#include <chrono>
#include <map>
#include <string>

#include "jasminewood/testbench/history.h"

// Turns what processes and fakes wrote to files into events of a history.

namespace jasminewood::testbench
{

using WallTime = std::chrono::system_clock::time_point;

// Reads the log (at level debug) of a router or an agent. Lines that are cut or mean nothing to the history are passed
// over. The tiers are those of the classes of the manifest.
auto historyOfLog(const std::string &path, WallTime origin, const std::map<std::string, Tier> &tiers) -> History;

// Returns how many lines of a log have this message; steps of attempts are messages too.
auto countLogged(const std::string &path, const std::string &message) -> std::size_t;

// Returns the events since the last start of the process that wrote the log.
auto lastRun(const History &history) -> History;

// Reads the file that fake-booking writes with --history.
auto historyOfBookings(const std::string &path, WallTime origin) -> History;

} // namespace jasminewood::testbench
