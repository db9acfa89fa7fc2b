#include <cstdio>
#include <filesystem>
#include <fstream>

#include <sys/wait.h>
#include <unistd.h>

#include "jasminewood/testbench/fake_kv.h"
#include "jasminewood/testbench/fake_vm_list.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_under_test.h"

namespace jasminewood::router
{

namespace
{

using testkit::check;
using testkit::section;
using testkit::test;

struct Ended
{
    const int status_;
    // Standard output and standard error.
    const std::string text_;
};

// Runs the real program to its end.
auto runRouter(const std::string &arguments) -> Ended
{
    const auto command = std::string(ROUTER_PROGRAM) + " " + arguments + " 2>&1 </dev/null";
    auto *output = popen(command.c_str(), "r");
    auto text = std::string();
    for (auto letter = std::fgetc(output); letter != EOF; letter = std::fgetc(output)) {
        text.push_back(static_cast<char>(letter));
    }
    const auto status = pclose(output);
    return Ended {.status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1, .text_ = text};
}

// A file that exists as long as this value.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
        : path_(
            std::filesystem::temp_directory_path() / ("jasminewood-front-test-" + std::to_string(getpid()) + ".ini"))
    {
        std::ofstream(path_) << text;
    }

    ~SettingsFile()
    {
        std::filesystem::remove(path_);
    }

    SettingsFile(const SettingsFile &) = delete;
    auto operator=(const SettingsFile &) -> SettingsFile & = delete;

