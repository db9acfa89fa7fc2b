#include "jasminewood/http/socket_address.h"

#include <arpa/inet.h>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite suite = {"the text of an address",
    {
        section("of a host and a port",
            {
                test("is parsed",
                    [] {
                        const auto address = http::parseSocketAddress("10.128.0.9:65535");
                        check(address && ntohs(address->sin_port) == 65'535);
                        check(ntohl(address->sin_addr.s_addr) == 0x0a800009U);
                    }),
            }),
        section("that is none",
            {
                // Guards against connections to an address that another writer made up: each fails at once.
                test("is rejected",
                    [] {
                        for (const auto *text : {"", ":", "10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:0",
                                 "10.0.0.9:65536", "10.0.0.9:99999999999999999999", "10.0.0.9:-1", "10.0.0.9:+80",
                                 "10.0.0.9: 80", "10.0.0.9:80x", "10.0.0.9:80/path", "user@10.0.0.9:80",
                                 "http://10.0.0.9:80", "host:80", "10.0.0:80", "10.0.0.256:80", "[::1]:80", "::1:80",
                                 "10.0.0.9:80:80", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80"}) {
                            check(!http::parseSocketAddress(text), text);
                        }
                        check(!http::parseSocketAddress(std::string("10.0.0.9:80\0", 12)));
                        check(!http::parseSocketAddress(std::string("10.0.0.9\0:80", 12)));
                    }),
            }),
    }};

} // namespace
