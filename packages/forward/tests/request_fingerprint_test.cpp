#include "request_fingerprint.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto makeRequest(const std::string &id, const std::string &target, const std::string &body) -> http::Request
{
    return {.method_ = "POST",
        .fields_ = {{.name_ = "Host", .value_ = "shop"}, {.name_ = "Request-Id", .value_ = id}},
        .requestTarget_ = target,
        .body_ = body};
}

const testkit::TestSuite suite = {"the fingerprint of a request",
    {
        section("that comes again",
            {
                // Guards against tries of one request that are not recognised because each has an id of its own.
                test("is the same whatever its id",
                    [] {
                        check(internal::requestFingerprint(makeRequest("r1", "/a/?x", "body"), "installer")
                            == internal::requestFingerprint(makeRequest("r2", "/a/?x", "body"), "installer"));
                    }),
                // Guards against sound requests that are refused for the deadly one of another caller.
                test("differs by account, path, query and body",
                    [] {
                        const auto fingerprint
                            = internal::requestFingerprint(makeRequest("r1", "/a/?x", "body"), "installer");
                        check(internal::requestFingerprint(makeRequest("r1", "/a/?x", "body"), "shop") != fingerprint);
                        check(internal::requestFingerprint(makeRequest("r1", "/b/?x", "body"), "installer")
                            != fingerprint);
                        check(internal::requestFingerprint(makeRequest("r1", "/a/?y", "body"), "installer")
                            != fingerprint);
                        check(internal::requestFingerprint(makeRequest("r1", "/a/?x", "other"), "installer")
                            != fingerprint);
                        check(internal::requestFingerprint(makeRequest("r1", "/a/?xb", "ody"), "installer")
                            != fingerprint);
                    }),
            }),
    }};

} // namespace
