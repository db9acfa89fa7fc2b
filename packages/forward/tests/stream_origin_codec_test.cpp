#include "stream_origin_codec.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward::internal;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite suite = {"an entry about the versions of streams",
    {
        section("that a router wrote",
            {
                // Guards against names with spaces, line feeds or other bytes that another router reads differently.
                test("is read as it was written, whatever the names hold",
                    [] {
                        const auto oddName = std::string("a b\n%*\xff", 8);
                        const auto versions = ServiceVersions {
                            .service_ = oddName, .agreed_ = {.era_ = 7, .versions_ = {"", "v 1", "%41", "*"}}};
                        check(*parseVersions(formatVersions(versions)) == versions);
                        const auto withBase = ServiceVersions {
                            .service_ = oddName, .agreed_ = {.era_ = 7, .versions_ = {"v 1", "v2"}, .base_ = "v 1"}};
                        check(*parseVersions(formatVersions(withBase)) == withBase);
                        const auto streams = std::vector<routing::StreamRecord> {
                            {.stream_ = 1, .origin_ = {.service_ = oddName, .version_ = ""}},
                            {.stream_ = ~std::uint64_t(0), .origin_ = {.service_ = oddName, .version_ = "v1"}}};
                        check(*parseStreams(formatStreams(streams)) == streams);
                    }),
                // Guards against keys that the store refuses.
                test("has a short key of plain characters",
                    [] {
                        check(keyPart("chat-1.a_b") == "chat-1.a_b");
                        for (const auto &name : {std::string(), std::string("a/b"), std::string(200, 'x')}) {
                            check(keyPart(name).size() == 17 && keyPart(name).starts_with('~'));
                        }
                    }),
            }),
        section("that an earlier release wrote",
            {
                // Guards against a base version that nobody agreed on.
                test("has a base version only if it has no other version",
                    [] {
                        check(parseVersions("1 3 chat v1\n")->agreed_
                            == routing::AgreedVersions {.era_ = 3, .versions_ = {"v1"}, .base_ = "v1"});
                        check(parseVersions("1 3 chat v1 v2\n")->agreed_
                            == routing::AgreedVersions {.era_ = 3, .versions_ = {"v1", "v2"}});
                    }),
            }),
        section("that another writer wrote",
            {
                // Guards against a router that ends, or believes half of an entry, because of odd bytes.
                test("is rejected as a whole",
                    [] {
                        for (const auto *value : {"", "\n", "1", "1 1 chat\n", "1 -1 chat v1\n", "1 1 chat v1",
                                 "1 1 chat  v1\n", "1 1 chat v1\n1 1 chat v2\n", "1 99999999999999999999 chat v1\n",
                                 "1 1 ch%zz v1\n", "1 1 chat %4\n", "3 1 chat v1 v1\n", "2 1 chat v1\n",
                                 "2 1 chat v3 v1 v2\n", "2 1 chat %4 v1\n"}) {
                            check(!parseVersions(value), value);
                        }
                        for (const auto *value : {"", "\n", "1 chat v1\n", "1 chat v1 x\n", "1 chat v1 1\n\n",
                                 "2 chat v1 1\n", "1 chat v1 11111111111111111\n", "1 chat v1 1\n1 chat v2 z\n"}) {
                            check(!parseStreams(value), value);
                        }
                    }),
                // Guards against an entry that fills the memory of each router.
                test("is rejected if it is too long",
                    [] {
                        auto streams = std::string("1 chat v1");
                        auto versions = std::string("1 1 chat");
                        for (auto index = std::size_t(0); index <= maximumStreamsOfEntry; ++index) {
                            streams += " 1";
                            versions += " v" + std::to_string(index);
                        }
                        check(!parseStreams(streams + "\n") && !parseVersions(versions + "\n"));
                        check(!parseVersions("1 1 chat " + std::string(2'000, 'v') + "\n"));
                    }),
            }),
    }};

} // namespace