    auto path() const -> std::string
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

constexpr auto completeSettings
    = "[node]\nname = r1\n[admin]\nkey_sha256 = "
      "161ba87d0c0d23afe6a5d86bdfcda7037116c919c1e855213ae0db4056a40102\nlisten = 127.0.0.1:0\n"
      "[callers]\nlisten = 127.0.0.1:0\n"
      "[platform]\nkey_value_url = http://127.0.0.1:1\nvm_list_url = http://127.0.0.1:1\n";

auto checkSettings(const std::string &text) -> Ended
{
    const auto file = SettingsFile(text);
    return runRouter("--settings=" + file.path() + " --check_settings");
}

auto contains(const Ended &ended, const std::string &part) -> void
{
    check(ended.text_.find(part) != std::string::npos, "\"" + part + "\" is not in: " + ended.text_);
}

// Guards against a router that starts with settings it did not understand, or ends without saying what is wrong.
const testkit::TestSuite wrongSettings = {"a router with wrong settings",
    {
        test("names the file, line, key and allowed range of each wrong value",
            [] {
                const auto ended = checkSettings(std::string(completeSettings)
                    + "[callers]\nmaximum_connections = 0\n[stop]\nnotice = soon\n[routing]\npolicy = best\n");
                check(ended.status_ == 2, "status " + std::to_string(ended.status_));
                contains(ended, ".ini:12: ");
                contains(ended, "maximum_connections");
                contains(ended, "1 to 100000");
                contains(ended, ".ini:14: ");
                contains(ended, "0ms to 600000ms");
                contains(ended, ".ini:16: ");
                contains(ended, "weighted, least_outstanding, round_robin");
            }),
        test("names unknown sections, unknown keys and missing keys",
            [] {
                const auto ended = checkSettings("[node]\nnmae = r1\n[oven]\nheat = 3\n");
                check(ended.status_ == 2, "status " + std::to_string(ended.status_));
                contains(ended, "nmae");
                contains(ended, "oven");
                contains(ended, "key_value_url");
            }),
        test("names the line of a syntax error",
            [] {
                const auto ended = checkSettings("[node]\nname = r1\nno equals sign\n");
                check(ended.status_ == 2, "status " + std::to_string(ended.status_));
                contains(ended, ".ini:3");
            }),
        test("names the flag of a wrong value",
            [] {
                const auto ended = runRouter("--node_log_level=loud --check_settings");
                check(ended.status_ == 2, "status " + std::to_string(ended.status_));
                contains(ended, "--node_log_level");
                contains(ended, "debug, info, warning, error");
            }),
        test("refuses unknown flags, arguments and commands",
            [] {
                for (const auto *arguments : {"serve --node_nmae=r1", "serve now", "sbmit file.ini"}) {
                    const auto ended = runRouter(arguments);
                    check(ended.status_ == 2, arguments + (": status " + std::to_string(ended.status_)));
                    contains(ended, "unknown");
                }
            }),
        test("refuses a file that does not exist",
            [] {
                const auto ended = runRouter("serve --settings=/nonexistent/router.ini");
                check(ended.status_ == 2, "status " + std::to_string(ended.status_));
                contains(ended, "/nonexistent/router.ini");
            }),
        test("prints right settings with their sources",
            [] {
                const auto ended = checkSettings(completeSettings);
                check(ended.status_ == 0, ended.text_);
                contains(ended, "; default\npolicy = weighted");
                contains(ended, ".ini:2\nname = r1");
            }),
    }};

// Guards against a second router on the same address that seems to serve.
const testkit::TestSuite portInUse = {"a router whose port is in use",
    {
        test("ends with status 1 and names the step and the address",
            [] {
                const auto router = RouterUnderTest();
                const auto address = "127.0.0.1:" + std::to_string(router.callersPort());
                const auto file = SettingsFile(completeSettings);
                for (const auto *flag : {"callers", "admin"}) {
                    const auto ended
                        = runRouter("serve --settings=" + file.path() + " --" + flag + "_listen=" + address);
                    check(ended.status_ == 1, flag + (": status " + std::to_string(ended.status_)) + ended.text_);
                    contains(ended, "bind");
                    contains(ended, address);
                    contains(ended, "Address already in use");
                }
                const auto links = runRouter("serve --settings=" + file.path() + " --peers_listen=" + address);
                check(links.status_ == 1, "status " + std::to_string(links.status_) + links.text_);
                contains(links, address);
            }),
    }};

// Guards against a fleet that cannot be started while the platform is out.
const testkit::TestSuite platformOut = {"a router that starts before the platform's services",
    {
        test("says what is missing and becomes ready when they come up",
            [] {
                // A port that was free a moment ago; the service that comes up later takes it again.
                const auto portOf = [](const auto &service) -> std::uint16_t {
                    check(bool(service), "a stand-in did not start");
                    const auto port = (*service)->port();
                    (*service)->stop();
                    return port;
                };
                const auto keyValuePort = portOf(testbench::FakeKv::start({}));
                const auto vmListPort = portOf(testbench::FakeVmList::start({}));
                const auto vmListUrl = "http://127.0.0.1:" + std::to_string(vmListPort);
                const auto router = RouterUnderTest(PlatformUrls {
                    .keyValue_ = "http://127.0.0.1:" + std::to_string(keyValuePort), .vmList_ = vmListUrl});
                router.awaitReadiness(503, "no manifest yet: ");
                check(router.administer("GET", "/healthz").status_ == 200);

                const auto keyValues = testbench::FakeKv::start({.port_ = keyValuePort});
                check(bool(keyValues), "the key-value service did not come up");
                const auto accepted
                    = router.administer("PUT", "/admin/manifest?submission=s1&base=0", sampleManifest());
                check(accepted.status_ == 200, accepted.body_);
                router.awaitReadiness(503, "no upstream is connected: ");

                const auto vms = testbench::FakeVmList::start({.port_ = vmListPort});
                check(bool(vms), "the VM list did not come up");
                const auto agent = AgentUnderTest();
                const auto listed = http::fetch(
                    http::ClientRequest {.method_ = "PUT", .url_ = vmListUrl + "/v1/targets", .body_ = agent.vmList()});
                check(bool(listed));
                router.awaitReadiness(200, "ready");
            }),
        test("takes over a manifest that was accepted before it could watch",
            [] {
                const auto keyValues = testbench::FakeKv::start({});
                check(bool(keyValues));
                const auto url = "http://127.0.0.1:" + std::to_string((*keyValues)->port());
                const auto first = RouterUnderTest(PlatformUrls {.keyValue_ = url});
                check(first.administer("PUT", "/admin/manifest?submission=s1&base=0", sampleManifest()).status_ == 200);
                const auto second = RouterUnderTest(PlatformUrls {.keyValue_ = url});
                second.awaitReadiness(503, "no upstream is connected");
                check(second.administer("GET", "/admin/manifest").status_ == 200);
            }),
    }};

} // namespace

} // namespace jasminewood::router
