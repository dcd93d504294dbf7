#include "ChildProcess.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace cassiahollow::testing {

ChildProcess::ChildProcess(std::string program, std::vector<std::string> arguments, std::filesystem::path outputFile)
    : program_(std::move(program))
    , arguments_(std::move(arguments))
    , outputFile_(std::move(outputFile))
{
    start();
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::start()
{
    std::vector<char*> arguments { program_.data() };
    for (auto& argument : arguments_)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&id_, program_.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        id_ = -1;
        throw std::system_error(error, std::generic_category(), "start " + program_);
    }
    status_.reset();
}

void ChildProcess::send(int signal)
{
    collect(WNOHANG);
    if (!status_)
        ::kill(id_, signal);
}

void ChildProcess::collect(int options)
{
    if (status_)
        return;
    int status = 0;
    pid_t ended = 0;
    do {
        ended = ::waitpid(id_, &status, options);
    } while (ended < 0 && errno == EINTR);
    if (ended == id_)
        status_ = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

void ChildProcess::kill()
{
    send(SIGKILL);
    collect(0);
}

void ChildProcess::restart()
{
    kill();
    start();
}

void ChildProcess::terminate()
{
    send(SIGTERM);
}

void ChildProcess::hangUp()
{
    send(SIGHUP);
}

void ChildProcess::stop()
{
    send(SIGSTOP);
}

void ChildProcess::resume()
{
    send(SIGCONT);
}

bool ChildProcess::isRunning()
{
    return !exitStatus();
}

std::optional<int> ChildProcess::exitStatus()
{
    collect(WNOHANG);
    return status_;
}

std::string ChildProcess::output() const
{
    std::ifstream stream(outputFile_, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "cassiahollow-test-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code error;
    std::filesystem::remove_all(path_, error);
}

} // namespace cassiahollow::testing
