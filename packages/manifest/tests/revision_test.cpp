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

const testkit::TestSuite story = {"a holder of manifests",
    {
        section("that is offered revisions in any order, also repeatedly",
            {
                // Guards against a process that reverts to an older manifest.
                property("keeps the highest and never falls",
                    [](const std::vector<std::uint8_t> &revisions) {
                        auto holder = manifest::LatestManifest();
                        auto highest = std::uint64_t(0);
                        for (const auto revision : revisions) {
                            const auto isFirst = holder.current() == nullptr;
                            const auto accepted = holder.update(version(revision));
                            RC_ASSERT(accepted == (isFirst || revision > highest));
                            highest = std::max<std::uint64_t>(highest, revision);
                            RC_ASSERT(holder.revision() == highest);
                            RC_ASSERT(holder.current()->text_ == std::to_string(highest));
                        }
                    }),
            }),
        section("whose manifest is replaced",
            {
                // Guards against a request that loses its manifest while it runs.
                test("leaves earlier readers their value",
                    [] {
                        auto holder = manifest::LatestManifest();
                        check(holder.update(version(1)));
                        const auto earlier = holder.current();
                        check(holder.update(version(2)));
                        check(earlier->revision_ == 1 && *earlier < *holder.current());
                    }),
            }),
    }};

} // namespace
