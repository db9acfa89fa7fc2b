#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"

// Runs a program of the build as a child process, with its output redirected to files.

namespace jasminewood::testbench
{

struct ChildOptions
{
    // Used in failures and in the names of the output files.
    const std::string name_;
    // File name of a program in the directory of the running executable.
    const std::string program_;
    const std::vector<std::string> arguments_;
    // Existing directory for NAME.out and NAME.err, to which output is appended.
    const std::string directory_;
};

// Not thread-safe. The destructor kills the process and waits for it.
class ChildProcess
{
public:
    // Starts the program; fails with step "start".
    static auto start(const ChildOptions &options) -> Result<std::shared_ptr<ChildProcess>>;

    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    auto pid() const -> pid_t;

    // Sends the signal unless the process has exited.
    auto signal(int number) -> void;

    // Waits for the process to exit and returns its exit status, or 128 plus the number of the signal that terminated
    // it.
    auto waitExit(Milliseconds timeout) -> Result<int>;

    // Waits until the process has written a line that contains the text to standard output or standard error, and
    // returns that line. Fails if the process exits first.
    auto waitLine(const std::string &text, Milliseconds timeout) -> Result<std::string>;

private:
    ChildProcess(ChildOptions options, pid_t pid, off_t outputBegin, off_t errorsBegin);

    auto failure(const std::string &reason) const -> Failure;
    auto reap() -> bool;
    auto findLine(const std::string &text) const -> std::optional<std::string>;

    const ChildOptions options_;
    const pid_t pid_;
    const int pidDescriptor_;
    // Sizes of the files when the process started. Earlier output is from a previous process of that name.
    const off_t outputBegin_;
    const off_t errorsBegin_;
    std::optional<int> exitStatus_;
};

} // namespace jasminewood::testbench
