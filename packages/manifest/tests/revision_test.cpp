#include "jasminewood/manifest/revision.h"
#include "jasminewood/testkit/property.h"

#include <algorithm>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto version(std::uint64_t revision) -> manifest::VersionedManifest
{
    return manifest::VersionedManifest {
        .revision_ = revision, .submission_ = "s", .manifest_ = nullptr, .text_ = std::to_string(revision)};
}

const testkit::TestSuite suite = {"the latest manifest",
    {
        section("after updates in any order, also repeated ones",
            {
                // Guards against a process that reverts to an older manifest.
                property("has the highest revision and never an older one",
                    [](const std::vector<std::uint8_t> &revisions) {
                        auto latest = manifest::LatestManifest();
                        auto highest = std::uint64_t(0);
                        for (const auto revision : revisions) {
                            const auto isFirst = latest.current() == nullptr;
                            const auto accepted = latest.update(version(revision));
                            RC_ASSERT(accepted == (isFirst || revision > highest));
                            highest = std::max<std::uint64_t>(highest, revision);
                            RC_ASSERT(latest.revision() == highest);
                            RC_ASSERT(latest.current()->text_ == std::to_string(highest));
                        }
                    }),
            }),
        section("that is replaced",
            {
                // Guards against a request whose manifest is destroyed while the request runs.
                test("stays valid for earlier readers",
                    [] {
                        auto latest = manifest::LatestManifest();
                        check(latest.update(version(1)));
                        const auto earlier = latest.current();
                        check(latest.update(version(2)));
                        check(earlier->revision_ == 1 && *earlier < *latest.current());
                    }),
            }),
    }};

} // namespace
