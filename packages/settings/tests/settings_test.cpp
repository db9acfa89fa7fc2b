#include "jasminewood/settings/settings.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace std::chrono_literals;
using jasminewood::settings::ConfigError;
using jasminewood::settings::Settings;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto schema = settings::Schema {
    {.section_ = "http", .name_ = "listen", .kind_ = settings::Address {}, .default_ = "127.0.0.1:0", .help_ = "port"},
    {.section_ = "http", .name_ = "threads", .kind_ = settings::Integer {.min_ = 1, .max_ = 9}, .help_ = "threads"},
    {.section_ = "link",
        .name_ = "silence",
        .kind_ = settings::Duration {.min_ = 100ms, .max_ = 10s},
        .default_ = "1500ms",
        .help_ = "silence"},
    {.section_ = "link",
        .name_ = "share",
        .kind_ = settings::Decimal {.min_ = 0, .max_ = 1},
        .default_ = "0.5",
        .help_ = "share"},
    {.section_ = "log",
        .name_ = "level",
        .kind_ = settings::Choice {.values_ = {"info", "debug"}},
        .default_ = "info",
        .help_ = "level"},
};

auto errorsOf(const std::string &text, const settings::Overrides &overrides = {}) -> std::vector<std::string>
{
    const auto loaded = settings::loadText(schema, text, "r.ini", overrides);
    auto lines = std::vector<std::string>();
    if (const auto *errors = std::get_if<std::vector<ConfigError>>(&loaded)) {
        for (const auto &configError : *errors) {
            lines.push_back(toString(configError));
        }
    }
    return lines;
}

const testkit::TestSuite suite = {"settings",
    {
        section("that are valid",
            {
                // Guards against a wrong order of precedence between flag, file and default.
                test("come from the flag, else the file, else the default",
                    [] {
                        const auto loaded = settings::loadText(schema,
                            "[http]\nthreads = 3\nlisten = [::1]:80\n[link]\nsilence = 2s\n", "r.ini",
                            {{"link_silence", "300ms"}});
                        const auto *values = std::get_if<Settings>(&loaded);
                        check(values != nullptr);
                        check(values->integer("http", "threads") == 3);
                        check(values->address("http", "listen") == settings::Endpoint {.host_ = "::1", .port_ = 80});
                        check(values->duration("link", "silence") == 300ms);
                        check(values->decimal("link", "share") == 0.5);
                        check(values->text("log", "level") == "info");
                        check(settings::toIni(*values)
                            == "[http]\n; r.ini:3\nlisten = [::1]:80\n; r.ini:2\nthreads = 3\n\n"
                               "[link]\n; flag --link_silence\nsilence = 300ms\n; default\nshare = 0.5\n\n[log]\n; "
                               "default\nlevel = info\n");
                    }),
            }),
        section("with several errors",
            {
                // Guards against an operator who must correct and load the file again for each error.
                test("report all of them with their lines",
                    [] {
                        const auto errors = errorsOf("[http]\nlisten = localhost:80\nport = 1\n[lnk]\nx = 1\n"
                                                     "[link]\nsilence = 1ms\nsilence = 2s\n[log]\nlevel = loud\n");
                        check(errors
                            == std::vector<std::string> {
                                "r.ini:3: [http] port: expected a known key, found \"port\"",
                                "r.ini:4: [lnk]: expected a known section, found \"lnk\"",
                                "r.ini:8: [link] silence: expected each key once, found a duplicate of line 7",
                                "r.ini:2: [http] listen: expected a numeric address IP:PORT, found \"localhost:80\"",
                                "r.ini: [http] threads: expected a number from 1 to 9, found nothing (the key is "
                                "required)",
                                "r.ini:7: [link] silence: expected a duration from 100ms to 10000ms, such as 3s, "
                                "found \"1ms\"",
                                "r.ini:10: [log] level: expected one of info, debug, found \"loud\"",
                            });
                    }),
                // Guards against an invalid file that is not noticed until the flag is removed.
                test("report an invalid value in the file although a flag overrides it",
                    [] {
                        check(errorsOf("[http]\nthreads = many\n", {{"http_threads", "2"}}).size() == 1);
                        check(errorsOf("[http]\nthreads = 2\n", {{"http_threads", "10"}})
                            == std::vector<std::string> {
                                "flag --http_threads: [http] threads: expected a number from 1 to 9, found \"10\""});
                    }),
                // Guards against a key hash that no key can match, which would lock the operators out without an error.
                test("report an invalid hash",
                    [] {
                        const auto hashes = settings::Schema {
                            {.section_ = "admin", .name_ = "hash", .kind_ = settings::Sha256Hex {}, .help_ = "hash"}};
                        const auto digits = std::string(64, 'a');
                        const auto upper = std::string(64, 'A');
                        for (const auto &wrong : {std::string("00"), upper, digits + "a", std::string("key")}) {
                            const auto loaded = settings::loadText(hashes, "[admin]\nhash = " + wrong, "r.ini", {});
                            check(std::holds_alternative<std::vector<ConfigError>>(loaded), wrong);
                        }
                        const auto loaded = settings::loadText(hashes, "[admin]\nhash = " + digits, "r.ini", {});
                        const auto *values = std::get_if<Settings>(&loaded);
                        check(values != nullptr && values->text("admin", "hash") == digits);
                    }),
                // Guards against a syntax error or a missing file that is treated as an empty file.
                test("report syntax errors and unreadable files",
                    [] {
                        check(errorsOf("[http]\nthreads 3\n").front().starts_with("r.ini:2: expected INI text, found"));
                        const auto loaded = settings::load(schema, "/nonexistent/r.ini", {{"http_threads", "2"}});
                        check(std::holds_alternative<std::vector<ConfigError>>(loaded));
                    }),
            }),
    }};

} // namespace
