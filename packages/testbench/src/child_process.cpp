#include "jasminewood/testbench/child_process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <system_error>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/inotify.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jasminewood::testbench
{

namespace
{

constexpr int signalExitBase = 128;
constexpr mode_t fileMode = 0644;
constexpr int firstClosedDescriptor = 3;

auto outputPath(const ChildOptions &options) -> std::string
{
    return options.directory_ + "/" + options.name_ + ".out";
}

auto errorsPath(const ChildOptions &options) -> std::string
{
    return options.directory_ + "/" + options.name_ + ".err";
}

auto fileSize(const std::string &path) -> off_t
{
    auto errorCode = std::error_code();
    const auto size = std::filesystem::file_size(path, errorCode);
    return errorCode ? 0 : static_cast<off_t>(size);
}

auto executablePath(const std::string &program) -> std::string
{
    auto errorCode = std::error_code();
    return (std::filesystem::read_symlink("/proc/self/exe", errorCode).parent_path() / program).string();
}

// Starts the child with default signal handling and without the inherited file descriptors of this process.
auto spawn(const ChildOptions &options, pid_t &pid) -> int
{
    auto actions = posix_spawn_file_actions_t {};
    posix_spawn_file_actions_init(&actions);
    const auto flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath(options).c_str(), flags, fileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorsPath(options).c_str(), flags, fileMode);
    posix_spawn_file_actions_addclosefrom_np(&actions, firstClosedDescriptor);

    auto attributes = posix_spawnattr_t {};
    posix_spawnattr_init(&attributes);
    auto none = sigset_t {};
    sigemptyset(&none);
    auto defaults = sigset_t {};
    sigemptyset(&defaults);
    sigaddset(&defaults, SIGPIPE);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &defaults);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);

    const auto path = executablePath(options.program_);
    auto texts = std::vector<std::string> {path};
    texts.insert(texts.end(), options.arguments_.begin(), options.arguments_.end());
    auto pointers = std::vector<char *>();
    for (auto &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    const auto errorCode = posix_spawn(&pid, path.c_str(), &actions, &attributes, pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    return errorCode;
}

// Returns a descriptor that becomes readable when the process exits. Uses the system call directly because the C
// library's header declares pidfd_open() without C linkage.
auto openPidDescriptor(pid_t pid) -> int
{
    return static_cast<int>(syscall(SYS_pidfd_open, pid, 0));
}

auto findLineInFile(const std::string &path, off_t begin, const std::string &text) -> std::optional<std::string>
{
    auto file = std::ifstream(path);
    file.seekg(begin);
    for (auto line = std::string(); std::getline(file, line);) {
        // A line without a line terminator is still being written.
        if (!file.eof() && line.find(text) != std::string::npos) {
            return line;
        }
    }
    return std::nullopt;
}

auto remainingMilliseconds(TimePoint end) -> int
{
    const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count() + 1;
    return left < 0 ? 0 : static_cast<int>(left);
}

} // namespace

auto ChildProcess::start(const ChildOptions &options) -> Result<std::shared_ptr<ChildProcess>>
{
    const auto outputBegin = fileSize(outputPath(options));
    const auto errorsBegin = fileSize(errorsPath(options));
    auto pid = pid_t(0);
    if (const auto errorCode = spawn(options, pid); errorCode != 0) {
        return Failure {.step_ = "start", .peer_ = options.name_, .reason_ = std::strerror(errorCode)};
    }
    return std::shared_ptr<ChildProcess>(new ChildProcess(options, pid, outputBegin, errorsBegin));
}

ChildProcess::ChildProcess(ChildOptions options, pid_t pid, off_t outputBegin, off_t errorsBegin)
    : options_(std::move(options))
    , pid_(pid)
    , pidDescriptor_(openPidDescriptor(pid))
    , outputBegin_(outputBegin)
    , errorsBegin_(errorsBegin)
{
}

ChildProcess::~ChildProcess()
{
    if (!exitStatus_) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    close(pidDescriptor_);
}

auto ChildProcess::pid() const -> pid_t
{
    return pid_;
}

auto ChildProcess::signal(int number) -> void
{
    if (!reap()) {
        ::kill(pid_, number);
    }
}

auto ChildProcess::waitExit(Milliseconds timeout) -> Result<int>
{
    const auto end = Clock::now() + timeout;
    while (!reap()) {
        auto ended = pollfd {.fd = pidDescriptor_, .events = POLLIN, .revents = 0};
        const auto ready = poll(&ended, 1, remainingMilliseconds(end));
        if (ready == 0) {
            return failure("still running after the timeout");
        }
    }
    return *exitStatus_;
}

auto ChildProcess::waitLine(const std::string &text, Milliseconds timeout) -> Result<std::string>
{
    const auto end = Clock::now() + timeout;
    const auto watch = inotify_init1(IN_CLOEXEC | IN_NONBLOCK);
    inotify_add_watch(watch, outputPath(options_).c_str(), IN_MODIFY);
    inotify_add_watch(watch, errorsPath(options_).c_str(), IN_MODIFY);
    auto found = findLine(text);
    while (!found && !reap() && Clock::now() < end) {
        pollfd changes[]
            = {{.fd = watch, .events = POLLIN, .revents = 0}, {.fd = pidDescriptor_, .events = POLLIN, .revents = 0}};
        poll(changes, std::size(changes), remainingMilliseconds(end));
        char events[4096];
        while (read(watch, events, sizeof(events)) > 0) {}
        found = findLine(text);
    }
    close(watch);
    if (!found) {
        found = findLine(text);
    }
    if (found) {
        return *found;
    }
    const auto *state = exitStatus_ ? "ended before it wrote \"" : "did not write in time \"";
    return failure(state + text + "\"; see " + errorsPath(options_));
}

auto ChildProcess::failure(const std::string &reason) const -> Failure
{
    return Failure {.step_ = "wait", .peer_ = options_.name_, .reason_ = reason};
}

auto ChildProcess::reap() -> bool
{
    auto status = 0;
    if (!exitStatus_ && waitpid(pid_, &status, WNOHANG) == pid_) {
        exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
    }
    return exitStatus_.has_value();
}

auto ChildProcess::findLine(const std::string &text) const -> std::optional<std::string>
{
    const auto line = findLineInFile(outputPath(options_), outputBegin_, text);
    return line ? line : findLineInFile(errorsPath(options_), errorsBegin_, text);
}

} // namespace jasminewood::testbench
