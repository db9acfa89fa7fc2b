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

struct ProgramResult
{
    const int status_;
    // Standard output and standard error of the program.
    const std::string output_;
};

// Runs the router program until it exits.
auto runRouter(const std::string &arguments) -> ProgramResult
{
    const auto command = std::string(ROUTER_PROGRAM) + " " + arguments + " 2>&1 </dev/null";
    auto *output = popen(command.c_str(), "r");
    auto text = std::string();
    for (auto character = std::fgetc(output); character != EOF; character = std::fgetc(output)) {
        text.push_back(static_cast<char>(character));
    }
    const auto status = pclose(output);
    return ProgramResult {.status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1, .output_ = text};
}

// A settings file that is removed on destruction.
class TemporarySettingsFile
{
public:
    explicit TemporarySettingsFile(const std::string &text)
        : path_(
            std::filesystem::temp_directory_path() / ("jasminewood-front-test-" + std::to_string(getpid()) + ".ini"))
    {
        std::ofstream(path_) << text;
    }

    ~TemporarySettingsFile()
    {
        std::filesystem::remove(path_);
    }

    TemporarySettingsFile(const TemporarySettingsFile &) = delete;
    auto operator=(const TemporarySettingsFile &) -> TemporarySettingsFile & = delete;

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

auto runSettingsCheck(const std::string &text) -> ProgramResult
{
    const auto file = TemporarySettingsFile(text);
    return runRouter("--settings=" + file.path() + " --check_settings");
}

auto checkContains(const ProgramResult &result, const std::string &part) -> void
{
    check(result.output_.find(part) != std::string::npos, "\"" + part + "\" is not in: " + result.output_);
}

// Guards against a router that ignores invalid settings, or exits without reporting which setting is invalid.
const testkit::TestSuite wrongSettings = {"a router with invalid settings",
    {
        test("reports the file, line, key and allowed range of each invalid value",
            [] {
                const auto result = runSettingsCheck(std::string(completeSettings)
                    + "[callers]\nmaximum_connections = 0\n[stop]\nnotice = soon\n[routing]\npolicy = best\n");
                check(result.status_ == 2, "status " + std::to_string(result.status_));
                checkContains(result, ".ini:12: ");
                checkContains(result, "maximum_connections");
                checkContains(result, "1 to 100000");
                checkContains(result, ".ini:14: ");
                checkContains(result, "0ms to 600000ms");
                checkContains(result, ".ini:16: ");
                checkContains(result, "weighted, least_outstanding, round_robin");
            }),
        test("reports unknown sections, unknown keys and missing keys",
            [] {
                const auto result = runSettingsCheck("[node]\nnmae = r1\n[oven]\nheat = 3\n");
                check(result.status_ == 2, "status " + std::to_string(result.status_));
                checkContains(result, "nmae");
                checkContains(result, "oven");
                checkContains(result, "key_value_url");
            }),
        test("reports the line of a syntax error",
            [] {
                const auto result = runSettingsCheck("[node]\nname = r1\nno equals sign\n");
                check(result.status_ == 2, "status " + std::to_string(result.status_));
                checkContains(result, ".ini:3");
            }),
        test("reports the flag of an invalid value",
            [] {
                const auto result = runRouter("--node_log_level=loud --check_settings");
                check(result.status_ == 2, "status " + std::to_string(result.status_));
                checkContains(result, "--node_log_level");
                checkContains(result, "debug, info, warning, error");
            }),
        test("rejects unknown flags, arguments and commands",
            [] {
                for (const auto *arguments : {"serve --node_nmae=r1", "serve now", "sbmit file.ini"}) {
                    const auto result = runRouter(arguments);
                    check(result.status_ == 2, arguments + (": status " + std::to_string(result.status_)));
                    checkContains(result, "unknown");
                }
            }),
        test("rejects a settings file that does not exist",
            [] {
                const auto result = runRouter("serve --settings=/nonexistent/router.ini");
                check(result.status_ == 2, "status " + std::to_string(result.status_));
                checkContains(result, "/nonexistent/router.ini");
            }),
        test("prints valid settings with their sources",
            [] {
                const auto result = runSettingsCheck(completeSettings);
                check(result.status_ == 0, result.output_);
                checkContains(result, "; default\npolicy = weighted");
                checkContains(result, ".ini:2\nname = r1");
            }),
    }};

// Guards against a second router on the same address that appears to run but gets no connections.
const testkit::TestSuite portInUse = {"a router whose port is in use",
    {
        test("exits with status 1 and reports the step and the address",
            [] {
                const auto router = RouterUnderTest();
                const auto address = "127.0.0.1:" + std::to_string(router.callersPort());
                const auto file = TemporarySettingsFile(completeSettings);
                for (const auto *flag : {"callers", "admin"}) {
                    const auto result
                        = runRouter("serve --settings=" + file.path() + " --" + flag + "_listen=" + address);
                    check(result.status_ == 1, flag + (": status " + std::to_string(result.status_)) + result.output_);
                    checkContains(result, "bind");
                    checkContains(result, address);
                    checkContains(result, "Address already in use");
                }
                const auto links = runRouter("serve --settings=" + file.path() + " --peers_listen=" + address);
                check(links.status_ == 1, "status " + std::to_string(links.status_) + links.output_);
                checkContains(links, address);
            }),
    }};

// Guards against a cluster that cannot be started while the platform's services are unavailable.
const testkit::TestSuite platformUnavailable = {"a router that starts before the platform's services",
    {
        test("reports what is missing and becomes ready once they are up",
            [] {
                // Returns a port that is now free and on which the service starts again later.
                const auto releasedPortOf = [](const auto &service) -> std::uint16_t {
                    check(bool(service), "a fake service did not start");
                    const auto port = (*service)->port();
                    (*service)->stop();
                    return port;
                };
                const auto keyValuePort = releasedPortOf(testbench::FakeKv::start({}));
                const auto vmListPort = releasedPortOf(testbench::FakeVmList::start({}));
                const auto vmListUrl = "http://127.0.0.1:" + std::to_string(vmListPort);
                const auto router = RouterUnderTest(PlatformUrls {
                    .keyValue_ = "http://127.0.0.1:" + std::to_string(keyValuePort), .vmList_ = vmListUrl});
                router.awaitReadiness(503, "no manifest yet: ");
                check(router.administer("GET", "/healthz").status_ == 200);

                const auto keyValues = testbench::FakeKv::start({.port_ = keyValuePort});
                check(bool(keyValues), "the key-value service did not start");
                const auto accepted
                    = router.administer("PUT", "/admin/manifest?submission=s1&base=0", sampleManifest());
                check(accepted.status_ == 200, accepted.body_);
                router.awaitReadiness(503, "no upstream is connected: ");

                const auto vms = testbench::FakeVmList::start({.port_ = vmListPort});
                check(bool(vms), "the VM list service did not start");
                const auto agent = AgentUnderTest();
                const auto listed = http::fetch(
                    http::ClientRequest {.method_ = "PUT", .url_ = vmListUrl + "/v1/targets", .body_ = agent.vmList()});
                check(bool(listed));
                router.awaitReadiness(200, "ready");
            }),
        test("activates a manifest that was accepted before its watch started",
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
