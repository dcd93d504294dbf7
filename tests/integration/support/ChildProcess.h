#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cassiahollow::testing {

/// A started program. It is ended by its own process id, at the latest when the object is destroyed.
class ChildProcess {
public:
    /// Starts a program; its output is appended to a file. Throws std::system_error if it cannot be started.
    ChildProcess(std::string program, std::vector<std::string> arguments, std::filesystem::path outputFile);
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();

    /// Ends the process at once, as kill -9, and collects it.
    void kill();
    /// Starts the program again with the same arguments, after its end.
    void restart();
    void terminate(); ///< Sends SIGTERM.
    void hangUp(); ///< Sends SIGHUP.
    void stop(); ///< Sends SIGSTOP.
    void resume(); ///< Sends SIGCONT.

    bool isRunning();
    /// Exit status, or 128 plus the signal that ended it, once the process has ended.
    std::optional<int> exitStatus();
    /// All output so far.
    std::string output() const;
    pid_t id() const { return id_; }

private:
    void start();
    void send(int signal);
    void collect(int options);

    std::string program_;
    std::vector<std::string> arguments_;
    std::filesystem::path outputFile_;
    pid_t id_ { -1 };
    std::optional<int> status_;
};

/// An empty folder that is removed with its contents.
class TemporaryFolder {
public:
    TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder();

    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

} // namespace cassiahollow::testing
