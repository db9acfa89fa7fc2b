#pragma once

#include <set>
#include <string>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/routing/stream_versions.h"

// The entries of the store about the versions of streams: words separated by spaces, each line ending with a line feed.
//
//     jasminewood/versions/chat    2 ERA chat v1 v1 v2
//     jasminewood/streams/a/17-0   1 chat v1 00f3c2d1a0b49e58 1a2b3c4d5e6f7081
//
// The first word of an entry, or of each line of streams, is the format. The base version stands before the versions;
// entries of versions in format 1 lack it. Bytes of names other than letters, digits and
// "-_." are percent-encoded, and "*" stands for an empty name. Parsers fail with step "decode".

namespace jasminewood::forward::internal
{

struct ServiceVersions
{
    const std::string service_;
    const routing::AgreedVersions agreed_;

    auto operator<=>(const ServiceVersions &) const = default;
};

// The most streams, or versions, that one entry may hold.
constexpr std::size_t maximumStreamsOfEntry = 512;
constexpr std::size_t maximumVersionsOfEntry = 256;

// Returns whether a version can be written. One that cannot be read again would make a whole entry unreadable.
auto isWritable(const std::string &version) -> bool;

// Returns a name as part of a key: itself, or its hash if it is long or holds other characters than names usually do.
auto keyPart(const std::string &name) -> std::string;

// Returns versions as a text for the log.
auto versionsText(const std::set<std::string> &versions) -> std::string;

auto formatVersions(const ServiceVersions &versions) -> std::string;
auto parseVersions(const std::string &value) -> Result<ServiceVersions>;

auto formatStreams(const std::vector<routing::StreamRecord> &records) -> std::string;
auto parseStreams(const std::string &value) -> Result<std::vector<routing::StreamRecord>>;

} // namespace jasminewood::forward::internal
