#include "jasminewood/settings/flags.h"
#include "jasminewood/testkit/test_suite.h"

#include <array>

#include <gflags/gflags.h>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto schema = settings::Schema {
    {.section_ = "flagtest", .name_ = "listen-port", .kind_ = settings::Integer {}, .default_ = "80", .help_ = "port"},
    {.section_ = "flagtest", .name_ = "name", .kind_ = settings::Text {}, .help_ = "name of the process"},
};

const testkit::TestSuite suite = {"the flags of a schema",
    {
        section("after the command line was parsed",
            {
                // Guards against defaults that count as overrides, and against a flag that is ignored because its value
                // equals the default.
                test("override exactly the keys that are on the command line",
                    [] {
                        settings::registerFlags(schema);
                        settings::registerFlags(schema);
                        auto program = std::string("program");
                        auto flag = std::string("--flagtest_listen_port=80");
                        auto words = std::array {program.data(), flag.data()};
                        auto count = static_cast<int>(words.size());
                        auto *arguments = words.data();
                        gflags::ParseCommandLineFlags(&count, &arguments, false);
                        check(settings::flagOverrides(schema) == settings::Overrides {{"flagtest_listen_port", "80"}});
                    }),
                // Guards against flags without a help text.
                test("have a description for --help",
                    [] {
                        settings::registerFlags(schema);
                        const auto info = gflags::GetCommandLineFlagInfoOrDie("flagtest_name");
                        check(info.description == "name of the process (text, required in the file or here)");
                    }),
            }),
    }};

} // namespace
